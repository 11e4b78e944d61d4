package operator

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	headerTimeout = 2 * time.Second
	readTimeout   = 10 * time.Second
	// writeTimeout is longer than requestTimeout, so that a late answer can still be sent.
	writeTimeout   = 12 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// maxConnections bounds open connections, so that file descriptors remain for callers if operators' tools leave
	// connections open.
	maxConnections = 64
)

type serverState struct {
	http *http.Server
	done chan struct{}
}

// Start serves the API on ln until Close. A nil config means plain HTTP.
func (o *Operator) Start(ln net.Listener, config *tls.Config) {
	ln = &limitedListener{
		Listener: ln,
		open:     make(chan struct{}, maxConnections),
		closed:   make(chan struct{}),
	}
	if config != nil {
		ln = tls.NewListener(ln, config)
	}
	s := &http.Server{
		Handler:           o.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	o.server.http = s
	o.server.done = make(chan struct{})
	go func() {
		defer close(o.server.done)
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			counters.Add("serveErrors", 1)
		}
	}()
}

// Close stops accepting and waits for requests in progress until ctx ends.
func (o *Operator) Close(ctx context.Context) error {
	if o.server.http == nil {
		return nil
	}
	err := o.server.http.Shutdown(ctx)
	if err != nil {
		_ = o.server.http.Close()
	}
	<-o.server.done
	return errors.Wrap(err, "shut down operator API")
}

// Done returns a channel that is closed when the Operator no longer accepts connections.
func (o *Operator) Done() <-chan struct{} {
	return o.server.done
}

// limitedListener is a listener with at most cap(open) open connections: Accept waits until there is one less. open has
// one element for each open connection.
type limitedListener struct {
	net.Listener

	open      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.open <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitedConn{
		Conn:    conn,
		release: sync.OnceFunc(func() { <-l.open }),
	}, nil
}

func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn

	release func()
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
