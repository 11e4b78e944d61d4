package receiver

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/signer"
)

// Guards against strangers that reach targets through the address for other hosts.
func TestUnsignedRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	served := 0
	v := Receiver{
		Signer: signer.New("key"),
		Ready:  func() bool { return true },
		Serve: func(context.Context, *acceptor.Request) *acceptor.Answer {
			served++
			return &acceptor.Answer{
				Status: http.StatusOK,
			}
		},
	}
	send := func(key, age, signedAge string) int {
		return v.Handle(context.Background(), &acceptor.Request{
			Method: http.MethodPost,
			URI:    "/x",
			Host:   "h",
			Header: http.Header{
				signer.HeaderID:        {"1"},
				signer.HeaderAge:       {age},
				signer.HeaderSignature: {signer.New(key).Sign(nil, http.MethodPost, "h", "/x", "1", signedAge)},
			},
		}).Status
	}
	c.Assert(send("key", "5", "5"), qt.Equals, http.StatusOK)
	c.Assert(send("another", "5", "5"), qt.Equals, http.StatusForbidden)
	c.Assert(send("key", "0", "5"), qt.Equals, http.StatusForbidden)
	c.Assert(send("key", "-5", "-5"), qt.Equals, http.StatusForbidden)
	c.Assert(served, qt.Equals, 1)
}
