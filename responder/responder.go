// Package responder is a test double of a server that writes its answers as they are, so that they may break HTTP/1.1, and that
// may answer before it has read a request.
package responder

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ioTimeout bounds each connection, so that a test fails rather than hangs.
const ioTimeout = 20 * time.Second

// Responder answers the first request of each connection, and then ends the connection. Its fields must not be changed after
// Start. The zero value closes each connection after the header of its request.
type Responder struct {
	// Answer returns the bytes of the answer to a request; nil means none.
	Answer func(r *http.Request) string
	// ReadBefore and ReadAfter are the bytes of the body that are read before and after the answer. What is left unread makes the
	// kernel reset the connection at its end. A negative number means the whole body.
	ReadBefore int64
	ReadAfter  int64
	// Pause is the time between the answer and the read or the end that follows.
	Pause time.Duration
	// CloseWrite says that the answer is followed by the end of the stream in this direction, before the pause.
	CloseWrite bool
	// Reset says that the connection is reset at its end even if nothing is left unread.
	Reset bool
	// KeepOpen says that the connection stays open until the peer closes it.
	KeepOpen bool
	// TLS is the configuration of the connections; nil means plain TCP. Truncate says that they end without a closure alert.
	TLS      *tls.Config
	Truncate bool

	ln          net.Listener
	connections atomic.Int64
	requests    atomic.Int64
	mu          sync.Mutex
	open        map[net.Conn]struct{}
	closed      bool
	wg          sync.WaitGroup
	done        chan struct{}
}

// Start accepts connections on a free port of loopback until Close.
func (p *Responder) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p.ln = ln
	p.open = make(map[net.Conn]struct{})
	p.done = make(chan struct{})
	go p.accept()
	return nil
}

// Addr returns the address of the listener.
func (p *Responder) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.ln.Addr().String())
}

// Connections returns the number of connections so far.
func (p *Responder) Connections() int64 {
	return p.connections.Load()
}

// Requests returns the number of requests whose header was read.
func (p *Responder) Requests() int64 {
	return p.requests.Load()
}

// Done is closed when the Responder has stopped accepting connections.
func (p *Responder) Done() <-chan struct{} {
	return p.done
}

// Close closes the listener and all connections.
func (p *Responder) Close() error {
	err := p.ln.Close()
	<-p.done
	p.mu.Lock()
	p.closed = true
	for c := range p.open {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
	return errors.Wrap(err, "close listener")
}

func (p *Responder) accept() {
	defer close(p.done)
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.connections.Add(1)
		p.wg.Go(func() {
			if p.add(c) {
				p.serve(c.(*net.TCPConn))
				p.remove(c)
			}
			_ = c.Close()
		})
	}
}

// add records an open connection. It returns false if the Responder is closed.
func (p *Responder) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.open[c] = struct{}{}
	}
	return !p.closed
}

func (p *Responder) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

func (p *Responder) serve(socket *net.TCPConn) {
	_ = socket.SetDeadline(time.Now().Add(ioTimeout))
	stream, closeWrite := net.Conn(socket), socket.CloseWrite
	if p.TLS != nil {
		secure := tls.Server(socket, p.TLS)
		stream = secure
		if !p.Truncate {
			closeWrite = secure.CloseWrite
		}
	}
	br := bufio.NewReader(stream)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	p.requests.Add(1)
	readBody(r.Body, p.ReadBefore)
	if p.Answer != nil {
		if _, err := io.WriteString(stream, p.Answer(r)); err != nil {
			return
		}
	}
	if p.CloseWrite {
		_ = closeWrite()
	}
	time.Sleep(p.Pause)
	readBody(r.Body, p.ReadAfter)
	if p.KeepOpen {
		_, _ = io.Copy(io.Discard, br)
	}
	if p.Reset {
		_ = socket.SetLinger(0)
		return
	}
	if p.TLS != nil && !p.CloseWrite && !p.Truncate {
		_ = closeWrite()
	}
}

// readBody reads n bytes of a body, or all of it if n is negative.
func readBody(body io.Reader, n int64) {
	if n < 0 {
		_, _ = io.Copy(io.Discard, body)
		return
	}
	_, _ = io.CopyN(io.Discard, body, n)
}
