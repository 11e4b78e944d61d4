// Package receiver serves the requests that other entry hosts pass on because they have lost their links to targets.
package receiver

import (
	"context"
	"expvar"
	"net/http"
	"strconv"
	"time"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/signer"
)

// counters are requests that were served for other hosts, and those that were declined without running: noLinks, and
// badSignature.
var counters = expvar.NewMap("relayed")

// maxAge bounds the age that another host may state, which is at most the longest time of a request.
const maxAge = 10 * time.Minute

// Receiver implements acceptor.Handler for requests of other hosts. Its fields are required.
type Receiver struct {
	Signer *signer.Signer
	// Ready reports whether this host can reach targets and is not stopping.
	Ready func() bool
	// Serve serves a request on this host alone.
	Serve func(ctx context.Context, r *acceptor.Request) *acceptor.Answer
}

// Handle implements acceptor.Handler.
func (v *Receiver) Handle(ctx context.Context, r *acceptor.Request) *acceptor.Answer {
	id, age := r.Header.Get(signer.HeaderID), r.Header.Get(signer.HeaderAge)
	answer := func(status int) *acceptor.Answer {
		return &acceptor.Answer{
			Status: status,
			Header: http.Header{
				signer.HeaderID: {id},
			},
		}
	}
	ms, err := strconv.ParseUint(age, 10, 31)
	if err != nil || !v.Signer.Verify(r.Header.Get(signer.HeaderSignature), r.Body, r.Method, r.Host, r.URI, id, age) {
		counters.Add("badSignature", 1)
		a := answer(http.StatusForbidden)
		a.Header.Set(signer.HeaderLinks, "none")
		return a
	}
	if !v.Ready() {
		counters.Add("noLinks", 1)
		a := answer(http.StatusServiceUnavailable)
		a.Header.Set(signer.HeaderLinks, "none")
		return a
	}
	if r.URI == signer.StatusPath {
		return answer(http.StatusNoContent)
	}
	counters.Add("served", 1)
	for _, name := range []string{signer.HeaderID, signer.HeaderAge, signer.HeaderSignature} {
		delete(r.Header, name)
	}
	r.Arrived = r.Arrived.Add(-min(time.Duration(ms)*time.Millisecond, maxAge))
	a := v.Serve(ctx, r)
	if a.Abort {
		return a
	}
	out := *a
	out.Header = make(http.Header, len(a.Header)+1)
	for name, values := range a.Header {
		out.Header[name] = values
	}
	out.Header[signer.HeaderID] = []string{id}
	return &out
}
