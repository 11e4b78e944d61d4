package sender

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"
)

// idleTime is how long an unused connection is kept. It is shorter than the idle time-outs common at servers (60 s).
const idleTime = 30 * time.Second

// pool has the connections to one address. Its size is bounded by tokens, one for each open connection in use.
type pool struct {
	addr netip.AddrPort

	mu    sync.Mutex
	idle  []*conn
	used  int
	wait  []chan struct{}
	limit int
	ended bool
}

// acquire waits until fewer than limit connections are in use, and returns an idle connection if there is one.
func (p *pool) acquire(ctx context.Context, limit int) (*conn, error) {
	p.mu.Lock()
	p.limit = max(1, limit)
	if p.ended {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.used >= p.limit {
		ch := make(chan struct{})
		p.wait = append(p.wait, ch)
		p.mu.Unlock()
		select {
		case <-ch:
			// The connection in use was passed on, so used already counts this caller.
		case <-ctx.Done():
			p.abandon(ch)
			return nil, ctx.Err()
		}
		p.mu.Lock()
	} else {
		p.used++
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		p.mu.Unlock()
		if c.fresh(time.Now()) && c.alive() {
			return c, nil
		}
		_ = c.Close()
		p.mu.Lock()
	}
	p.mu.Unlock()
	return nil, nil
}

// abandon removes a waiter, or passes its turn on if it came at the same moment.
func (p *pool) abandon(ch chan struct{}) {
	p.mu.Lock()
	for i, w := range p.wait {
		if w == ch {
			p.wait = append(p.wait[:i], p.wait[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	p.release(nil)
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

// release gives a place back; c is kept for another request unless it is nil.
func (p *pool) release(c *conn) {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	if c != nil {
		c.idle = now
		if p.ended || len(p.idle)+p.used > p.limit {
			old = append(old, c)
		} else {
			p.idle = append(p.idle, c)
		}
	}
	old = append(old, p.expire(now)...)
	if len(p.wait) > 0 && p.used <= p.limit {
		ch := p.wait[0]
		p.wait = p.wait[1:]
		close(ch)
	} else {
		p.used--
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
