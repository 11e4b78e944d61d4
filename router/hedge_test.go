package router

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/locator"
)

// pool gives the shared service two targets: one that never answers until its request is cancelled, and one that does.
func pool(tb testing.TB, budget float64) (s *site, frozen, cancelled *atomic.Int64) {
	frozen, cancelled = &atomic.Int64{}, &atomic.Int64{}
	s = newSite(tb, func(http.ResponseWriter, *http.Request) {})
	slow := httptest.NewServer(echo(frozen, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		cancelled.Add(1)
	}))
	tb.Cleanup(slow.Close)
	for i := range s.cfg.Services {
		s.cfg.Services[i].Retry.HedgeBudget = budget
		s.cfg.Services[i].Retry.HedgeAfter = 5 * time.Millisecond
		s.cfg.Services[i].Deadline = 100 * time.Millisecond
		s.cfg.Services[i].Limits.ColdAllowance = 4
	}
	s.publish(nil)
	for i := range s.current {
		table, _ := s.current[i].Load().Table("payroll")
		second := table.Routes[0]
		second.Target = "payroll2"
		if i == 0 {
			second.Addr = addrOf(slow)
		}
		s.current[i].Store(locator.New(2, 1, []*locator.Table{{
			Service: "payroll",
			Keyer:   table.Keyer,
			Routes:  []locator.Route{table.Routes[0], second},
		}}))
	}
	return s, frozen, cancelled
}

// Guards against a read that waits for a frozen target while another one could answer, and against a loser that goes on
// running: its connection is closed, also through the dispatching host.
func TestHedgedReadAvoidsFrozenTarget(t *testing.T) {
	for host := range 2 {
		c := qt.New(t)
		s, frozen, cancelled := pool(t, 1)
		for range 20 {
			c.Assert(s.call(host, "GET", "/payroll/slips", "").status, qt.Equals, 200)
		}
		c.Assert(frozen.Load() > 0, qt.IsTrue)
		for cancelled.Load() < frozen.Load() {
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against wages that are released twice: a request that is not idempotent goes to one target only.
func TestWriteIsNeverHedged(t *testing.T) {
	for host := range 2 {
		c := qt.New(t)
		s, frozen, _ := pool(t, 1)
		unknown := int64(0)
		for range 12 {
			if a := s.call(host, "POST", "/payroll/release", ""); a.status != 200 {
				c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
				unknown++
			}
		}
		c.Assert(frozen.Load() > 0, qt.IsTrue)
		c.Assert(unknown, qt.Equals, frozen.Load())
		c.Assert(s.ran.Load()+frozen.Load(), qt.Equals, int64(12))
	}
}

// Guards against hedges beyond the budget.
func TestHedgesNeedABudget(t *testing.T) {
	c := qt.New(t)
	s, frozen, _ := pool(t, 0)
	unknown := int64(0)
	for range 12 {
		if a := s.call(0, "GET", "/payroll/slips", ""); a.status != 200 {
			c.Assert(a.reason, qt.Equals, "deadline", qt.Commentf("%+v", a))
			unknown++
		}
	}
	c.Assert(frozen.Load() > 0, qt.IsTrue)
	c.Assert(unknown, qt.Equals, frozen.Load())
}
