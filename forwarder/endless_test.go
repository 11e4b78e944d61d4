package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/sender"
)

// Guards against a faulty target that sends without end, in the header or in the body of an answer. The caller must get
// a failure that does not claim that the request did not run, the connection must be closed, and no more may be read
// than the maximum size of an answer.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + testRequest + ": r1\r\n"
	for _, tt := range []struct {
		name   string
		start  string
		repeat string
	}{
		{
			name:   "no answer",
			repeat: strings.Repeat("x", 4096),
		},
		{
			name:   "header",
			start:  head + "X-Long: ",
			repeat: strings.Repeat("x", 4096),
		},
		{
			name:   "headers",
			start:  head,
			repeat: strings.Repeat("X-Many: x\r\n", 400),
		},
		{
			name:   "informational answers",
			repeat: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100),
		},
		{
			name:   "body without a length",
			start:  head + "\r\n",
			repeat: strings.Repeat("x", 4096),
		},
		{
			name:   "chunks",
			start:  head + "Transfer-Encoding: chunked\r\n\r\n",
			repeat: strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 4),
		},
		{
			name:   "chunk extension",
			start:  head + "Transfer-Encoding: chunked\r\n\r\n1;",
			repeat: strings.Repeat("x", 4096),
		},
		{
			name:   "length beyond any memory",
			start:  head + "Content-Length: 1000000000000000\r\n\r\n",
			repeat: strings.Repeat("x", 4096),
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(c)
			b.putTable()
			var sent atomic.Int64
			closed := make(chan struct{})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = ln.Close() })
			go func() {
				defer close(closed)
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 4096)); err != nil {
					return
				}
				_, err = io.WriteString(conn, tt.start)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, tt.repeat)
					sent.Add(int64(n))
				}
			}()
			b.announce("t0", "desk", netip.MustParseAddrPort(ln.Addr().String()))
			a := b.send(context.Background(), http.MethodPost, "/order/1")
			c.Assert(a.Held == nil, qt.IsTrue)
			c.Assert(a.Status >= 502, qt.IsTrue, qt.Commentf("%d", a.Status))
			c.Assert(a.Status, qt.Not(qt.Equals), 503)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				c.Fatal("connection was not closed")
			}
			// The target can also write what fits into the buffers of both sockets.
			const socketBuffers = 16 << 20
			c.Assert(sent.Load() < sender.MaxBody+socketBuffers, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
			c.Assert(b.memory.Held(), qt.Equals, int64(0))
		})
	}
}

// Guards against the memory of a long answer that is free again before its caller has it, or never.
func TestLongAnswerIsReservedUntilItIsWritten(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	b.target("a", "desk", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) })
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Assert(a.Body, qt.HasLen, 1<<20)
	c.Assert(b.memory.Held() >= 1<<20, qt.IsTrue)
	a.Held.Release()
	c.Assert(b.memory.Held(), qt.Equals, int64(0))
}
