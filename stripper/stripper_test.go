package stripper

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against forwarding hop-by-hop headers, including those that the Connection header names.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	c := qt.New(t)
	got := EndToEnd(http.Header{
		"Connection":  {"keep-alive, X-Hop"},
		"Keep-Alive":  {"timeout=5"},
		"X-Hop":       {"1"},
		"X-End":       {"2"},
		"X-Own":       {"100"},
		"Te":          {"trailers"},
		"Content-Len": {"3"},
	}, func(name string) bool { return name == "X-Own" })
	names := make([]string, 0, len(got))
	for name := range got {
		names = append(names, name)
	}
	c.Assert(strings.Contains(fmt.Sprint(names), "X-End"), qt.IsTrue)
	c.Assert(names, qt.HasLen, 2)
}
