package emulator

import (
	"net"
	"sync"
)

// listener bounds the number of connections and can reset them all.
type listener struct {
	net.Listener
	limit int

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

type conn struct {
	*net.TCPConn
	ln *listener
}

func newListener(ln net.Listener, limit int) *listener {
	return &listener{
		Listener: ln,
		limit:    limit,
		conns:    make(map[*conn]struct{}),
	}
}

// Accept returns the next connection within the limit, and resets those beyond it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{
			TCPConn: raw.(*net.TCPConn),
			ln:      l,
		}
		l.mu.Lock()
		ok := !l.closed && len(l.conns) < l.limit
		if ok {
			l.conns[c] = struct{}{}
		}
		l.mu.Unlock()
		if ok {
			return c, nil
		}
		_ = c.SetLinger(0)
		_ = raw.Close()
	}
}

// Close closes the connection, which then no longer counts towards the limit.
func (c *conn) Close() error {
	c.ln.mu.Lock()
	delete(c.ln.conns, c)
	c.ln.mu.Unlock()
	return c.TCPConn.Close()
}

// reset closes the listener and resets all connections, as the operating system does for a process that died.
func (l *listener) reset() {
	_ = l.Close()
	l.mu.Lock()
	l.closed = true
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}
