package sender

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/reserver"
	"bramleyline.example/bramleyline/responder"
)

// fieldLines are lines in place of a field of an answer. "%s" stands for the line break.
var fieldLines = []string{
	"X Y: 1",
	"X-Blank : 1",
	"Content-Length : 4",
	"Transfer-Encoding : chunked",
	"Connection : close",
	" X: 1",
	"X\tY: 1",
	"X\t: 1",
	"X\x00Y: 1",
	"X\x01: 1",
	"X\x7fY: 1",
	"X\x80Y: 1",
	"X\rY: 1",
	"\x0bX: 1",
	"X(Y): 1",
	"X;Y: 1",
	"X/Y: 1",
	"X\"Y: 1",
	": 1",
	"X",
	"X: \x01",
	"X: a\rb",
	"X: a\r\n b",
	"X: a\r\n\tb\r\n c",
	"X: a\r\n : 1",
	"Content-Length: 4\r\n 4",
	"X-Token!#$%&'*+.^_`|~1: 1",
	"X:",
	"X:\t1 \t",
}

// Guards against answers whose field names are not tokens, and which reach callers with that field, or with a body that ends
// elsewhere than for other readers. A
// fold, which a name that begins with a blank resembles, is refused (RFC 9112, section 5.2).
func TestFieldsOfAnswers(t *testing.T) {
	c := qt.New(t)
	const head = "HTTP/1.1 200 OK\r\n" + echoLine
	places := []struct {
		name   string
		answer func(line string) string
	}{
		{
			name:   "final",
			answer: func(line string) string { return head + line + "\r\nContent-Length: 4\r\n\r\nbody" },
		},
		{
			name:   "first",
			answer: func(line string) string { return "HTTP/1.1 200 OK\r\n" + line + "\r\n" + echoLine + "\r\nbody" },
		},
		{
			name: "informational",
			answer: func(line string) string {
				return "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n" + line + "\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody"
			},
		},
		{
			name: "trailer",
			answer: func(line string) string {
				return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Trailer: 1\r\n" + line + "\r\n\r\n"
			},
		},
	}
	memory := &reserver.Reserver{
		Limit: 32 << 20,
	}
	s := New(nil, WithMemory(memory))
	c.Cleanup(s.Close)
	var lines strings.Builder
	for _, place := range places {
		for _, line := range fieldLines {
			p := startResponder(c, &responder.Responder{
				Answer:     answerText(place.answer(line)),
				ReadBefore: -1,
			})
			r := rawRequest(p.Addr())
			r.Method, r.Body = http.MethodPost, [][]byte{[]byte("x")}
			resp, body, f := attemptOnce(s, r)
			fmt.Fprintf(&lines, "%s, %q: %s", place.name, line, describeOutcome(resp, body, f))
			if f == nil {
				fmt.Fprintf(&lines, ", X: %q", resp.Header["X"])
			}
			lines.WriteString("\n")
			c.Check(memory.Held(), qt.Equals, int64(0), qt.Commentf("%q", line))
		}
	}
	checkGolden(c, "fields.golden", lines.String())
}
