package sender

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// MaxBody is the largest body of an answer, in bytes, that ReadAll reads: a faulty target may send without end.
	MaxBody = 8 << 20
	// smallBody is the size of a body, in bytes, up to which its memory is reserved apart from that of long ones: small answers go
	// on when a few targets have used that up.
	smallBody = 16 << 10
	// firstPart is the initial size of the buffer for a body without a length; the buffer doubles when it is full.
	firstPart = 4 << 10
)

var errBodyTooLong = errors.New("body of the answer is too long")

// ReadAll reads the body up to its end. It reserves the memory of its buffer first, and fails with ReasonMemory if there is none,
// or with ReasonMalformed if the body is longer than MaxBody bytes. The connection is closed then.
func (r *Response) ReadAll() ([]byte, *Fault) {
	if r.Length > MaxBody {
		return nil, r.giveUp(errBodyTooLong)
	}
	if r.Length < 0 {
		return r.readParts()
	}
	if !r.reserve(r.Length) {
		return nil, r.giveUp(errNoMemory)
	}
	var body []byte
	if r.Length > 0 {
		body = make([]byte, r.Length)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, r.faultOf(err)
		}
	}
	// The answer is complete only once the end of its body was read.
	if _, err := r.Read(r.end[:]); err != nil && err != io.EOF {
		return nil, r.faultOf(err)
	}
	return body, nil
}

// readParts reads a body without a length.
func (r *Response) readParts() ([]byte, *Fault) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(firstPart, 2*len(body)), MaxBody+1)
			r.unreserve(int64(cap(body)))
			if !r.reserve(int64(size)) {
				return nil, r.giveUp(errNoMemory)
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, r.faultOf(err)
		case len(body) > MaxBody:
			return nil, r.giveUp(errBodyTooLong)
		}
	}
}

// reserve reserves memory for a buffer of size bytes. It returns false if there is none.
func (r *Response) reserve(size int64) bool {
	if size <= smallBody {
		if !r.small.Reserve(size) {
			return false
		}
		r.reservedSmall += size
		return true
	}
	if !r.memory.Reserve(size) {
		return false
	}
	r.reserved += size
	return true
}

// unreserve gives back what reserve reserved for a buffer that is replaced by a larger one.
func (r *Response) unreserve(size int64) {
	if size <= smallBody {
		r.small.Release(size)
		r.reservedSmall -= size
		return
	}
	r.memory.Release(size)
	r.reserved -= size
}

// Keep makes the reservations for the answer outlast Close, until Release.
func (r *Response) Keep() {
	r.kept = true
}

// Release gives back the memory that is reserved for the answer. Its header and body must not be used any more.
func (r *Response) Release() {
	r.memory.Release(r.reserved)
	r.small.Release(r.reservedSmall)
	r.reserved, r.reservedSmall = 0, 0
}

// giveUp closes the connection because of err, with the rest of the answer unread.
func (r *Response) giveUp(err error) *Fault {
	f := r.attempt.fault(err, "answer was given up")
	return r.fail(f)
}

// faultOf returns the fault for an error of Read, or of io.ReadFull after the body has ended early.
func (r *Response) faultOf(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return r.giveUp(err)
}
