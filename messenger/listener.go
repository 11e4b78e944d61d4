package messenger

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// handshakeTimeout bounds the TLS handshake and the authentication of an accepted connection, so that an unresponsive
// peer does not occupy a connection.
const handshakeTimeout = 2 * time.Second

// defaultMaxConnections bounds the open connections of a Listener: each host of a large deployment keeps one.
const defaultMaxConnections = 8192

// Listener is an RPC server. It serves net/rpc services to peers that have the system key.
type Listener struct {
	// Key is the system key, with which both sides of a connection authenticate each other.
	Key []byte
	// TLS is the server's TLS configuration; nil means plain TCP.
	TLS *tls.Config
	// MaxConnections bounds open connections; zero means 8192.
	MaxConnections int

	rpc   rpc.Server
	ln    net.Listener
	done  chan struct{}
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Register adds a service under name. Its methods must have the form that net/rpc requires.
func (l *Listener) Register(name string, service any) error {
	return errors.Wrapf(l.rpc.RegisterName(name, service), "register %s", name)
}

// Start accepts connections on ln until Close.
func (l *Listener) Start(ln net.Listener) {
	l.ln = ln
	l.done = make(chan struct{})
	l.conns = make(map[net.Conn]struct{})
	if l.MaxConnections == 0 {
		l.MaxConnections = defaultMaxConnections
	}
	go l.accept()
}

// Done returns a channel that is closed when the Listener has stopped accepting connections.
func (l *Listener) Done() <-chan struct{} {
	return l.done
}

// Close stops accepting and closes all connections.
func (l *Listener) Close() error {
	err := l.ln.Close()
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
	return err
}

func (l *Listener) accept() {
	defer close(l.done)
	for {
		conn, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Accept fails temporarily while the process is out of file descriptors.
			time.Sleep(redialBackoff)
			continue
		}
		if !l.addConn(conn) {
			counters.Add("refusedConnections", 1)
			_ = conn.Close()
			continue
		}
		go l.serve(conn)
	}
}

// addConn registers conn, and returns false if there are MaxConnections already.
func (l *Listener) addConn(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.MaxConnections {
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

// serve authenticates a peer and answers its calls until the connection ends.
func (l *Listener) serve(raw net.Conn) {
	defer func() {
		l.mu.Lock()
		delete(l.conns, raw)
		l.mu.Unlock()
		_ = raw.Close()
	}()
	conn := raw
	if l.TLS != nil {
		conn = tls.Server(raw, l.TLS)
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := authenticateServer(conn, l.Key); err != nil {
		counters.Add("refusedPeers", 1)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	l.rpc.ServeConn(newWatchedConn(conn))
}
