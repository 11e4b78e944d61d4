package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a truncated answer that is delivered as a complete one, whether its end is marked by its length, by
// chunks or by the end of the connection.
func TestAnswerThatBreaksOffIsNotDelivered(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + testRequest + ": r1\r\n"
	for _, tt := range []struct {
		name string
		text string
		// reset is true if the target resets the connection instead of closing it.
		reset bool
	}{
		{
			name: "head",
			text: head,
		},
		{
			name: "status 000 before an answer",
			text: "HTTP/1.1 000 Bad\r\n" + testRequest + ": r1\r\nContent-Length: 0\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
		},
		{
			name: "length, closed",
			text: head + "Content-Length: 10\r\n\r\nhalf",
		},
		{
			name:  "length, reset",
			text:  head + "Content-Length: 10\r\n\r\nhalf",
			reset: true,
		},
		{
			name: "chunks without the last one, closed",
			text: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		},
		{
			name: "inside a chunk, closed",
			text: head + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		},
		{
			name: "last chunk without its end, closed",
			text: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
		},
		{
			name:  "no length, reset",
			text:  head + "\r\nhalf",
			reset: true,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(c)
			b.putTable()
			b.target("a", "desk", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, tt.text)
				if tt.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			})
			a := b.send(context.Background(), http.MethodPost, "/order/1")
			c.Assert(a.Status, qt.Equals, http.StatusBadGateway)
			c.Assert(a.Body, qt.HasLen, 0)
		})
	}
}
