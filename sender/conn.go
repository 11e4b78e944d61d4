package sender

import (
	"bufio"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxAnswerHeader is the largest header of an answer, in bytes. http.ReadResponse sets no limit of its own.
	maxAnswerHeader = 64 << 10
	// freeHeader is the size of a header, in bytes, up to which nothing is reserved for it. headerFactor is the number of
	// bytes that are reserved for each byte beyond: parsing allocates strings, slices and map entries for each short line.
	freeHeader   = 8 << 10
	headerFactor = 28
)

var (
	errHeaderTooLong = errors.New("header of the answer is too long")
	errNoMemory      = errors.New("no memory is left for the answer")
)

// conn is one connection. It counts the bytes written and limits the bytes read for the header of an answer.
type conn struct {
	net.Conn
	// number distinguishes the connection from all others of this process.
	number uint64
	pool   *pool
	// raw is the socket of the connection, for alive; nil if there is none.
	raw syscall.RawConn
	// below is the connection that TLS uses, nil without TLS.
	below *eofRecorder
	br    *bufio.Reader
	// buf is the buffer for the header of a request, kept for the next one.
	buf []byte
	// headerRemaining is how many more bytes may be read. Outside of a header it starts at math.MaxInt64, that is,
	// unlimited.
	headerRemaining int64
	// headerRead is the number of bytes read for the header so far, and headerReserved the memory that is reserved for them.
	headerRead     int64
	headerReserved int64
	// scanner looks at the header.
	scanner headerScanner
	// written is the number of bytes of the current request that the kernel accepted.
	written int64
	// readErr is the last error of Read. The HTTP parser hides it: it reports a header that ends early as malformed.
	readErr error
	// identity is that of the last request.
	identity string
	// idleSince is when the connection was returned to the pool.
	idleSince time.Time
	// keepAlive is how long the target keeps an idle connection open according to its Keep-Alive header, less
	// keepAliveMargin; zero if no answer had that header.
	keepAlive time.Duration
}

// lastNumber is the number of the newest connection.
var lastNumber atomic.Uint64

// newConn returns a conn that sends over c. socket is the TCP connection that c uses, which is c itself without TLS;
// alive reads from it before each reuse.
func newConn(c, socket net.Conn, p *pool) *conn {
	cn := conn{
		Conn:            c,
		number:          lastNumber.Add(1),
		pool:            p,
		headerRemaining: math.MaxInt64,
	}
	if sc, ok := socket.(syscall.Conn); ok {
		cn.raw, _ = sc.SyscallConn()
	}
	cn.br = bufio.NewReaderSize(&cn, 4096)
	return &cn
}

// Read reads from the connection, up to the limit for the header of an answer.
func (c *conn) Read(b []byte) (int, error) {
	if c.headerRemaining <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := c.Conn.Read(b)
	if c.headerRemaining != math.MaxInt64 {
		c.headerRemaining -= int64(n)
		c.scanner.scan(b[:n])
		if !c.reserveHeader(int64(n)) {
			err = errNoMemory
		}
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// beginHeader limits what is read from now on to the size of a header, until endHeader.
func (c *conn) beginHeader() {
	c.headerRemaining, c.headerRead = maxAnswerHeader, 0
	c.scanner = headerScanner{}
}

// endHeader lifts the limit, and returns the memory that is reserved for the header.
func (c *conn) endHeader() (reserved int64) {
	reserved, c.headerReserved = c.headerReserved, 0
	c.headerRemaining = math.MaxInt64
	return reserved
}

// reserveHeader reserves memory for n more bytes of a header. It returns false if there is none.
func (c *conn) reserveHeader(n int64) bool {
	before := max(0, c.headerRead-freeHeader)
	c.headerRead += n
	more := headerFactor * (max(0, c.headerRead-freeHeader) - before)
	if more == 0 {
		return true
	}
	if !c.pool.memory.Reserve(more) {
		return false
	}
	c.headerReserved += more
	return true
}

// send writes the request and counts the bytes that the kernel accepted.
func (c *conn) send(head []byte, body [][]byte) error {
	if len(body) == 0 {
		n, err := c.Write(head)
		c.written += int64(n)
		return err
	}
	buffers := append(net.Buffers{head}, body...)
	n, err := buffers.WriteTo(c.Conn)
	c.written += n
	return err
}

// keepAliveMargin is subtracted from the time for which a target keeps an idle connection open: a request that is sent
// while the target closes the connection has an unknown outcome.
const keepAliveMargin = 700 * time.Millisecond

// parseKeepAlive sets keepAlive from the timeout parameter of a Keep-Alive header.
func (c *conn) parseKeepAlive(header string) {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.keepAlive = max(time.Millisecond, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
}

// withinKeepAlive reports whether, by the Keep-Alive header, the target still keeps the idle connection open at now.
func (c *conn) withinKeepAlive(now time.Time) bool {
	return c.keepAlive == 0 || now.Sub(c.idleSince) < c.keepAlive
}

// alive reports whether an idle connection can carry a request: it is open, and no unexpected bytes have arrived on it.
// Without this check a request could be written to a connection that the target closed while it was idle, and its
// outcome would be unknown.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	alive := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		alive = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && alive
}

// staysOpen reports whether a new connection is still open, with nothing to read, after wait or maxSettleTime,
// whichever is shorter.
func (c *conn) staysOpen(wait time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(min(wait, maxSettleTime)))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	var b [1]byte
	_, err := c.Conn.Read(b[:])
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// eofRecorder is a connection that records the end of its stream. crypto/tls reports it like a closure alert.
type eofRecorder struct {
	net.Conn
	ended bool
}

func (r *eofRecorder) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// truncated reports whether the stream of a TLS connection ended without a closure alert.
func (c *conn) truncated() bool {
	return c.below != nil && c.below.ended
}

// severed reports whether err means that the peer closed or reset the connection.
func severed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
