// Package sender is an HTTP/1.1 client with a bounded connection pool for each address. Each call makes exactly one
// attempt at a target or a host, and a failed attempt tells whether any byte of the request was written.
//
// It replaces http.Transport, which retries a request by itself on a connection that was closed while idle, and does
// not report how much of a request it wrote.
package sender

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/reserver"
	"bramleyline.example/bramleyline/shaper"
)

// dialTimeout bounds the opening of a connection, which costs about 1 ms besides the network latency of 1.5 ms one way.
const dialTimeout = 500 * time.Millisecond

// targetPart is the number of targets that together may use up the memory for answers.
const targetPart = 3

// Field is a header field that is written in addition to Request.Header.
type Field struct {
	Name  string
	Value string
}

// Request describes one attempt.
type Request struct {
	Addr   netip.AddrPort
	Method string
	// URI is the escaped path with the query.
	URI  string
	Host string
	// Header is written as it is, apart from Content-Length and Host; the caller of Send must remove hop-by-hop headers.
	Header http.Header
	Fields []Field
	// LateFields returns further fields once the request is about to be written, for those that depend on the time: the body may
	// have waited for the link. It may be nil.
	LateFields func() []Field
	// Body holds the parts of the body, which are sent one after the other.
	Body [][]byte
	// Identity is the value that the answer must repeat in the header EchoHeader, by default Bramleyline-Request.
	Identity   string
	EchoHeader string
	// UniqueIdentity says that only attempts of one request have the same Identity. A connection that last carried it is not
	// used again then: should the answer arrive there once more, it would be taken for that to this attempt.
	UniqueIdentity bool
	// Connection is the number of the open connection over which alone the attempt may be made, zero for any. If that connection
	// is not open any more, or in use, the fault has ReasonDisconnected and nothing is written.
	Connection uint64
	// EchoOptional allows an answer without that header; an answer with another identity is never accepted.
	EchoOptional bool
	// Undelimited allows an answer without a length, whose body ends with the connection.
	Undelimited bool
	// Deadline is when the last byte of the answer must have been read.
	Deadline time.Time
	// Connections is the greatest number of open connections to Addr.
	Connections int
	// SettleTime is how long a new connection must stay open beyond a round trip before anything is sent on it; zero
	// means that it is used at once. If the target resets the connection because it has too many, the request is then
	// known not to have run.
	SettleTime time.Duration
	// TLS is the configuration of the connection; nil means plain TCP.
	TLS *tls.Config
	// Check is called immediately before the first byte is written. If it returns an error, nothing is written, and Send
	// returns the error if it is a *Fault, otherwise one with ReasonStaleRoute. Check may be nil.
	Check func() error
}

// maxSettleTime bounds how long a new connection must stay open before it is used. That time includes the duration of
// the dial as an estimate of the round trip, and a dial that took long is no such estimate.
const maxSettleTime = 6 * time.Millisecond

var errConnectionRejected = errors.New("target closed a new connection")

// bodySize returns the number of bytes of the body.
func (r *Request) bodySize() int {
	return sizeOf(r.Body)
}

// defaultEchoHeader is the header in which an answer repeats the identity of its request.
const defaultEchoHeader = "Bramleyline-Request"

func (r *Request) echoHeader() string {
	if r.EchoHeader != "" {
		return r.EchoHeader
	}
	return defaultEchoHeader
}

// Sender makes attempts over pooled connections. It must be created with New.
type Sender struct {
	dial      DialFunc
	memory    *reserver.Reserver
	small     reserver.Reserver
	link      *shaper.Shaper
	pools     sync.Map // netip.AddrPort to *pool
	closed    chan struct{}
	closeOnce sync.Once
}

// DialFunc opens a connection, as net.Dialer does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Option changes a Sender at its construction.
type Option func(*Sender)

// WithMemory bounds the bytes that are held of all long answers together, and those of small ones by as many again. A single target
// may hold a part of the first only, so that the answers of others can be read while a faulty one sends without end. The default is
// no bound.
func WithMemory(m *reserver.Reserver) Option {
	return func(s *Sender) { s.memory = m }
}

// WithLink makes the bodies of more than shaper.LongBody bytes wait for the link, in pieces. The default is not to wait.
func WithLink(l *shaper.Shaper) Option {
	return func(s *Sender) { s.link = l }
}

// New returns a Sender without connections. If dial is nil, a zero net.Dialer is used.
func New(dial DialFunc, opts ...Option) *Sender {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	s := Sender{
		dial:   dial,
		closed: make(chan struct{}),
	}
	for _, o := range opts {
		o(&s)
	}
	if s.memory != nil {
		s.small.Limit = s.memory.Limit
	}
	return &s
}

func (s *Sender) pool(addr netip.AddrPort) *pool {
	if p, ok := s.pools.Load(addr); ok {
		return p.(*pool)
	}
	fresh := &pool{
		addr: addr,
		memory: reserver.Reserver{
			Parent: s.memory,
		},
		small: &s.small,
	}
	if s.memory != nil && s.memory.Limit > 0 {
		fresh.memory.Limit = max(MaxBody+1, s.memory.Limit/targetPart)
	}
	p, _ := s.pools.LoadOrStore(addr, fresh)
	return p.(*pool)
}

// Send makes one attempt. It returns when the header of the answer was read, or with a *Fault. The context should carry
// r.Deadline too: it bounds the wait for a connection, and its cancellation closes the connection.
func (s *Sender) Send(ctx context.Context, r *Request) (*Response, *Fault) {
	a := attempt{
		req:  r,
		ctx:  ctx,
		link: s.link,
	}
	defer a.endFlow()
	if f := a.awaitLink(); f != nil {
		return nil, f
	}
	p, c, err := s.acquire(ctx, r)
	if err != nil {
		return nil, unsentFault(ctx, ReasonOverloaded, errors.Wrap(err, "no free connection"))
	}
	if c == nil {
		started := time.Now()
		if c, err = p.dial(ctx, s.dial, r.TLS); err != nil {
			p.release(nil)
			return nil, unsentFault(ctx, ReasonUnreachable, err)
		}
		if r.SettleTime > 0 && !c.staysOpen(time.Since(started)+r.SettleTime) {
			_ = c.Close()
			p.release(nil)
			return nil, unsentFault(ctx, ReasonOverloaded, errConnectionRejected)
		}
	}
	a.conn = c
	return a.run()
}

// acquire takes a token, and an idle connection if there is one, from the pool of the address. A pool that Trim has
// closed in the meantime is replaced by a new one.
func (s *Sender) acquire(ctx context.Context, r *Request) (*pool, *conn, error) {
	for {
		select {
		case <-s.closed:
			return nil, nil, ErrClosed
		default:
		}
		p := s.pool(r.Addr)
		unique := ""
		if r.UniqueIdentity {
			unique = r.Identity
		}
		if r.Connection != 0 {
			c, err := p.acquireNumber(r.Connection)
			return p, c, err
		}
		c, err := p.acquire(ctx, r.Connections, unique)
		if err == nil || !errors.Is(err, ErrClosed) {
			return p, c, err
		}
		s.pools.CompareAndDelete(r.Addr, p)
	}
}

// unsentFault returns the Fault of an attempt that wrote nothing, because of err.
func unsentFault(ctx context.Context, reason string, err error) *Fault {
	switch {
	case errors.Is(err, ErrClosed):
		reason = ReasonUnreachable
	case errors.Is(err, errDisconnected):
		reason = ReasonDisconnected
	case errors.Is(ctx.Err(), context.Canceled):
		reason = ReasonCancelled
	}
	return NewFault(reason, http.StatusServiceUnavailable, err)
}

// Close closes idle connections and makes further attempts fail. Attempts in progress continue.
func (s *Sender) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.pools.Range(func(_, p any) bool {
			p.(*pool).close()
			return true
		})
	})
}

// CloseIdle closes all idle connections. Attempts in progress continue.
func (s *Sender) CloseIdle() {
	s.pools.Range(func(_, p any) bool {
		p.(*pool).closeIdle()
		return true
	})
}

// Trim closes connections that, at now, were idle for longer than maxIdleTime, and drops the pools of addresses without
// connections. The idle connections to a target that no longer exists would otherwise stay open for ever.
func (s *Sender) Trim(now time.Time) {
	s.pools.Range(func(addr, p any) bool {
		if p.(*pool).trim(now) {
			s.pools.CompareAndDelete(addr, p)
		}
		return true
	})
}
