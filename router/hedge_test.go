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

// newTestSystemWithFrozenTarget returns a testSystem whose shared service has two targets: one that answers, and a
// frozen one, which answers no request. frozen counts the requests at the latter, cancelled those that were cancelled.
func newTestSystemWithFrozenTarget(tb testing.TB, budget float64) (s *testSystem, frozen, cancelled *atomic.Int64) {
	frozen, cancelled = &atomic.Int64{}, &atomic.Int64{}
	s = newTestSystem(tb, func(http.ResponseWriter, *http.Request) {})
	slow := httptest.NewServer(countAndEcho(frozen, func(_ http.ResponseWriter, r *http.Request) {
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
	for i := range s.locators {
		table, _ := s.locators[i].Load().Table("payroll")
		second := table.Routes[0]
		second.Target = "payroll2"
		if i == 0 {
			second.Addr = addrOf(slow)
		}
		s.locators[i].Store(locator.New(2, 1, []*locator.Table{{
			Service: "payroll",
			Keyer:   table.Keyer,
			Routes:  []locator.Route{table.Routes[0], second},
		}}))
	}
	return s, frozen, cancelled
}

// Guards against a read that waits for a frozen target while another one could answer, and against a losing attempt
// that goes on running: its connection is closed, also through the dispatching host.
func TestHedgedReadAvoidsFrozenTarget(t *testing.T) {
	for host := range 2 {
		c := qt.New(t)
		s, frozen, cancelled := newTestSystemWithFrozenTarget(t, 1)
		for range 20 {
			c.Assert(s.call(host, "GET", "/payroll/slips", "").status, qt.Equals, 200)
		}
		c.Assert(frozen.Load() > 0, qt.IsTrue)
		for cancelled.Load() < frozen.Load() {
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against hedging a request that is not idempotent, which could release wages twice.
func TestWriteIsNeverHedged(t *testing.T) {
	for host := range 2 {
		c := qt.New(t)
		s, frozen, _ := newTestSystemWithFrozenTarget(t, 1)
		unknown := int64(0)
		for range 12 {
			if a := s.call(host, "POST", "/payroll/release", ""); a.status != 200 {
				c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
				unknown++
			}
		}
		c.Assert(frozen.Load() > 0, qt.IsTrue)
		c.Assert(unknown, qt.Equals, frozen.Load())
		c.Assert(s.received.Load()+frozen.Load(), qt.Equals, int64(12))
	}
}

// Guards against hedged attempts beyond the hedge budget.
func TestHedgesNeedABudget(t *testing.T) {
	c := qt.New(t)
	s, frozen, _ := newTestSystemWithFrozenTarget(t, 0)
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
