// Package sender makes one HTTP attempt to a target or a host and proves whether any byte of it was written.
//
// It keeps its own connections: http.Transport repeats a request by itself on a connection that was closed while idle,
// and does not say how much of a request it wrote.
package sender

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// dialTimeout bounds the opening of a connection, which costs about 1 ms; the one-way latency is 1.5 ms.
const dialTimeout = 500 * time.Millisecond

// Field is a header line that is written in addition to those of the caller.
type Field struct {
	Name  string
	Value string
}

// Request is one attempt.
type Request struct {
	Addr   netip.AddrPort
	Method string
	// URI is the escaped path with the query.
	URI  string
	Host string
	// Header is written as it is, apart from Content-Length; the caller of Send has removed hop-by-hop headers.
	Header http.Header
	Fields []Field
	Body   []byte
	// Identity must come back in the answer, in the header that EchoHeader names or else in Bramleyline-Request.
	Identity   string
	EchoHeader string
	// EchoOptional allows an answer without the header; one with another identity is never taken.
	EchoOptional bool
	// Undelimited allows an answer without a length, which ends with its connection.
	Undelimited bool
	// Deadline bounds the attempt up to the last byte of the answer.
	Deadline time.Time
	// Connections bounds the open connections to Addr.
	Connections int
	// Settle is how long a new connection must stay open beyond a round trip before anything is sent on it; zero means
	// that it is used at once. A target that resets connections beyond its limit then leaves no doubt about the request.
	Settle time.Duration
	// TLS is used for the connection; nil means plain TCP.
	TLS *tls.Config
	// Check is called immediately before the first byte is written; an error turns the request away. It may be nil.
	Check func() error
}

// maxSettle bounds the wait for a new connection to settle: a dial that took long says nothing of the round trip.
const maxSettle = 6 * time.Millisecond

var errTurnedAway = errors.New("target ended a new connection")

// defaultEchoHeader is the header in which targets repeat the identity of a request.
const defaultEchoHeader = "Bramleyline-Request"

func (r *Request) echoHeader() string {
	if r.EchoHeader != "" {
		return r.EchoHeader
	}
	return defaultEchoHeader
}

// Sender makes attempts. Make it with New.
type Sender struct {
	dial   DialFunc
	pools  sync.Map // netip.AddrPort to *pool
	closed chan struct{}
	once   sync.Once
}

// DialFunc opens a connection, as net.Dialer does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a Sender without connections. A nil dial means a plain net.Dialer.
func New(dial DialFunc) *Sender {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Sender{
		dial:   dial,
		closed: make(chan struct{}),
	}
}

func (s *Sender) pool(addr netip.AddrPort) *pool {
	if p, ok := s.pools.Load(addr); ok {
		return p.(*pool)
	}
	p, _ := s.pools.LoadOrStore(addr, &pool{
		addr: addr,
	})
	return p.(*pool)
}

// Send makes one attempt and returns the answer up to its header, or a *Fault. The context should carry the deadline
// too; it bounds the wait for a connection, and its cancellation closes the connection.
func (s *Sender) Send(ctx context.Context, r *Request) (*Response, *Fault) {
	p, c, err := s.acquire(ctx, r)
	if err != nil {
		return nil, unsent(ctx, ReasonOverloaded, errors.Wrap(err, "no free connection"))
	}
	if c == nil {
		started := time.Now()
		if c, err = p.dial(ctx, s.dial, r.TLS); err != nil {
			p.release(nil)
			return nil, unsent(ctx, ReasonUnreachable, err)
		}
		if r.Settle > 0 && !c.settles(time.Since(started)+r.Settle) {
			_ = c.Close()
			p.release(nil)
			return nil, unsent(ctx, ReasonOverloaded, errTurnedAway)
		}
	}
	a := attempt{
		conn: c,
		req:  r,
		ctx:  ctx,
	}
	return a.run()
}

// acquire takes a place in the pool of the address. A pool that Trim removes at the same moment is replaced.
func (s *Sender) acquire(ctx context.Context, r *Request) (*pool, *conn, error) {
	for {
		select {
		case <-s.closed:
			return nil, nil, ErrClosed
		default:
		}
		p := s.pool(r.Addr)
		c, err := p.acquire(ctx, r.Connections)
		if err == nil || !errors.Is(err, ErrClosed) {
			return p, c, err
		}
		s.pools.CompareAndDelete(r.Addr, p)
	}
}

// unsent describes why nothing was written.
func unsent(ctx context.Context, reason string, err error) *Fault {
	switch {
	case errors.Is(err, ErrClosed):
		reason = ReasonUnreachable
	case errors.Is(ctx.Err(), context.Canceled):
		reason = ReasonCancelled
	}
	return NewFault(reason, http.StatusServiceUnavailable, err)
}

// Close closes idle connections and refuses further attempts. Attempts in progress go on.
func (s *Sender) Close() {
	s.once.Do(func() {
		close(s.closed)
		s.pools.Range(func(_, p any) bool {
			p.(*pool).close()
			return true
		})
	})
}

// Trim closes connections that were idle for long at now, and forgets addresses without connections. A target that is
// gone would otherwise leave its idle connections open for ever.
func (s *Sender) Trim(now time.Time) {
	s.pools.Range(func(addr, p any) bool {
		if p.(*pool).trim(now) {
			s.pools.CompareAndDelete(addr, p)
		}
		return true
	})
}

func resetLimit(c *conn) {
	c.left = math.MaxInt64
}
