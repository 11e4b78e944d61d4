package sender

import (
	"net"

	"bramleyline.example/bramleyline/shaper"
)

// firstPiece waits for the link before anything is written, so that a request that does not get it in time has provably not
// run. It returns the size of the first piece of the body.
func (a *attempt) firstPiece(flow *shaper.Flow, body [][]byte) (int, error) {
	if flow == nil {
		return 0, nil
	}
	return flow.Piece(a.ctx, a.req.Deadline, len(body[0]))
}

// sendPaced writes the header and the body in pieces, the first of which has the size first.
func (a *attempt) sendPaced(flow *shaper.Flow, head []byte, body [][]byte, first int) error {
	c := a.conn
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
