package injector

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// upstreamTimeout bounds the time to connect to the real receiver, which is on loopback.
const upstreamTimeout = time.Second

// link is the proxy for connections from one process to another.
type link struct {
	from     string
	to       string
	addr     netip.AddrPort
	upstream netip.AddrPort
	// forward is the fault of the bytes from the connecting process to upstream, backward that of the answers.
	forward  atomic.Pointer[Fault]
	backward atomic.Pointer[Fault]
	// nextChange returns a channel that is closed at the next change of the rules.
	nextChange func() <-chan struct{}
	wg         sync.WaitGroup

	mu sync.Mutex
	// ln is nil while connections are refused.
	ln     net.Listener
	conns  map[*pair]struct{}
	closed bool
}

func (l *link) listen(addr netip.AddrPort) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrapf(err, "link from %s to %s", l.from, l.to)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addr = ln.Addr().(*net.TCPAddr).AddrPort()
	l.startAccepting(ln)
	return nil
}

// startAccepting serves the connections of ln. The caller holds l.mu.
func (l *link) startAccepting(ln net.Listener) {
	l.ln = ln
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				l.serve(c.(*net.TCPConn))
			}()
		}
	}()
}

// updateListener closes the listener while connections are refused, so that the kernel refuses them, and listens again
// afterwards.
func (l *link) updateListener() {
	l.mu.Lock()
	defer l.mu.Unlock()
	refuse := l.forward.Load().Refuse
	switch {
	case l.closed:
	case refuse && l.ln != nil:
		_ = l.ln.Close()
		l.ln = nil
	case !refuse && l.ln == nil:
		if ln, err := net.Listen("tcp", l.addr.String()); err == nil {
			l.startAccepting(ln)
		}
	}
}

// serve proxies one connection until it ends.
func (l *link) serve(client *net.TCPConn) {
	if l.forward.Load().Refuse {
		abort(client)
		return
	}
	c, err := net.DialTimeout("tcp", l.upstream.String(), upstreamTimeout)
	if err != nil {
		abort(client)
		return
	}
	p := &pair{
		link:   l,
		client: client,
		server: c.(*net.TCPConn),
		done:   make(chan struct{}),
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.abort()
		return
	}
	l.conns[p] = struct{}{}
	l.mu.Unlock()
	p.run()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// reset resets all open connections of the link and returns their number.
func (l *link) reset() int {
	l.mu.Lock()
	pairs := make([]*pair, 0, len(l.conns))
	for p := range l.conns {
		pairs = append(pairs, p)
	}
	l.mu.Unlock()
	for _, p := range pairs {
		p.abort()
	}
	return len(pairs)
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	if l.ln != nil {
		_ = l.ln.Close()
		l.ln = nil
	}
	l.mu.Unlock()
	l.reset()
}

// abort closes a connection with a reset.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
