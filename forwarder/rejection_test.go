package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// shedding returns the handler of a target with free slots that rejects every second request, beginning with the first.
// ran counts the others.
func shedding(ran *atomic.Int32) http.HandlerFunc {
	var n atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(testBusy, "1")
		if n.Add(1)%2 == 1 {
			w.Header().Set(testOutcome, "notRun")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ran.Add(1)
	}
}

// Guards against refusals and against a retry storm when the owners of a keyed service reject requests at random
// although they have free slots. A request is retried at the same owner as long as the retry budget lasts, and the
// retries stay within the budget.
func TestRequestRejectedByIdleOwnerIsRetried(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	var ran atomic.Int32
	b.target("a", "tally", shedding(&ran))
	b.own("tally", "a")
	a := b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7")
	c.Assert(a.Status, qt.Equals, http.StatusOK)
	c.Assert(ran.Load(), qt.Equals, int32(1))

	served := 0
	const requests = 400
	for range requests {
		if b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7").Status == http.StatusOK {
			served++
		}
	}
	answered := float64(served)
	limit := b.f.opts.Limits.RetryShare*requests + b.f.opts.Limits.RetrySlack
	c.Assert(served >= requests/2, qt.IsTrue, qt.Commentf("%d", served))
	c.Assert(answered-requests/2 <= limit, qt.IsTrue, qt.Commentf("%v answered", answered))
}

// Guards against an unknown outcome where a busy target resets connections beyond its limit. The request was not sent
// yet, so the caller must get a refusal, which says that it did not run and may be retried.
func TestConnectionResetAtOnceProvesThatNothingRan(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	b.announce("a", "tally", netip.MustParseAddrPort(ln.Addr().String()))
	b.own("tally", "a")
	for range 20 {
		a := b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7")
		c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	}
}
