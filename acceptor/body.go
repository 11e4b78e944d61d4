package acceptor

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// partBytes is the size of the parts in which a long body is read, so that no more memory is taken than has arrived.
	partBytes = 64 << 10
	// firstPartBytes is the size of the first part of a body of unknown length.
	firstPartBytes = 4 << 10
	// retryAfterNoMemory is the least Retry-After delay of a request that was refused for lack of memory; it is up to twice as long.
	// Long bodies take seconds to arrive.
	retryAfterNoMemory = time.Second
)

var errNoMemory = errors.New("no memory is left for the body")

// checkBody returns an error if the body that a request announces is too long, or if half of it does not fit besides what is held
// already: while it arrives, others are completed.
func (c *conn) checkBody(req *http.Request, limit int64) error {
	switch {
	case req.ContentLength > limit:
		return errBodyTooLong
	case !c.acceptor.Memory.Fits(max(0, req.ContentLength) / 2):
		return errNoMemory
	}
	return nil
}

// readBody reads the whole body of a request in parts, and returns it with the memory that is reserved for it. It fails with
// errNoMemory when its next part does not fit.
func (c *conn) readBody(req *http.Request, limit int64) (body [][]byte, reserved int64, err error) {
	if req.ContentLength == 0 || req.Body == nil {
		return nil, 0, nil
	}
	memory := c.acceptor.Memory
	defer func() {
		if err != nil {
			memory.Release(reserved)
			body, reserved = nil, 0
		}
	}()
	for size := int64(0); ; {
		part := int64(firstPartBytes)
		switch {
		case req.ContentLength > 0:
			part = min(partBytes, req.ContentLength-size)
		case size > 0:
			part = partBytes
		}
		if !memory.Reserve(part) {
			return body, reserved, errNoMemory
		}
		reserved += part
		b, err := readPart(req.Body, make([]byte, part))
		size += int64(len(b))
		if len(b) > 0 {
			body = append(body, b)
		}
		switch {
		case size > limit:
			return body, reserved, errBodyTooLong
		case err == io.EOF || err == nil && size == req.ContentLength:
			return body, reserved, nil
		case err != nil:
			return body, reserved, err
		}
	}
}

// readPart fills b from r. The error is io.EOF if the body has ended.
func readPart(r io.Reader, b []byte) ([]byte, error) {
	n := 0
	for n < len(b) {
		m, err := r.Read(b[n:])
		n += m
		if err != nil {
			return b[:n], err
		}
	}
	return b, nil
}
