package messenger

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// handshakeTimeout bounds authentication, so that a silent peer does not hold a connection.
const handshakeTimeout = 2 * time.Second

// defaultMaxConnections bounds the connections of a Listener: each host of a large deployment keeps one.
const defaultMaxConnections = 8192

// Listener serves net/rpc services to peers that have the system's key.
type Listener struct {
	// Key authenticates both sides of a connection.
	Key []byte
	// TLS is the server's configuration; nil means plain TCP.
	TLS *tls.Config
	// MaxConnections bounds open connections; zero means 8192.
	MaxConnections int

	rpc   rpc.Server
	ln    net.Listener
	done  chan struct{}
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Register adds a service under name, with the methods that net/rpc asks for.
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

// Done is closed when the Listener has stopped.
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
			// Accept fails for a moment when the process has no file descriptor left.
			time.Sleep(redialWait)
			continue
		}
		if !l.add(conn) {
			counters.Add("refusedConnections", 1)
			_ = conn.Close()
			continue
		}
		go l.serve(conn)
	}
}

func (l *Listener) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.MaxConnections {
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

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
