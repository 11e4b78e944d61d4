package sender

import (
	"context"
	"crypto/tls"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// idleTime is how long an unused connection is kept. It is shorter than the idle time-outs common at servers (60 s).
const idleTime = 30 * time.Second

// pool has the connections to one address. Its size is bounded by tokens, one for each open connection in use: idle
// connections and tokens together never exceed the limit unless that was lowered.
type pool struct {
	addr netip.AddrPort

	mu   sync.Mutex
	idle []*conn
	used int
	// wait has the callers that wait for a token. Each gets one with the connection of whoever gave it back, nil if that
	// was closed.
	wait  []chan *conn
	limit int
	ended bool
}

// acquire waits until fewer than limit connections are in use, and returns an idle connection if there is one.
func (p *pool) acquire(ctx context.Context, limit int) (*conn, error) {
	c, err := p.token(ctx, limit)
	if err != nil {
		return nil, err
	}
	for {
		if c != nil {
			if c.fresh(time.Now()) && c.alive() {
				return c, nil
			}
			_ = c.Close()
		}
		p.mu.Lock()
		c = p.popIdle()
		p.mu.Unlock()
		if c == nil {
			return nil, nil
		}
	}
}

// token waits for the right to use a connection, and returns an unused one if there is one.
func (p *pool) token(ctx context.Context, limit int) (*conn, error) {
	p.mu.Lock()
	p.limit = max(1, limit)
	if p.ended {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.used < p.limit {
		p.used++
		c := p.popIdle()
		p.mu.Unlock()
		return c, nil
	}
	ch := make(chan *conn, 1)
	p.wait = append(p.wait, ch)
	p.mu.Unlock()
	select {
	case c := <-ch:
		return c, nil
	case <-ctx.Done():
		p.abandon(ch)
		return nil, ctx.Err()
	}
}

// popIdle returns the connection that was used last, nil if there is none. The caller holds the lock.
func (p *pool) popIdle() *conn {
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// abandon removes a waiter, or passes its turn on if it came at the same moment.
func (p *pool) abandon(ch chan *conn) {
	p.mu.Lock()
	i := slices.Index(p.wait, ch)
	if i >= 0 {
		p.wait = slices.Delete(p.wait, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 {
		p.release(<-ch)
	}
}

// dial opens a connection; the caller has acquired its place before.
func (p *pool) dial(ctx context.Context, dial DialFunc, config *tls.Config) (*conn, error) {
	// An idle connection and the one to be opened together must not exceed the bound.
	p.mu.Lock()
	var spare *conn
	if len(p.idle) > 0 && len(p.idle)+p.used > p.limit {
		spare = p.idle[0]
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	if spare != nil {
		_ = spare.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := dial(ctx, "tcp", p.addr.String())
	if err != nil {
		return nil, err
	}
	if config == nil {
		return newConn(c, c, p), nil
	}
	secure := tls.Client(c, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return newConn(secure, c, p), nil
}

// release gives a token back; c is kept for another request unless it is nil.
func (p *pool) release(c *conn) {
	now := time.Now()
	p.mu.Lock()
	old := p.expire(now)
	if c != nil {
		c.idle = now
		if p.ended || len(p.idle)+p.used > p.limit {
			old = append(old, c)
			c = nil
		}
	}
	if len(p.wait) > 0 && p.used <= p.limit {
		// The connection goes with the token. As an idle one it could go to another caller, and this one would open a
		// connection beyond the limit.
		p.wait[0] <- c
		p.wait = p.wait[1:]
	} else {
		p.used--
		if c != nil {
			p.idle = append(p.idle, c)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// expire removes and returns the connections that were idle for too long. The caller holds the lock.
func (p *pool) expire(now time.Time) (old []*conn) {
	for len(p.idle) > 0 && now.Sub(p.idle[0].idle) > idleTime {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	return old
}

// trim closes the connections that were idle for too long. If none is left the pool ends, and trim returns true.
func (p *pool) trim(now time.Time) bool {
	p.mu.Lock()
	old := p.expire(now)
	p.ended = p.ended || p.used == 0 && len(p.idle) == 0 && len(p.wait) == 0
	ended := p.ended
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
	return ended
}

// close closes the idle connections; those in use are closed when they are released.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.ended = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}
