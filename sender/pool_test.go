package sender

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a connection that is closed, and another opened beyond the limit, because a caller that waited had its
// turn but not yet its connection when the next one was given back.
func TestConnectionGoesToTheCallerThatWaits(t *testing.T) {
	c := qt.New(t)
	const limit = 2
	p := pool{}
	var open []*conn
	for range limit {
		_, err := p.acquire(context.Background(), limit)
		c.Assert(err, qt.IsNil)
		near, far := net.Pipe()
		defer far.Close()
		open = append(open, newConn(near, near, &p))
	}
	got := make(chan *conn, limit)
	for range limit {
		go func() {
			cn, _ := p.acquire(context.Background(), limit)
			got <- cn
		}()
	}
	for waiting := 0; waiting < limit; {
		p.mu.Lock()
		waiting = len(p.wait)
		p.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	for _, cn := range open {
		p.release(cn)
	}
	for range limit {
		c.Assert(<-got != nil, qt.IsTrue)
	}
	c.Assert(p.used, qt.Equals, limit)
	c.Assert(p.idle, qt.HasLen, 0)
}

// Guards against a token that is lost with a caller that gives up while it waits.
func TestTokenOfAnAbandonedWaitIsPassedOn(t *testing.T) {
	c := qt.New(t)
	p := pool{}
	_, err := p.acquire(context.Background(), 1)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = p.acquire(ctx, 1)
	c.Assert(err, qt.Equals, context.Canceled)
	p.release(nil)
	_, err = p.acquire(context.Background(), 1)
	c.Assert(err, qt.IsNil)
}
