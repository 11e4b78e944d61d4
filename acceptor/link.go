package acceptor

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"bramleyline.example/bramleyline/shaper"
)

// maxRead is the most bytes of a long body that are read at a time: the receive buffer holds about as many.
const maxRead = shaper.ReadBuffer

// The states of a TCP connection that the caller has reset or closed, as the kernel numbers them.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// refusedError is the error of a body that the link has no room for.
type refusedError struct {
	retryAfter time.Duration
}

func (e *refusedError) Error() string {
	return "the link has no room for the body"
}

// limitBuffers sets a small receive buffer on the listener, which its next connections inherit, so that callers cannot fill
// the link with bodies that are not read yet. Connections that are open keep theirs: a window that shrinks stalls their
// callers for 200 ms.
func (a *Acceptor) limitBuffers() {
	if !a.Link.Active() || a.smallBuffers {
		return
	}
	ln, ok := a.ln.(syscall.Conn)
	if !ok {
		return
	}
	a.smallBuffers = true
	if c, err := ln.SyscallConn(); err == nil {
		_ = c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, shaper.ReadBuffer)
		})
	}
}

// beginBody asks the link for the body of a request. Until endBody, the body is read when it has its turn. The error says that
// it is not to be read.
func (c *conn) beginBody(req *http.Request, arrived time.Time) error {
	a := c.acceptor
	if !a.Link.Active() || req.ContentLength >= 0 && req.ContentLength <= shaper.LongBody {
		return nil
	}
	allowance := shaper.Allowance{
		Always: true,
	}
	if a.Allowance != nil {
		allowance = a.Allowance(req.Host, req.URL.Path, req.Header)
	}
	allowance.MaxWait = a.limits().HeaderTimeout
	size := req.ContentLength
	if size > 0 {
		size = max(0, size-int64(c.br.Buffered()))
	}
	reception, refusal := a.Link.Receive(arrived, size, allowance)
	if refusal != nil {
		return &refusedError{
			retryAfter: refusal.RetryAfter,
		}
	}
	c.reception = reception
	if reception != nil && req.Header.Get("Expect") == "100-continue" {
		// The caller sends nothing before the body has its turn.
		_, err := c.awaitTurn()
		return err
	}
	return nil
}

// endBody ends what beginBody began.
func (c *conn) endBody() {
	if c.reception != nil {
		c.reception.End()
		c.reception = nil
		c.setLowWater(1)
		_ = c.raw.SetReadDeadline(time.Time{})
	}
}

func (c *conn) awaitTurn() (time.Time, error) {
	limit, err := c.reception.Wait(c.ctx, c.callerLeft)
	if errors.Is(err, shaper.ErrLeft) {
		return limit, io.EOF
	}
	if errors.Is(err, shaper.ErrLate) {
		return limit, &refusedError{
			retryAfter: retryAfterNoMemory + rand.N(retryAfterNoMemory),
		}
	}
	if errors.Is(err, context.Canceled) {
		return limit, net.ErrClosed
	}
	return limit, err
}

// callerLeft reports whether the caller has closed or reset the connection, after which it gets no answer. Reading would show
// that only after the bytes that have arrived.
func (c *conn) callerLeft() bool {
	raw, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	_ = rc.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		left = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return left
}

// readPaced reads from the connection when the body has its turn.
func (c *conn) readPaced(b []byte) (int, error) {
	b = b[:min(len(b), maxRead)]
	for {
		limit, err := c.awaitTurn()
		if err != nil {
			return 0, err
		}
		c.setLowWater(c.reception.Batch())
		_ = c.raw.SetReadDeadline(limit)
		n, err := c.raw.Read(b)
		c.reception.Read(n)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// setLowWater sets how many bytes must have arrived to end a wait for them. What has arrived is read at once.
func (c *conn) setLowWater(n int) {
	if n == c.lowWater || n == 1 && c.lowWater == 0 {
		return
	}
	c.lowWater = n
	raw, ok := c.raw.(syscall.Conn)
	if !ok {
		return
	}
	if rc, err := raw.SyscallConn(); err == nil {
		_ = rc.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVLOWAT, n)
		})
	}
}

func retryAfterHeader(d time.Duration) http.Header {
	return http.Header{
		"Retry-After": {strconv.FormatFloat(d.Seconds(), 'f', 2, 64)},
	}
}
