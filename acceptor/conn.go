package acceptor

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/shaper"
)

const (
	// maxPipelined bounds the requests of one connection that are in progress at the same time.
	maxPipelined = 32
	// readBufferSize is the size of the read buffer of a connection, in bytes.
	readBufferSize = 4 << 10
	// writeTimeout bounds the writing of an answer, which blocks while the caller does not read.
	writeTimeout = 10 * time.Second
	// lingerTime is how long the acceptor goes on to read what the caller sends after the last answer: closing a
	// connection with unread bytes resets it, and the caller could lose the answer.
	lingerTime = 150 * time.Millisecond
	// shutdownGrace is how long a stopping host goes on to accept connections and read requests that callers have already
	// sent. A busy host with a sixth of a core needs some tens of milliseconds for that.
	shutdownGrace = 150 * time.Millisecond
	// headerSlack is added to the limit for a header, because the read buffer may hold as many bytes that follow it.
	headerSlack = readBufferSize
)

var (
	errHeaderTooLong = errors.New("header is too long")
	errBodyTooLong   = errors.New("body is too long")
)

// conn is one connection of a caller.
type conn struct {
	acceptor *Acceptor
	raw      net.Conn
	br       *bufio.Reader
	// headerRemaining is how many more bytes may be read for the current header; negative means no limit.
	headerRemaining int
	ctx             context.Context
	cancel          context.CancelFunc
	// sem bounds the requests that are being read or answered to maxPipelined.
	sem chan struct{}
	// reception is the long body that is being read, nil if there is none.
	reception *shaper.Reception
	// lowWater is the low-water mark of the socket in bytes, zero if it was never set.
	lowWater int

	mu sync.Mutex
	// pending is the number of requests that were read and are not yet answered.
	pending int
	// parsing is true while a request is read in part.
	parsing bool
	// ending is true if the last answer is being written or was written, or no answer can be written any more.
	ending bool
}

func newConn(a *Acceptor, raw net.Conn) *conn {
	c := conn{
		acceptor:        a,
		raw:             raw,
		headerRemaining: -1,
		sem:             make(chan struct{}, maxPipelined),
	}
	c.br = bufio.NewReaderSize(&c, readBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return &c
}

// Read reads from the connection, up to the limit for a header.
func (c *conn) Read(b []byte) (int, error) {
	if c.headerRemaining == 0 {
		return 0, errHeaderTooLong
	}
	if c.reception != nil {
		return c.readPaced(b)
	}
	if c.headerRemaining > 0 && len(b) > c.headerRemaining {
		b = b[:c.headerRemaining]
	}
	n, err := c.raw.Read(b)
	if c.headerRemaining > 0 {
		c.headerRemaining -= n
	}
	return n, err
}

// serve reads requests until the connection ends, and waits until they are answered. Each request gets the channel that
// is closed after the answer to the previous one, which keeps the answers in order.
func (c *conn) serve() {
	defer c.acceptor.remove(c)
	previous := make(chan struct{})
	close(previous)
	for {
		c.sem <- struct{}{}
		limits := c.acceptor.limits()
		r, err := c.readRequest(limits)
		if err != nil {
			<-c.sem
			c.handleReadError(err, previous)
			break
		}
		written := make(chan struct{})
		go c.answer(r, previous, written)
		previous = written
	}
	c.cancel()
	<-previous
	_ = c.raw.Close()
}

// readRequest reads one request with its complete body.
func (c *conn) readRequest(limits matcher.Limits) (*Request, error) {
	if err := c.awaitRequest(limits.IdleTimeout); err != nil {
		return nil, err
	}
	arrived := time.Now()
	_ = c.raw.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	c.headerRemaining = limits.HeaderBytes + headerSlack
	req, err := http.ReadRequest(c.br)
	c.headerRemaining = -1
	if err != nil {
		return nil, err
	}
	if err := c.checkBody(req, limits.BodyBytes); err != nil {
		return nil, err
	}
	if err := c.beginBody(req, arrived); err != nil {
		c.endBody()
		return nil, err
	}
	defer c.endBody()
	if req.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	body, reserved, err := c.readBody(req, limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parsing = false
	if c.ending {
		// A request after the last answer is dropped, as if it had not been read.
		c.acceptor.Memory.Release(reserved)
		return nil, net.ErrClosed
	}
	c.pending++
	return &Request{
		Method:  req.Method,
		URI:     req.RequestURI,
		Path:    req.URL.Path,
		Host:    req.Host,
		Header:  req.Header,
		Body:    body,
		Arrived: arrived,

		reserved: reserved,
	}, nil
}

// awaitRequest waits for the first byte of a request. The idle timeout applies only while no answer is pending.
func (c *conn) awaitRequest(idle time.Duration) error {
	c.mu.Lock()
	if c.ending {
		c.mu.Unlock()
		return net.ErrClosed
	}
	if c.acceptor.finishing.Load() {
		idle = min(idle, shutdownGrace)
	}
	if c.pending == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(idle))
	}
	c.mu.Unlock()
	if _, err := c.br.Peek(1); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return net.ErrClosed
	}
	c.parsing = true
	return nil
}

// answer runs one request, writes its answer once previous is closed, and closes written.
func (c *conn) answer(r *Request, previous <-chan struct{}, written chan<- struct{}) {
	defer close(written)
	defer func() { <-c.sem }()
	defer c.acceptor.Memory.Release(r.reserved)
	a := c.acceptor.Handler.Handle(c.ctx, r)
	if a.Held != nil {
		defer a.Held.Release()
	}
	<-previous
	c.mu.Lock()
	if c.ending || c.ctx.Err() != nil {
		c.pending--
		c.mu.Unlock()
		return
	}
	last := a.Abort || c.pending == 1 && !c.parsing && (c.acceptor.draining.Load() || c.acceptor.Link.Shed())
	c.ending = last
	c.mu.Unlock()
	if a.Abort {
		c.abort()
		return
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(cmp.Or(c.acceptor.answerTimeout, writeTimeout)))
	text := appendAnswer(nil, a, r.Method, last)
	c.acceptor.Link.Written(shaper.Short, len(text))
	_, err := c.raw.Write(text)
	if err != nil {
		counters.Add("failedWrites", 1)
		c.abort()
		return
	}
	c.mu.Lock()
	c.pending--
	if c.pending == 0 && !c.parsing && !last {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.acceptor.limits().IdleTimeout))
	}
	c.mu.Unlock()
	if last {
		c.linger()
	}
}

// abort closes the connection at once and cancels the requests that run for it.
func (c *conn) abort() {
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	c.cancel()
	_ = c.raw.Close()
}

// linger closes the connection for writing, which shows the caller that no answer follows. The reader goes on for
// lingerTime and discards what still arrives.
func (c *conn) linger() {
	if t, ok := c.raw.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
}

// endIdle closes a connection without a pending answer, unless a request arrives on it within shutdownGrace.
func (c *conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.parsing && !c.ending {
		_ = c.raw.SetReadDeadline(time.Now().Add(shutdownGrace))
	}
}

// handleReadError handles the error that ended reading. It writes an answer if the request was invalid, too long or too
// slow.
func (c *conn) handleReadError(err error, previous <-chan struct{}) {
	c.mu.Lock()
	ending, parsing := c.ending, c.parsing
	c.mu.Unlock()
	if ending {
		c.discard()
		return
	}
	status := 0
	var header http.Header
	var netErr net.Error
	var refused *refusedError
	switch {
	case errors.Is(err, errHeaderTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLong):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory):
		status = http.StatusServiceUnavailable
		header = retryAfterHeader(retryAfterNoMemory + rand.N(retryAfterNoMemory))
	case errors.As(err, &refused):
		status = http.StatusServiceUnavailable
		header = retryAfterHeader(refused.retryAfter)
	case errors.As(err, &netErr) && netErr.Timeout():
		if parsing {
			status = http.StatusRequestTimeout
		}
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
	default:
		status = http.StatusBadRequest
	}
	if status == 0 {
		return
	}
	if status != http.StatusServiceUnavailable {
		counters.Add("badRequests", 1)
	}
	<-previous
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.raw.Write(appendAnswer(nil, &Answer{
		Status: status,
		Header: header,
	}, http.MethodGet, true)); err != nil {
		counters.Add("failedWrites", 1)
		return
	}
	c.linger()
	c.discard()
}

// discard reads and drops what still arrives, until the caller closes the connection or lingerTime has passed.
func (c *conn) discard() {
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.br)
}
