package sender

import (
	"context"
	"crypto/tls"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/reserver"
)

// maxIdleTime is how long an unused connection is kept. It is shorter than the usual idle timeout of servers, 60 s.
const maxIdleTime = 30 * time.Second

// pool holds the connections to one address. Each connection in use, or about to be opened, takes a token. Tokens and
// idle connections together never exceed the limit, unless the limit was lowered.
type pool struct {
	addr netip.AddrPort
	// memory bounds the bytes that are held of answers from this address.
	memory reserver.Reserver
	// small bounds the bytes that are held of the small bodies of all addresses; nil means no bound.
	small *reserver.Reserver

	mu sync.Mutex
	// idle holds the unused connections, the most recently used last.
	idle []*conn
	// inUse is the number of tokens taken.
	inUse int
	// waiters holds a channel for each caller that waits for a token, the first one first. Receiving from it passes on a
	// released token together with its connection, which is nil if that was closed.
	waiters []chan *conn
	// limit is the greatest number of open connections, as the last caller of acquire gave it.
	limit  int
	closed bool
}

// acquire waits until fewer than limit connections are in use, and takes a token. It returns an idle connection that is
// still usable, or nil if there is none and the caller has to dial. A connection that last carried the identity unique,
// unless that is empty, is closed.
func (p *pool) acquire(ctx context.Context, limit int, unique string) (*conn, error) {
	c, err := p.acquireToken(ctx, limit)
	if err != nil {
		return nil, err
	}
	for {
		if c != nil {
			if (unique == "" || c.identity != unique) && c.withinKeepAlive(time.Now()) && c.alive() {
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

var errDisconnected = errors.New("connection is closed or in use")

// acquireNumber takes the idle connection with a number, and a token. It fails with errDisconnected if there is none that is still
// usable.
func (p *pool) acquireNumber(number uint64) (*conn, error) {
	p.mu.Lock()
	i := slices.IndexFunc(p.idle, func(c *conn) bool { return c.number == number })
	if i < 0 {
		p.mu.Unlock()
		return nil, errDisconnected
	}
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.inUse++
	p.mu.Unlock()
	if c.withinKeepAlive(time.Now()) && c.alive() {
		return c, nil
	}
	_ = c.Close()
	p.release(nil)
	return nil, errDisconnected
}

// acquireToken waits for a token, and returns a connection with it if one is unused or was released with the token.
func (p *pool) acquireToken(ctx context.Context, limit int) (*conn, error) {
	p.mu.Lock()
	p.limit = max(1, limit)
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.inUse < p.limit {
		p.inUse++
		c := p.popIdle()
		p.mu.Unlock()
		return c, nil
	}
	ch := make(chan *conn, 1)
	p.waiters = append(p.waiters, ch)
	p.mu.Unlock()
	select {
	case c := <-ch:
		return c, nil
	case <-ctx.Done():
		p.removeWaiter(ch)
		return nil, ctx.Err()
	}
}

// popIdle removes and returns the most recently used idle connection, nil if there is none. The caller holds the lock.
func (p *pool) popIdle() *conn {
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// removeWaiter removes a waiter that gave up. A token that it was given at the same moment is released again.
func (p *pool) removeWaiter(ch chan *conn) {
	p.mu.Lock()
	i := slices.Index(p.waiters, ch)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 {
		p.release(<-ch)
	}
}

// dial opens a connection; the caller holds a token.
func (p *pool) dial(ctx context.Context, dial DialFunc, config *tls.Config) (*conn, error) {
	// The idle connections and those in use, including the one to be opened, must not exceed the limit together.
	p.mu.Lock()
	var excess *conn
	if len(p.idle) > 0 && len(p.idle)+p.inUse > p.limit {
		excess = p.idle[0]
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	if excess != nil {
		_ = excess.Close()
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
	below := &eofRecorder{
		Conn: c,
	}
	secure := tls.Client(below, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	cn := newConn(secure, c, p)
	cn.below = below
	return cn, nil
}

// release returns a token. c is kept for another request; it is nil if the connection was closed.
func (p *pool) release(c *conn) {
	now := time.Now()
	p.mu.Lock()
	expired := p.expire(now)
	if c != nil {
		c.idleSince = now
		if p.closed || len(p.idle)+p.inUse > p.limit {
			expired = append(expired, c)
			c = nil
		}
	}
	if len(p.waiters) > 0 && p.inUse <= p.limit {
		// The waiter gets the connection together with the token. If the connection became idle instead, another caller
		// could take it, and the waiter would open one beyond the limit.
		p.waiters[0] <- c
		p.waiters = p.waiters[1:]
	} else {
		p.inUse--
		if c != nil {
			p.idle = append(p.idle, c)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// expire removes and returns the connections that were idle for longer than maxIdleTime. The caller holds the lock.
func (p *pool) expire(now time.Time) (expired []*conn) {
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > maxIdleTime {
		expired = append(expired, p.idle[0])
		p.idle = p.idle[1:]
	}
	return expired
}

// trim closes the connections that were idle for longer than maxIdleTime, and those that the target has closed or on which it
// has sent bytes that belong to no request: those would stay in the buffers of the operating system. If the pool is then unused,
// trim closes it too; it reports whether the pool is closed.
func (p *pool) trim(now time.Time) bool {
	p.mu.Lock()
	expired := p.expire(now)
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		alive := c.alive()
		if !alive {
			expired = append(expired, c)
		}
		return !alive
	})
	p.closed = p.closed || p.inUse == 0 && len(p.idle) == 0 && len(p.waiters) == 0
	closed := p.closed
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
	return closed
}

// closeIdle closes the idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// close closes the idle connections; those in use are closed when they are released.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}
