// Package acceptor is the HTTP/1.1 server for callers. It supports pipelining: it reads ahead on each connection, so
// that pipelined requests run concurrently and a caller that disconnects is detected while its requests run, and it
// writes the answers in the order of the requests.
package acceptor

import (
	"context"
	"expvar"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/reserver"
	"bramleyline.example/bramleyline/shaper"
)

const (
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTimeout and defaultIdleTimeout apply where the table has no limit.
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 16 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// maxConnections bounds open connections: a host has about 4,000 file descriptors for callers and targets together.
	maxConnections = 2500
	// acceptBackoff is the pause after a failed accept, which happens when the process has no file descriptor left.
	acceptBackoff = 10 * time.Millisecond
	// closeInterval is the time between two steps of CloseIdle.
	closeInterval = 10 * time.Millisecond
)

var counters = expvar.NewMap("acceptor")

// Request is one request with its complete body.
type Request struct {
	Method string
	// URI is the escaped path with the query, Path the path alone.
	URI    string
	Path   string
	Host   string
	Header http.Header
	// Body holds the parts of the body, which follow each other.
	Body [][]byte
	// Arrived is when the first byte was read.
	Arrived time.Time

	// reserved is the memory that is reserved for the body.
	reserved int64
}

// Answer is a complete answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Abort makes the acceptor close the connection without an answer.
	Abort bool
	// Held is released once the answer was written or dropped; it may be nil.
	Held Releaser
}

// Releaser is memory that an answer takes until its caller has it.
type Releaser interface {
	Release()
}

// Handler answers requests. Handle is called concurrently; its context is cancelled when the caller has disconnected.
type Handler interface {
	Handle(ctx context.Context, r *Request) *Answer
}

// Acceptor serves the connections of a listener. Handler must be set.
type Acceptor struct {
	Handler Handler
	// Limits returns the limits in force; a limit of zero, or a nil function, means the default.
	Limits func() matcher.Limits
	// Memory bounds the bodies of all requests together; nil means no bound. A request whose body does not fit is refused.
	Memory *reserver.Reserver
	// Link schedules long bodies and accounts for answers; nil means that bodies are read as they arrive.
	Link *shaper.Shaper
	// Allowance returns the time that a request has, by its HTTP host, path and header; nil means that none
	// is refused. Link refuses bodies by it.
	Allowance func(host, path string, h http.Header) shaper.Allowance

	// answerTimeout replaces writeTimeout in tests; zero means writeTimeout.
	answerTimeout time.Duration

	ln net.Listener
	// draining is true if connections end after their last pending answer.
	draining atomic.Bool
	// smallBuffers is true if ln passes small receive buffers on to its connections.
	smallBuffers bool
	// finishing is true if connections also end when nothing arrives on them within shutdownGrace.
	finishing atomic.Bool
	mu        sync.Mutex
	conns     map[*conn]struct{}
	connWG    sync.WaitGroup
	done      chan struct{}
}

// Start accepts connections on ln until Finish.
func (a *Acceptor) Start(ln net.Listener) {
	a.ln = ln
	a.conns = make(map[*conn]struct{})
	a.done = make(chan struct{})
	a.limitBuffers()
	go a.accept()
}

// Done returns a channel that is closed when the acceptor has stopped accepting connections.
func (a *Acceptor) Done() <-chan struct{} {
	return a.done
}

// Drain closes each connection after its last pending answer. New connections are still accepted and served.
func (a *Acceptor) Drain() {
	a.draining.Store(true)
}

// CloseIdle closes the connections without a request, one after the other within the time d, so that their callers do not all
// connect again at the same moment. Requests that callers have already sent are still answered. It returns when all are closed,
// or when ctx ends.
func (a *Acceptor) CloseIdle(ctx context.Context, d time.Duration) {
	a.mu.Lock()
	conns := slices.Collect(maps.Keys(a.conns))
	a.mu.Unlock()
	began := time.Now()
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for closed := 0; closed < len(conns); {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		share := min(1, float64(time.Since(began))/float64(d))
		for ; closed < int(share*float64(len(conns))); closed++ {
			conns[closed].endIdle()
		}
	}
}

// Finish is a graceful shutdown: it stops accepting, closes connections without a request and waits for the others
// until ctx ends. Requests that callers have already sent are still answered: connections that wait to be accepted and
// requests that wait to be read are taken for another shutdownGrace.
func (a *Acceptor) Finish(ctx context.Context) error {
	a.Drain()
	a.finishing.Store(true)
	if l, ok := a.ln.(interface{ SetDeadline(time.Time) error }); ok && l.SetDeadline(time.Now().Add(shutdownGrace)) == nil {
		<-a.done
	}
	err := a.ln.Close()
	<-a.done
	a.mu.Lock()
	for c := range a.conns {
		c.endIdle()
	}
	a.mu.Unlock()
	finished := make(chan struct{})
	go func() {
		a.connWG.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return errors.Wrap(err, "close listener")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests are still in progress")
	}
}

func (a *Acceptor) accept() {
	defer close(a.done)
	for {
		raw, err := a.ln.Accept()
		if errors.Is(err, net.ErrClosed) || a.finishing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			counters.Add("acceptErrors", 1)
			time.Sleep(acceptBackoff)
			continue
		}
		c, ok := a.add(raw)
		if !ok {
			counters.Add("connectionsRefused", 1)
			_ = raw.Close()
			continue
		}
		counters.Add("connections", 1)
		a.limitBuffers()
		go c.serve()
	}
}

// add returns a conn for a new connection; it returns false if there are maxConnections already.
func (a *Acceptor) add(raw net.Conn) (*conn, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.conns) >= maxConnections {
		return nil, false
	}
	c := newConn(a, raw)
	a.conns[c] = struct{}{}
	a.connWG.Add(1)
	return c, true
}

func (a *Acceptor) remove(c *conn) {
	a.mu.Lock()
	delete(a.conns, c)
	a.mu.Unlock()
	a.connWG.Done()
}

// limits returns the limits in force, with the default for each that is not set.
func (a *Acceptor) limits() matcher.Limits {
	var l matcher.Limits
	if a.Limits != nil {
		l = a.Limits()
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
