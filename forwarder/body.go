package forwarder

import (
	"io"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/sender"
)

const (
	// maxAnswerBytes bounds the body of one answer, and maxBufferedBytes the bodies of all answers that are being read:
	// a faulty target may send without end, and the smallest hosts have 184 MB of memory. An answer takes twice its
	// size while it is read.
	maxAnswerBytes   = 8 << 20
	maxBufferedBytes = 32 << 20
	// chunkBytes is the initial size of the buffer for a body without a length; the buffer doubles when it is full.
	chunkBytes = 32 << 10
)

var (
	errAnswerTooLong  = errors.New("answer body is too long")
	errTooManyAnswers = errors.New("answers being read take too much memory together")
)

// reserve accounts for n more bytes that are buffered for the request. It fails if all answers together exceed their
// bound.
func (x *exchange) reserve(n int64) error {
	x.bufferedBytes += n
	if x.f.bufferedBytes.Add(n) > maxBufferedBytes {
		return errTooManyAnswers
	}
	return nil
}

// release frees all memory that was reserved for the request.
func (x *exchange) release() {
	x.f.bufferedBytes.Add(-x.bufferedBytes)
	x.bufferedBytes = 0
}

// readAll reads the body of an answer up to its end. The error is a *sender.Fault if the connection failed.
func (x *exchange) readAll(r *sender.Response) ([]byte, error) {
	if r.Length < 0 {
		return x.readChunks(r)
	}
	if r.Length > maxAnswerBytes {
		return nil, errAnswerTooLong
	}
	if err := x.reserve(r.Length); err != nil {
		return nil, err
	}
	var body []byte
	if r.Length > 0 {
		body = make([]byte, r.Length)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, err
		}
	}
	// The answer is complete only once the end of its body was read.
	if _, err := r.Read(make([]byte, 1)); err != nil && err != io.EOF {
		return nil, err
	}
	return body, nil
}

// readChunks reads a body without a length.
func (x *exchange) readChunks(r io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grow := max(chunkBytes, len(body))
			if err := x.reserve(int64(grow)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, len(body)+grow), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > maxAnswerBytes:
			return nil, errAnswerTooLong
		}
	}
}
