package sender

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/responder"
)

// Guards against the text of a fault that does not say what is wrong with an answer, or that brings much of it, or bytes that are
// not printable, into logs and answers to callers.
func TestTextOfAFaultIsBoundedAndPrintable(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("\x01é\n", 3000)
	for _, tt := range []struct {
		name   string
		answer string
		want   string
	}{
		{
			name:   "blank in a field name",
			answer: "HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n",
			want:   `malformed: malformed answer: field name "X Y" is not a token`,
		},
		{
			name:   "long field name",
			answer: "HTTP/1.1 200 OK\r\nX " + strings.Repeat("y", 9000) + ": 1\r\n\r\n",
			want:   `malformed: malformed answer: field name "X yyy`,
		},
		{
			name:   "control byte in a field name",
			answer: "HTTP/1.1 200 OK\r\nX\x01: 1\r\n\r\n",
			want:   `"X\x01: 1"`,
		},
		{
			name:   "long line",
			answer: "HTTP/1.1 200 OK\r\nX\x01" + strings.Repeat("y", 9000) + ": 1\r\n\r\n",
			want:   `"X\x01yyy`,
		},
		{
			name:   "status",
			answer: "HTTP/1.1 000 OK\r\n\r\n",
			want:   "status 000 is not valid",
		},
		{
			name:   "no answer",
			answer: long,
			want:   "malformed HTTP",
		},
		{
			name:   "fold",
			answer: "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n\r\n",
			want:   "line of the header begins with a blank",
		},
		{
			name:   "other request",
			answer: "HTTP/1.1 200 OK\r\nBramleyline-Request: " + strings.Repeat("z", 9000) + "\r\n\r\n",
			want:   `crossed: crossed answer: answer belongs to request "zzz`,
		},
	} {
		p := startResponder(c, &responder.Responder{
			Answer:     answerText(tt.answer),
			ReadBefore: -1,
		})
		s := New(nil)
		r := rawRequest(p.Addr())
		r.Method, r.Body = http.MethodPost, [][]byte{[]byte("x")}
		_, _, f := attemptOnce(s, r)
		s.Close()
		c.Assert(f != nil, qt.IsTrue, qt.Commentf("%s", tt.name))
		text := f.Error()
		c.Check(text, qt.Contains, tt.want, qt.Commentf("%s", tt.name))
		c.Check(len(text) <= 400, qt.IsTrue, qt.Commentf("%s: %d bytes", tt.name, len(text)))
		for _, r := range text {
			if r < ' ' || r > '~' && r != 'é' {
				c.Errorf("%s: %q is not printable", tt.name, text)
				break
			}
		}
	}
}
