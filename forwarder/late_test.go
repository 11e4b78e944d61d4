package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a late duplicate of an answer on a connection that is already reused for the next request. The
// duplicate must not be delivered as the answer to that request, and a duplicate rejection must not make the router say
// that the request did not run.
func TestLateDuplicateAnswerIsNotDelivered(t *testing.T) {
	rejection := "HTTP/1.1 503 Service Unavailable\r\n" + testOutcome + ": notRun\r\nContent-Length: 0\r\n"
	for _, tt := range []struct {
		name  string
		first string
		// copy is the duplicate that is sent in place of the answer to the second request.
		copy string
	}{
		{
			name:  "answer",
			first: "HTTP/1.1 200 OK\r\n" + testRequest + ": r1\r\nContent-Length: 3\r\n\r\none",
			copy:  "HTTP/1.1 200 OK\r\n" + testRequest + ": r1\r\nContent-Length: 3\r\n\r\none",
		},
		{
			name:  "answer without an identity",
			first: "HTTP/1.1 200 OK\r\n" + testRequest + ": r1\r\nContent-Length: 3\r\n\r\none",
			copy:  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none",
		},
		{
			name:  "rejection",
			first: rejection + testRequest + ": r1\r\n\r\n",
			copy:  rejection + testRequest + ": r1\r\n\r\n",
		},
		{
			name:  "rejection without an identity",
			first: rejection + testRequest + ": r1\r\n\r\n",
			copy:  rejection + "\r\n",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(c)
			b.putTable()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = ln.Close() })
			var runs atomic.Int32
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				br := bufio.NewReader(conn)
				for _, text := range []string{tt.first, tt.copy} {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					runs.Add(1)
					if _, err := io.WriteString(conn, text); err != nil {
						return
					}
				}
				_, _ = br.Peek(1)
			}()
			b.announce("t0", "desk", netip.MustParseAddrPort(ln.Addr().String()))
			b.send(context.Background(), http.MethodPost, "/order/1")
			a := b.send(context.Background(), http.MethodPost, "/order/2", testRequest, "r2")
			c.Assert(runs.Load(), qt.Equals, int32(2))
			c.Assert(a.Status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", fmt.Sprint(a.Header)))
		})
	}
}
