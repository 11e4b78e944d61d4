package sender

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/abridger"
	"bramleyline.example/bramleyline/reserver"
	"bramleyline.example/bramleyline/shaper"
	"bramleyline.example/bramleyline/validator"
)

// maxInlineBody is the size, in bytes, of the largest body that is appended to the header and written in the same call.
const maxInlineBody = 8 << 10

// aLongTimeAgo is a deadline in the past, which ends blocked reads and writes at once.
var aLongTimeAgo = time.Unix(1, 0)

// attempt is the exchange of one request and its answer on one connection.
type attempt struct {
	conn *conn
	req  *Request
	ctx  context.Context
	// stop ends the watch for a cancellation of ctx. It returns false if the cancellation has already begun to act on the
	// connection.
	stop func() bool
	// link paces long bodies, nil if nothing does.
	link *shaper.Shaper
	// flow is the body if it is paced, nil otherwise, and first the size of its first piece, zero once that is written.
	flow  *shaper.Flow
	first int
	// waited is the time that the body has waited for the link.
	waited time.Duration
	// cut is the error of a write after which the peer had closed or reset the connection, nil if the request was written whole.
	cut error
}

// run writes the request and reads the answer up to the end of its header.
func (a *attempt) run() (*Response, *Fault) {
	c, r := a.conn, a.req
	_ = c.SetDeadline(r.Deadline)
	conn := c.Conn
	a.stop = context.AfterFunc(a.ctx, func() {
		_ = conn.SetDeadline(aLongTimeAgo)
	})
	c.written, c.identity = 0, r.Identity
	size := r.bodySize()
	head, body := appendHead(c.buf[:0], r, size), r.Body
	if size <= maxInlineBody {
		for _, part := range body {
			head = append(head, part...)
		}
		body = nil
	}
	c.buf = head
	if r.Check != nil {
		if err := r.Check(); err != nil {
			a.end(true)
			var f *Fault
			if errors.As(err, &f) {
				return nil, f
			}
			return nil, NewFault(ReasonStaleRoute, http.StatusServiceUnavailable, err)
		}
	}
	var err error
	if a.flow == nil {
		a.link.Written(shaper.Short, len(head)+sizeOf(body))
		err = c.send(head, body)
	} else {
		err = a.sendPaced(head, body)
	}
	if err != nil {
		if c.written == 0 {
			f := a.fault(err, "nothing was written")
			f.MayHaveRun = false
			return nil, f
		}
		// A target may answer before it has read the whole request, and then close the connection.
		if !severed(err) {
			return nil, a.fault(err, "request was written in part")
		}
		a.cut = err
	}
	a.flow.End()
	return a.receive()
}

// receive reads the answer up to the end of its header and checks that it belongs to the request.
func (a *attempt) receive() (*Response, *Fault) {
	c, r := a.conn, a.req
	var resp *http.Response
	var err error
	// The limit covers the headers of informational (1xx) and final answers together, because a target may send any
	// number of informational ones.
	c.beginHeader()
	for {
		resp, err = http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, a.fault(err, "no answer")
		}
		if err := checkHeader(resp, &c.scanner); err != nil {
			return nil, a.fault(err, "malformed answer")
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	reserved := c.endHeader()
	if keepAlive := resp.Header.Get("Keep-Alive"); keepAlive != "" {
		c.parseKeepAlive(keepAlive)
	}
	echo := resp.Header.Get(r.echoHeader())
	if echo != r.Identity && (echo != "" || !r.EchoOptional) {
		c.pool.memory.Release(reserved)
		f := a.fault(errors.Errorf("answer belongs to request %q", echo), "crossed answer")
		f.Reason, f.Status, f.Severed = ReasonCrossed, http.StatusBadGateway, false
		return nil, f
	}
	// An answer without a length ends with its connection, and is complete only if the connection was not reset. Not
	// every target closes its connections so that the two cases differ.
	hasEnd := delimited(resp, r.Method)
	if resp.StatusCode == http.StatusSwitchingProtocols || !r.Undelimited && !hasEnd {
		c.pool.memory.Release(reserved)
		f := a.fault(errors.New("answer has no length"), "malformed answer")
		f.Reason = ReasonMalformed
		return nil, f
	}
	// The kernel reports a reset once. The write has taken that report, and reads see an ordinary end of the stream.
	if a.cut != nil && !hasEnd {
		c.pool.memory.Release(reserved)
		return nil, a.fault(a.cut, "request was written in part, answer has no length")
	}
	length := resp.ContentLength
	if bodiless(resp, r.Method) {
		// Content-Length tells the size of the body that another request would get.
		length = 0
	}
	return &Response{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Length:   length,
		body:     resp.Body,
		parsed:   resp,
		reusable: !resp.Close && a.cut == nil,
		Closing:  resp.Close,
		hasEnd:   hasEnd,
		Echoed:   echo == r.Identity,
		attempt:  a,
		memory:   &c.pool.memory,
		small:    c.pool.small,

		Connection: c.number,
		LinkWait:   a.waited,

		reserved: reserved,
	}, nil
}

// checkEnd returns an error if the end of the connection may not be that of an answer without a length.
func (a *attempt) checkEnd() error {
	if a.conn.truncated() {
		return errors.WithMessage(io.ErrUnexpectedEOF, "TLS connection ended without a closure alert")
	}
	return errors.WithMessage(a.awaitAck(), "request did not arrive whole")
}

var (
	// errFold refuses answers with line folds rather than to replace these by blanks, as RFC 9112, section 5.2, also allows: a
	// field whose name begins with a blank looks the same, and would be passed on as a part of the field before.
	errFold = errors.New("line of the header begins with a blank")
	// errCoded refuses answers whose framing is faulty by RFC 9112, section 6.1: HTTP/1.0 has no codings.
	errCoded = errors.New("answer with HTTP/1.0 has a Transfer-Encoding")
)

// checkHeader returns an error if the header of an answer is not valid, or if other readers may take it for another one.
func checkHeader(resp *http.Response, s *headerScanner) error {
	switch {
	case s.folded:
		return errFold
	case s.coded && resp.ProtoMinor == 0 && resp.StatusCode >= 200:
		return errCoded
	}
	return validator.Header(resp)
}

// delimited reports whether the header of the answer determines where its body ends.
func delimited(resp *http.Response, method string) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || bodiless(resp, method)
}

// bodiless reports whether the answer has no body, whatever its header says.
func bodiless(resp *http.Response, method string) bool {
	return method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// fault closes the connection and returns the Fault for err.
func (a *attempt) fault(err error, message string) *Fault {
	ctxErr, readErr := a.ctx.Err(), a.conn.readErr
	a.conn.pool.memory.Release(a.conn.endHeader())
	a.end(false)
	abridged := abridger.Error{
		Err: err,
	}
	f := Fault{
		Reason:     ReasonCut,
		Status:     http.StatusBadGateway,
		MayHaveRun: true,
		cause:      errors.WithMessage(abridged, message),
	}
	switch {
	case errors.Is(ctxErr, context.Canceled):
		f.Reason = ReasonCancelled
	case errors.Is(err, errNoMemory) || errors.Is(readErr, errNoMemory):
		f.Reason = ReasonMemory
	case ctxErr != nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(readErr, os.ErrDeadlineExceeded):
		f.Reason, f.Status = ReasonDeadline, http.StatusGatewayTimeout
	case severed(err) || severed(readErr):
		f.Severed = true
	default:
		f.Reason = ReasonMalformed
	}
	return &f
}

// end returns the connection to its pool if reuse is true and the connection is fit for it, and closes it otherwise.
func (a *attempt) end(reuse bool) {
	// A cancellation that has already begun may set the deadline of the connection later, when another request uses it.
	if !a.stop() {
		reuse = false
	}
	c := a.conn
	if reuse && a.req.bodySize() > maxInlineBody {
		// The target may answer early and then reset the connection, which would cut the next request.
		n, err := c.unacknowledged()
		reuse = n == 0 && err == nil
	}
	if !reuse || c.br.Buffered() > 0 {
		_ = c.Close()
		c.pool.release(nil)
		return
	}
	if cap(c.buf) > 4*maxInlineBody {
		c.buf = nil
	}
	// Clears the deadline: conn.alive fails on a connection whose deadline has passed.
	_ = c.SetDeadline(time.Time{})
	c.pool.release(c)
}

func appendHead(b []byte, r *Request, bodySize int) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, '\r', '\n')
	for name, values := range r.Header {
		if name == "Content-Length" || name == "Host" {
			continue
		}
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	for _, f := range r.Fields {
		b = appendField(b, f.Name, f.Value)
	}
	if r.LateFields != nil {
		for _, f := range r.LateFields() {
			b = appendField(b, f.Name, f.Value)
		}
	}
	if bodySize > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(bodySize), 10)
		b = append(b, '\r', '\n')
	}
	return append(b, '\r', '\n')
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ':', ' ')
	b = append(b, value...)
	return append(b, '\r', '\n')
}

// Response is the answer to an attempt. The caller reads its body with Read up to io.EOF and must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the number of bytes of the body; -1 if the header does not give it, as with a chunked body.
	Length int64
	// Connection is the number of the connection, for Request.Connection.
	Connection uint64
	// LinkWait is the part of the time of the attempt in which the body waited for this host's link.
	LinkWait time.Duration
	// Closing is true if the target closes the connection after the answer, as the header says.
	Closing bool
	// Echoed is true if the answer repeats the identity of the request.
	Echoed bool

	body io.ReadCloser
	// parsed holds the trailer once the body was read to its end.
	parsed *http.Response
	// reusable is true if the target keeps the connection open after the answer.
	reusable bool
	// hasEnd is true if the header determines the end of the body, which is that of the connection otherwise.
	hasEnd bool
	// whole is true once the body was read to its end.
	whole   bool
	fault   *Fault
	attempt *attempt
	ended   bool
	// memory bounds what is held of the answers of the target, and reserved is what is held of this one. small and reservedSmall
	// are the same for small bodies of all targets. kept is true after Keep.
	memory        *reserver.Reserver
	reserved      int64
	small         *reserver.Reserver
	reservedSmall int64
	kept          bool
	// end is the buffer for the read that finds the end of the body.
	end [1]byte
	// OnEnd is called once, at Close or at the first error of Read. whole is true if the body was read to its end; f is
	// that error, or nil. OnEnd may be nil.
	OnEnd func(whole bool, f *Fault)
}

// Read reads the body. It returns io.EOF only after the complete body; any other error is a *Fault.
func (r *Response) Read(b []byte) (int, error) {
	if r.fault != nil {
		return 0, r.fault
	}
	n, err := r.body.Read(b)
	if err == io.EOF && !r.hasEnd {
		if endErr := r.attempt.checkEnd(); endErr != nil {
			return n, r.fail(r.attempt.fault(endErr, "answer has no length, and may be cut"))
		}
	}
	if err == io.EOF {
		if trailerErr := validator.FieldNames(r.parsed.Trailer); trailerErr != nil {
			return n, r.fail(r.attempt.fault(trailerErr, "malformed trailer"))
		}
		r.whole = true
		return n, err
	}
	if err != nil {
		return n, r.fail(r.attempt.fault(err, "answer was cut"))
	}
	return n, nil
}

// fail ends the response with f, for which the connection was closed.
func (r *Response) fail(f *Fault) *Fault {
	r.fault, r.ended = f, true
	if r.OnEnd != nil {
		r.OnEnd(false, f)
	}
	return f
}

// Close ends the response. The connection is reused only if the body was read to its end. Memory that is reserved for the answer
// is released, except after Keep.
func (r *Response) Close() error {
	if !r.kept {
		r.Release()
	}
	if r.ended {
		return nil
	}
	r.ended = true
	r.attempt.end(r.whole && r.reusable)
	if r.OnEnd != nil {
		r.OnEnd(r.whole, nil)
	}
	return nil
}
