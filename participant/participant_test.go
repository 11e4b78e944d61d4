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

// owners counts the owners of each slot.
func owners(targets []*fakeTarget) map[keyer.Slot]int {
	n := map[keyer.Slot]int{}
	for _, ft := range targets {
		for _, s := range ft.holds() {
			n[s]++
		}
	}
	return n
}

// await polls until done and checks all the while that no slot has two owners.
func await(c *qt.C, targets []*fakeTarget, what string, done func() bool) time.Duration {
	started := time.Now()
	for time.Since(started) < 20*time.Second {
		for s, n := range owners(targets) {
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

// TestOwnershipOfHosts guards against slots without an owner, or with two, while targets and a host are lost and a data
// centre is taken out.
func TestOwnershipOfHosts(t *testing.T) {
	c := qt.New(t)
	asserter.SetFatal(true)
	m, cfg, voters := newMachine(), testConfig(), map[string]netip.AddrPort{}
	a := startNode(t, m, cfg, "a1", "a", true, voters)
	a2 := startNode(t, m, cfg, "a2", "a", false, voters)
	b := startNode(t, m, cfg, "b1", "b", false, voters)
	targets := []*fakeTarget{
		startTarget(t, "ta1", "tally", "a", a2, a),
		startTarget(t, "ta2", "tally", "a", a, a2),
		startTarget(t, "ta3", "tally", "a", a, a2),
		startTarget(t, "tb1", "tally", "b", b),
	}
	pool := startTarget(t, "pb1", "payroll", "b", b)
	defer pool.halt()
	all := func() bool { return len(owners(targets)) == testSlots }
	await(c, targets, "each slot has an owner", all)
	c.Assert(len(targets[3].holds()), qt.Equals, testSlots/4)

	targets[0].halt()
	await(c, targets, "slots of a lost target moved", func() bool {
		return len(targets[0].holds()) == 0 && all()
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
		return len(targets[3].holds()) == 0 && all()
	})
	_, err = m.Propose(t.Context(), applier.Command{SetService: &applier.SetServiceMsg{DataCentre: "b"}})
	c.Assert(err, qt.IsNil)
	await(c, targets, "data centre b is back", func() bool {
		return len(targets[3].holds()) > 0 && all()
	})
}
