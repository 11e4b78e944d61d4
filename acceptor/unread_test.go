package acceptor

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/reserver"
)

// heldAnswer gives back the memory of an answer.
type heldAnswer struct {
	memory *reserver.Reserver
	size   int64
}

func (h heldAnswer) Release() {
	h.memory.Release(h.size)
}

// Guards against an answer that its caller leaves unread and that holds memory for ever, or holds memory that does not count.
func TestUnreadAnswerCountsUntilItIsCut(t *testing.T) {
	c := qt.New(t)
	const size = 32 << 20
	memory := reserver.Reserver{
		Limit: size,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	a := Acceptor{
		Handler: handlerFunc(func(context.Context, *Request) *Answer {
			c.Check(memory.Reserve(size), qt.IsTrue)
			return &Answer{
				Status: http.StatusOK,
				Body:   make([]byte, size),
				Held: heldAnswer{
					memory: &memory,
					size:   size,
				},
			}
		}),
		answerTimeout: 500 * time.Millisecond,
	}
	a.Start(ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	time.Sleep(250 * time.Millisecond)
	c.Assert(memory.Fits(1), qt.IsFalse)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c.Assert(a.Finish(ctx), qt.IsNil)
	c.Assert(memory.Held(), qt.Equals, int64(0))
}
