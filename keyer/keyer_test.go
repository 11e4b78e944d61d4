package keyer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func request(target string, header ...string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, target, nil)
	for _, v := range header {
		r.Header.Add("Picker", v)
	}
	return r
}

// Guards against guessing the key of a request without one, or with two: hosts that guess differently would route it to
// two owners.
func TestKey(t *testing.T) {
	tests := []struct {
		name    string
		source  string
		request *http.Request
		key     string
		err     error
	}{
		{name: "header", source: "header:picker", request: request("/x", "p1"), key: "p1"},
		{name: "header missing", source: "header:picker", request: request("/x"), err: ErrNoKey},
		{name: "header twice", source: "header:picker", request: request("/x", "p1", "p2"), err: ErrKeyTwice},
		{name: "header empty", source: "header:picker", request: request("/x", ""), err: ErrNoKey},
		{name: "path", source: "path:2", request: request("/tally/p1/weights"), key: "p1"},
		{name: "path too short", source: "path:3", request: request("/tally/p1"), err: ErrNoKey},
		{name: "query", source: "query:dealer", request: request("/x?dealer=d%201"), key: "d 1"},
		{name: "query twice", source: "query:dealer", request: request("/x?dealer=1&dealer=2"), err: ErrKeyTwice},
		{name: "too long", source: "path:1", request: request("/" + strings.Repeat("k", MaxKeyBytes+1)), err: ErrKeyTooLong},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k, err := New(test.source, 16)
			c.Assert(err, qt.IsNil)
			key, err := k.Key(test.request)
			c.Assert(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(key, qt.Equals, test.key)
		})
	}
}

func TestNewRefusesBadSource(t *testing.T) {
	for _, source := range []string{"", "header", "header:", "cookie:a", "path:0", "path:x"} {
		_, err := New(source, 16)
		qt.Check(t, errors.Is(err, ErrBadSource), qt.IsTrue, qt.Commentf("%q", source))
	}
}

// Guards against a slot of a key that changes between versions of the program: the key would get a second owner.
func TestSlotIsStable(t *testing.T) {
	c := qt.New(t)
	k, err := New("path:1", 1024)
	c.Assert(err, qt.IsNil)
	c.Assert(k.Slot("picker-1"), qt.Equals, Slot(450))
	c.Assert(Keyer{}.Slot("picker-1"), qt.Equals, Slot(0))
}
