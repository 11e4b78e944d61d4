package participant

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/keyer"
)

// ownerCounts returns the number of owners of each slot that has any.
func ownerCounts(targets []*fakeTarget) map[keyer.Slot]int {
	n := map[keyer.Slot]int{}
	for _, ft := range targets {
		for _, s := range ft.heldSlots() {
			n[s]++
		}
	}
	return n
}

// await polls until done returns true, and checks each time that no slot has two owners. It fails after 20 s.
func await(c *qt.C, targets []*fakeTarget, what string, done func() bool) time.Duration {
	started := time.Now()
	for time.Since(started) < 20*time.Second {
		for s, n := range ownerCounts(targets) {
			c.Assert(n <= 1, qt.IsTrue, qt.Commentf("slot %d has %d owners", s, n))
		}
		if done() {
			c.Logf("%s after %s", what, time.Since(started).Round(time.Millisecond))
			return time.Since(started)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("%s: not after 20 s", what)
	return 0
}

// TestOwnershipOfHosts guards against slots that stay without an owner, or have two at one time, when a target and a
// host are lost and a data centre is taken out of service and restored.
func TestOwnershipOfHosts(t *testing.T) {
	c := qt.New(t)
	asserter.SetFatal(true)
	m, cfg, voters := newStateMachine(), testConfig(), map[string]netip.AddrPort{}
	a := startTestHost(t, m, cfg, "a1", "a", true, voters)
	a2 := startTestHost(t, m, cfg, "a2", "a", false, voters)
	b := startTestHost(t, m, cfg, "b1", "b", false, voters)
	targets := []*fakeTarget{
		startTarget(t, "ta1", "tally", "a", a2, a),
		startTarget(t, "ta2", "tally", "a", a, a2),
		startTarget(t, "ta3", "tally", "a", a, a2),
		startTarget(t, "tb1", "tally", "b", b),
	}
	pool := startTarget(t, "pb1", "payroll", "b", b)
	defer pool.halt()
	all := func() bool { return len(ownerCounts(targets)) == testSlots }
	await(c, targets, "each slot has an owner", all)
	c.Assert(len(targets[3].heldSlots()), qt.Equals, testSlots/4)

	targets[0].halt()
	await(c, targets, "slots of a lost target moved", func() bool {
		return len(targets[0].heldSlots()) == 0 && all()
	})

	await(c, targets, "routes at another data centre", func() bool {
		l := b.Current().Load()
		tally, _ := l.Table("tally")
		payroll, _ := a.Current().Load().Table("payroll")
		for s := range testSlots {
			if r := tally.Owner(keyer.Slot(s)); r == nil || !r.Peer.IsValid() {
				return false
			}
		}
		return len(payroll.Routes) == 1 && payroll.Routes[0].Host == "b1"
	})

	a2.stop()
	await(c, targets, "a host is lost", func() bool {
		tally, _ := a.Current().Load().Table("tally")
		for _, r := range tally.Routes {
			if r.DataCentre == "a" && r.Host != "a1" {
				return false
			}
		}
		return all()
	})

	_, err := m.Propose(t.Context(), applier.Command{SetService: &applier.SetServiceMsg{DataCentre: "b", Out: true}})
	c.Assert(err, qt.IsNil)
	await(c, targets, "data centre b is taken out", func() bool {
		return len(targets[3].heldSlots()) == 0 && all()
	})
	_, err = m.Propose(t.Context(), applier.Command{SetService: &applier.SetServiceMsg{DataCentre: "b"}})
	c.Assert(err, qt.IsNil)
	await(c, targets, "data centre b is back", func() bool {
		return len(targets[3].heldSlots()) > 0 && all()
	})
}
