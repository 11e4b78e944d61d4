package sender

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against connections beyond the limit: if a waiting caller got its token without a connection, a connection
// that is released next would count as one too many and be closed, and the waiter would open another.
func TestConnectionGoesToTheCallerThatWaits(t *testing.T) {
	c := qt.New(t)
	const limit = 2
	p := pool{}
	var inUse []*conn
	for range limit {
		_, err := p.acquire(context.Background(), limit, "")
		c.Assert(err, qt.IsNil)
		near, far := net.Pipe()
		defer far.Close()
		inUse = append(inUse, newConn(near, near, &p))
	}
	got := make(chan *conn, limit)
	for range limit {
		go func() {
			cn, _ := p.acquire(context.Background(), limit, "")
			got <- cn
		}()
	}
	for waiting := 0; waiting < limit; {
		p.mu.Lock()
		waiting = len(p.waiters)
		p.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	for _, cn := range inUse {
		p.release(cn)
	}
	for range limit {
		c.Assert(<-got != nil, qt.IsTrue)
	}
	c.Assert(p.inUse, qt.Equals, limit)
	c.Assert(p.idle, qt.HasLen, 0)
}

// Guards against a token that is lost because it is passed to a caller that has given up waiting.
func TestTokenOfAnAbandonedWaitIsPassedOn(t *testing.T) {
	c := qt.New(t)
	p := pool{}
	_, err := p.acquire(context.Background(), 1, "")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = p.acquire(ctx, 1, "")
	c.Assert(err, qt.Equals, context.Canceled)
	p.release(nil)
	_, err = p.acquire(context.Background(), 1, "")
	c.Assert(err, qt.IsNil)
}
