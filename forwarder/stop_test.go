package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/acceptor"
)

// stopIn makes the host of b stop: the balancer notices it and it ends after the given times.
func (b *fixture) stopIn(noticed, ends time.Duration) {
	now := time.Now()
	b.stop.Store(&Stop{
		NoticedAt: now.Add(noticed),
		EndsAt:    now.Add(ends),
	})
}

// Guards against a stopping host that takes requests which it cannot finish before it ends, so that their callers never
// learn whether they ran. The routes have timeouts of one second.
func TestStoppingHostRefusesWhatItMayNotFinish(t *testing.T) {
	for _, tt := range []struct {
		name          string
		noticed, ends time.Duration
		serviceTime   time.Duration
		deadline      string
		served        bool
	}{
		{
			name:   "time enough",
			ends:   1500 * time.Millisecond,
			served: true,
		},
		{
			name: "too little time",
			ends: 900 * time.Millisecond,
		},
		{
			name:     "short deadline",
			ends:     900 * time.Millisecond,
			deadline: "700",
			served:   true,
		},
		{
			name:    "not noticed yet, likely to end in time",
			noticed: 500 * time.Millisecond,
			ends:    900 * time.Millisecond,
			served:  true,
		},
		{
			name:        "not noticed yet, likely to be cut",
			noticed:     500 * time.Millisecond,
			ends:        900 * time.Millisecond,
			serviceTime: 700 * time.Millisecond,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(c)
			b.putTable()
			var reached atomic.Int32
			b.target("a", "desk", answerWith(&reached, "ok"))
			if tt.serviceTime > 0 {
				b.f.serviceTime("order").mean = tt.serviceTime
			}
			b.stopIn(tt.noticed, tt.ends)
			began := time.Now()
			var header []string
			if tt.deadline != "" {
				header = []string{testDeadline, tt.deadline}
			}
			a := b.send(context.Background(), http.MethodPost, "/order/1", header...)
			if tt.served {
				c.Assert(a.Status, qt.Equals, http.StatusOK)
				return
			}
			c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(reached.Load(), qt.Equals, int32(0))
			c.Assert(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
			wait, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
			c.Assert(err, qt.IsNil)
			// Callers return after the balancer has noticed, and not at the same moment.
			least := tt.noticed.Seconds()
			c.Assert(wait >= least-0.1 && wait <= 2*least+0.1, qt.IsTrue, qt.Commentf("%v", wait))
		})
	}
}

// Guards against a request that waited for the owner of its key and is passed on too late in a stop, and against an answer "not
// run" after an attempt that may have run.
func TestStoppingHostComparesTheTimeBeforeEachAttempt(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	var reached atomic.Int32
	b.target("a", "tally", answerWith(&reached, "ok"))
	b.stopIn(0, 1200*time.Millisecond)
	time.AfterFunc(200*time.Millisecond, func() {
		b.stopIn(0, 300*time.Millisecond)
		b.own("tally", "a")
	})
	a := b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7")
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(reached.Load(), qt.Equals, int32(0))

	b.stopIn(0, 1200*time.Millisecond)
	b.target("b", "desk", func(w http.ResponseWriter, r *http.Request) {
		b.stopIn(0, 300*time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
		hangUp(&reached)(w, r)
	})
	a = b.send(context.Background(), http.MethodGet, "/lookup/1")
	c.Assert(a.Status, qt.Equals, http.StatusBadGateway)
}

// Guards against callers that are refused during a stop and all come back at the moment at which the balancer has noticed it, and
// against a wait for the balancer of a host at which the caller is not.
func TestCallersRefusedInAStopDoNotReturnTogether(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	var reached atomic.Int32
	b.target("a", "desk", answerWith(&reached, "ok"))
	b.f.serviceTime("order").mean = time.Second
	b.stopIn(time.Minute, 900*time.Millisecond)
	least, most := time.Hour.Seconds(), 0.0
	for range 200 {
		a := b.send(context.Background(), http.MethodPost, "/order/1")
		wait, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		c.Assert(err, qt.IsNil)
		least, most = min(least, wait), max(most, wait)
	}
	c.Assert(least >= 59 && most-least > 40, qt.IsTrue, qt.Commentf("%v to %v", least, most))
	a := b.f.HandleRelayed(context.Background(), &acceptor.Request{
		Method:  http.MethodPost,
		URI:     "/order/1",
		Path:    "/order/1",
		Host:    "shop.example",
		Header:  http.Header{},
		Arrived: time.Now(),
	})
	wait, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	c.Assert(err == nil && a.Status == http.StatusServiceUnavailable && wait < 1, qt.IsTrue, qt.Commentf("%d %v", a.Status, wait))
}
