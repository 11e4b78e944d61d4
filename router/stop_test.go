package router

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a planned stop that cuts requests in progress, or that keeps connections open on which the next
// request would be cut.
func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	c := qt.New(t)
	started, finish := make(chan struct{}, 2), make(chan struct{})
	s := newTestSystem(t, func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-finish
		_, _ = io.WriteString(w, "whole")
	})
	answers := make(chan answer)
	go func() { answers <- s.call(0, "POST", "/tally", "") }()
	<-started
	s.routers[0].DisableKeepAlives()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	c.Assert(s.routers[0].Drain(ctx), qt.Equals, context.DeadlineExceeded)
	// A request that arrives now is answered as usual, and its connection is closed.
	req, _ := http.NewRequest("GET", s.callerServers[0].URL+"/nobody", nil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Assert(resp.Close, qt.IsTrue)
	drained := make(chan error)
	go func() { drained <- s.routers[0].Drain(context.Background()) }()
	close(finish)
	c.Assert((<-answers).body, qt.Equals, "whole")
	c.Assert(<-drained, qt.IsNil)
	<-s.routers[0].Done()
}

// Guards against one service that takes all the requests that a host can hold.
func TestServicesShareRequestsByWeight(t *testing.T) {
	c := qt.New(t)
	s := newTestSystem(t, func(http.ResponseWriter, *http.Request) {})
	s.cfg.Services[0].Limits.Weight = 3
	r := s.routers[0]
	r.admission.maxRequests = 400
	tally, payroll := r.services.get("tally", r), r.services.get("payroll", r)
	acquire := func(svc *serviceState, weight, attempts int) (acquired int) {
		for range attempts {
			if r.admission.acquire(svc, &s.cfg, weight) {
				acquired++
			}
		}
		return acquired
	}
	// A service that is alone borrows until half of maxRequests is in use; beyond that it has only its share.
	c.Assert(acquire(payroll, 1, 1000), qt.Equals, 200)
	c.Assert(acquire(tally, 3, 1000), qt.Equals, 300)
	for range 150 {
		r.admission.release(payroll)
	}
	c.Assert(acquire(payroll, 1, 1000), qt.Equals, 50)
	c.Assert(r.admission.requests.Load(), qt.Equals, int64(400))
}
