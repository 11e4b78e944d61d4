package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/sender"
)

// brokenLinks are links that are found to be lost after a failure.
type brokenLinks struct{}

func (brokenLinks) Begin(time.Time)            {}
func (brokenLinks) End(time.Time, bool)        {}
func (brokenLinks) Lost() bool                 { return false }
func (brokenLinks) Check(context.Context) bool { return true }

// Guards against an answer "not run" of another host for a request that may have run after an attempt of this one.
func TestRefusalOfAnotherHostIsNotPassedOnAfterAPossibleRun(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	var reached atomic.Int32
	b.target("a", "desk", hangUp(&reached))
	b.f.opts.Links = brokenLinks{}
	status := 0
	b.f.opts.Relay = func(context.Context, *acceptor.Request, time.Time) (*acceptor.Answer, *sender.Fault) {
		return &acceptor.Answer{
			Status: status,
		}, nil
	}
	for _, tt := range []struct{ status, want int }{
		{http.StatusServiceUnavailable, http.StatusBadGateway},
		{http.StatusTooManyRequests, http.StatusBadGateway},
		{http.StatusNoContent, http.StatusNoContent},
	} {
		status = tt.status
		c.Check(b.send(context.Background(), http.MethodGet, "/lookup/1").Status, qt.Equals, tt.want)
	}
	c.Assert(reached.Load(), qt.Equals, int32(3))
}
