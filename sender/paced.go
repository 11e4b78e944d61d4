package sender

import (
	"net"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/shaper"
)

// awaitLink waits for the link if the body is long. It is called before a connection is taken: one that waits for the link could
// be closed by the target meanwhile, and short requests could not use it. The caller must call endFlow.
func (a *attempt) awaitLink() *Fault {
	r := a.req
	size := r.bodySize()
	if size <= maxInlineBody {
		return nil
	}
	a.flow = a.link.Send(int64(size))
	if a.flow == nil {
		return nil
	}
	var err error
	if a.first, err = a.flow.Piece(a.ctx, r.Deadline, len(r.Body[0])); err != nil {
		a.first = 0
		// The target is not to blame.
		return unsentFault(a.ctx, ReasonOverloaded, errors.WithMessage(err, "no capacity of the link was free"))
	}
	return nil
}

// endFlow ends the use of the link, and gives back a first piece that was not written.
func (a *attempt) endFlow() {
	if a.first > 0 {
		a.flow.GiveBack()
	}
	a.flow.End()
}

// sendPaced writes the header and the body in pieces.
func (a *attempt) sendPaced(head []byte, body [][]byte) error {
	c := a.conn
	flow, first := a.flow, a.first
	a.first = 0
	defer func() { a.waited = flow.Waited() }()
	a.link.Written(shaper.Short, len(head))
	buffers := net.Buffers{head, body[0][:first]}
	n, err := buffers.WriteTo(c.Conn)
	c.written += n
	if err != nil {
		return err
	}
	rest := body[0][first:]
	for body = body[1:]; ; {
		if len(rest) == 0 {
			if len(body) == 0 {
				return nil
			}
			rest, body = body[0], body[1:]
			continue
		}
		size, err := flow.Piece(a.ctx, a.req.Deadline, len(rest))
		if err != nil {
			return err
		}
		n, err := c.Write(rest[:size])
		c.written += int64(n)
		if err != nil {
			return err
		}
		rest = rest[size:]
	}
}

// sizeOf returns the number of bytes of the parts of a body.
func sizeOf(body [][]byte) int {
	n := 0
	for _, part := range body {
		n += len(part)
	}
	return n
}
