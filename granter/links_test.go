package granter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against targets that nobody reaches because their dispatching host has lost its links to them, while their
// heartbeats still reach it; and against a host that gets none any more after its links have returned.
func TestHostWithoutLinksDispatchesToNoTargets(t *testing.T) {
	c := qt.New(t)
	r := newHarness(4, 64)
	r.run(3 * time.Second)
	dispatched := func() (n int) {
		for _, tg := range r.granter.orderedTargets() {
			if tg.host == r.hostReport(0).Host {
				n++
			}
		}
		return n
	}
	c.Assert(dispatched() > 0, qt.IsTrue)
	r.noLinks = true
	r.run(2 * time.Second)
	c.Assert(dispatched(), qt.Equals, 0)
	r.noLinks = false
	r.run(10 * time.Second)
	c.Assert(dispatched() > 0, qt.IsTrue)
}
