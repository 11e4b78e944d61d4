package balancer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/locator"
)

var now = time.Unix(1_000_000, 0)

func table(names ...string) *locator.Table {
	t := locator.Table{
		Service: "payroll",
	}
	for _, n := range names {
		t.Routes = append(t.Routes, locator.Route{
			Target:     n,
			DataCentre: "waw",
		})
	}
	return &t
}

func shares(b *Balancer, t *locator.Table, at time.Time) map[string]int {
	n := map[string]int{}
	for range 1000 {
		n[b.Choose(t, at).Target]++
	}
	return n
}

func sendOne(b *Balancer, t *locator.Table, i int, latency time.Duration, ok bool) {
	b.Begin(t, &t.Routes[i], now)
	b.End(t, &t.Routes[i], now, latency, ok, true)
}

// Guards against sending requests to a straggler whose own load report still shows it as idle.
func TestStragglerIsAvoidedBeforeItsReportShowsIt(t *testing.T) {
	b, tab := Balancer{Seed: 1}, table("a", "b", "c", "d")
	for range 50 {
		for i := range tab.Routes {
			latency := 5 * time.Millisecond
			if i == 0 {
				latency = 80 * time.Millisecond
				b.Report(tab, &tab.Routes[i], 0, now, time.Second)
			}
			sendOne(&b, tab, i, latency, true)
		}
	}
	qt.Assert(t, shares(&b, tab, now)["a"], qt.Equals, 0)
	// The straggler gets requests again once its latency is too old to count.
	qt.Assert(t, shares(&b, tab, now.Add(2*latencyMaxAge))["a"] > 100, qt.IsTrue)
}

// Guards against a frozen target that keeps its old latency because each of its requests is overtaken by a hedged one.
func TestOvertakenRequestCountsAsSlow(t *testing.T) {
	b, tab := Balancer{Seed: 1}, table("a", "b", "c", "d")
	b.Choose(tab, now)
	for i := range tab.Routes {
		sendOne(&b, tab, i, 5*time.Millisecond, true)
	}
	for range 10 {
		b.Begin(tab, &tab.Routes[0], now)
		b.Cancelled(tab, &tab.Routes[0], now, 40*time.Millisecond)
	}
	qt.Assert(t, shares(&b, tab, now)["a"], qt.Equals, 0)
}

// Guards against balancing by a stale load report.
func TestOldReportIsIgnored(t *testing.T) {
	b, tab := Balancer{Seed: 1}, table("a", "b")
	b.Choose(tab, now)
	b.Report(tab, &tab.Routes[0], 50, now, time.Second)
	qt.Assert(t, shares(&b, tab, now)["a"], qt.Equals, 0)
	qt.Assert(t, shares(&b, tab, now.Add(2*time.Second))["a"] > 300, qt.IsTrue)
}

// Guards against overloading the few remaining targets when a fault of the network makes most look unhealthy.
func TestPanicThresholdTreatsAllAsHealthy(t *testing.T) {
	b, tab := Balancer{Seed: 1}, table("a", "b", "c", "d", "e")
	b.Choose(tab, now)
	fail := func(i int) {
		for range unhealthyFailures {
			sendOne(&b, tab, i, 0, false)
		}
	}
	fail(0)
	qt.Assert(t, shares(&b, tab, now)["a"], qt.Equals, 0)
	fail(1)
	fail(2)
	qt.Assert(t, shares(&b, tab, now)["a"] > 100, qt.IsTrue)
}

// Guards against a new incarnation that inherits the failures of the old one.
func TestNewIncarnationStartsAfresh(t *testing.T) {
	b, tab := Balancer{Seed: 1}, table("a", "b", "c")
	b.Choose(tab, now)
	for range unhealthyFailures {
		sendOne(&b, tab, 0, 0, false)
	}
	next := table("a", "b", "c")
	next.Routes[0].Incarnation = 2
	qt.Assert(t, shares(&b, next, now)["a"] > 100, qt.IsTrue)
}

// Guards against traffic to another data centre without a reason, and against requests to a target out of service.
func TestOwnDataCentreWhenEqualAndNoTargetOutOfService(t *testing.T) {
	b, tab := Balancer{Seed: 1, DataCentre: "krk"}, table("a", "b", "c")
	tab.Routes[1].DataCentre = "krk"
	tab.Routes[2].OutOfService = true
	qt.Assert(t, shares(&b, tab, now)["c"], qt.Equals, 0)
	qt.Assert(t, b.Choose(tab, now, "b").Target, qt.Equals, "a")
	pair := table("a", "b")
	pair.Routes[1].DataCentre = "krk"
	qt.Assert(t, shares(&b, pair, now)["b"], qt.Equals, 1000)
}

// Guards against hedging most requests when the whole service has become slower than HedgeAfter.
func TestHedgeDelayFollowsP95(t *testing.T) {
	b, tab := Balancer{Seed: 1}, table("a")
	b.Choose(tab, now)
	qt.Assert(t, b.HedgeDelay(20*time.Millisecond), qt.Equals, 20*time.Millisecond)
	for i := range 20_000 {
		sendOne(&b, tab, 0, time.Duration(i%100+1)*time.Millisecond, true)
	}
	p95 := b.HedgeDelay(20 * time.Millisecond)
	qt.Assert(t, p95 > 85*time.Millisecond && p95 < 105*time.Millisecond, qt.IsTrue, qt.Commentf("%v", p95))
}
