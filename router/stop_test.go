package router

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a planned stop that cuts requests in progress, or that leaves connections on which the next request
// would be cut.
func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	c := qt.New(t)
	started, finish := make(chan struct{}, 2), make(chan struct{})
	s := newSite(t, func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-finish
		_, _ = io.WriteString(w, "whole")
	})
	answers := make(chan answer)
	go func() { answers <- s.call(0, "POST", "/tally", "") }()
	<-started
	s.router[0].Leave()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	c.Assert(s.router[0].Drain(ctx), qt.Equals, context.DeadlineExceeded)
	// A request that arrives now is answered as usual, and its connection is closed.
	req, _ := http.NewRequest("GET", s.caller[0].URL+"/nobody", nil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Assert(resp.Close, qt.IsTrue)
	drained := make(chan error)
	go func() { drained <- s.router[0].Drain(context.Background()) }()
	close(finish)
	c.Assert((<-answers).body, qt.Equals, "whole")
	c.Assert(<-drained, qt.IsNil)
	<-s.router[0].Done()
}

// Guards against one service that takes the whole room of a host.
func TestServicesShareTheRoomByWeight(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, func(http.ResponseWriter, *http.Request) {})
	s.cfg.Services[0].Limits.Weight = 3
	r := s.router[0]
	r.room.limit = 400
	tally, payroll := r.services.find("tally", r), r.services.find("payroll", r)
	enter := func(svc *service, weight, n int) (entered int) {
		for range n {
			if r.room.enter(svc, &s.cfg, weight) {
				entered++
			}
		}
		return entered
	}
	// Alone, a service borrows until half of the room is taken; beyond that it has its own share.
	c.Assert(enter(payroll, 1, 1000), qt.Equals, 200)
	c.Assert(enter(tally, 3, 1000), qt.Equals, 300)
	for range 150 {
		r.room.leave(payroll)
	}
	c.Assert(enter(payroll, 1, 1000), qt.Equals, 50)
	c.Assert(r.room.held.Load(), qt.Equals, int64(400))
}
