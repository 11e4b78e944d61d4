package sender

import (
	"bufio"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// maxAnswerHeader bounds the header of an answer: http.ReadResponse by itself reads one of any size.
const maxAnswerHeader = 1 << 20

var errHeaderTooLong = errors.New("header of the answer is too long")

// conn is one connection. It counts what was written and bounds what is read.
type conn struct {
	net.Conn
	pool    *pool
	raw     syscall.RawConn
	br      *bufio.Reader
	buf     []byte
	left    int64
	written int64
	// broken is the error that ended reading. The HTTP parser reports a header that ends early as malformed.
	broken error
	idle   time.Time
	// keep is how long the target said that it keeps an idle connection, less a margin; zero means that it said nothing.
	keep time.Duration
}

// newConn makes a conn that sends over c. The socket below it, which differs with TLS, is looked at before each reuse.
func newConn(c, socket net.Conn, p *pool) *conn {
	cn := conn{
		Conn: c,
		pool: p,
		left: math.MaxInt64,
	}
	if sc, ok := socket.(syscall.Conn); ok {
		cn.raw, _ = sc.SyscallConn()
	}
	cn.br = bufio.NewReaderSize(&cn, 4096)
	return &cn
}

// Read reads from the connection within the bound for the header of an answer.
func (c *conn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := c.Conn.Read(b)
	c.left -= int64(n)
	if err != nil {
		c.broken = err
	}
	return n, err
}

// send writes the request and counts the bytes that the kernel accepted.
func (c *conn) send(head, body []byte) error {
	if len(body) == 0 {
		n, err := c.Write(head)
		c.written += int64(n)
		return err
	}
	buffers := net.Buffers{head, body}
	n, err := buffers.WriteTo(c.Conn)
	c.written += n
	return err
}

// keepMargin is taken off the time for which a target keeps an idle connection: a request that crosses the target's close
// has an unknown outcome.
const keepMargin = 700 * time.Millisecond

// learnKeep takes the time for which the target keeps an idle connection from a Keep-Alive header.
func (c *conn) learnKeep(header string) {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.keep = max(time.Millisecond, time.Duration(seconds)*time.Second-keepMargin)
		}
	}
}

// fresh reports whether the connection was idle for so short a time that the target still keeps it.
func (c *conn) fresh(now time.Time) bool {
	return c.keep == 0 || now.Sub(c.idle) < c.keep
}

// alive reports whether an idle connection can carry a request: it is open, and nothing arrived on it unasked. Without
// this check a request would be written to a connection that the target closed while it was idle, and its outcome would
// be unknown.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	alive := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		alive = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && alive
}

// settles reports whether a new connection is still open, with nothing to read, after at most wait.
func (c *conn) settles(wait time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(min(wait, maxSettle)))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	var one [1]byte
	_, err := c.Conn.Read(one[:])
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// severed reports whether err means that the other side ended the connection.
func severed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
