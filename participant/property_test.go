package participant

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/asserter"
)

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 1)), cfg: testConfig(), stateMachine: newStateMachine(),
		byAddr: map[netip.AddrPort]*simHost{}, maxDelay: 20 * time.Millisecond,
	}
	hold := 4 * time.Second
	sim.cfg.Services[0].Ownership.CutOffHold = hold
	sim.leader = sim.startHost("c1", "c", true)
	sim.leaderSince = sim.leader.now()
	for _, name := range []string{"c2", "a1", "a2", "b1", "b2"} {
		dc := name[:1]
		sim.startHost(name, dc, dc == "c")
	}
	for i := range 3 {
		sim.addTarget(fmt.Sprintf("ta%d", i), "a")
		sim.addTarget(fmt.Sprintf("tb%d", i), "b")
	}
	return sim
}

func (sim *simulation) run(d time.Duration) error {
	for end := sim.elapsed + d; sim.elapsed < end; {
		if err := sim.step(); err != nil {
			return err
		}
	}
	return nil
}

// injectFault starts the fault kind and schedules its end after d. It affects a host, and perhaps a second one, or a
// target, which a and b select.
func (sim *simulation) injectFault(kind, a, b int, d time.Duration) {
	p, q := sim.hosts[a%len(sim.hosts)], sim.hosts[b%len(sim.hosts)]
	t := sim.targets[a%len(sim.targets)]
	sim.trace = append(sim.trace, fmt.Sprintf("%s kind %d host %s, %s target %s for %s;", sim.elapsed, kind, p.name, q.name, t.id(), d))
	end := func(c *endpoint, f func()) { sim.after(c, d, f) }
	all := &endpoint{sim: sim}
	switch kind {
	case 0: // A host pauses.
		p.pausedUntil = sim.elapsed + d
	case 1: // A host is cut off from all others.
		p.unreachable["*"] = true
		end(all, func() { delete(p.unreachable, "*") })
	case 2: // Two hosts are cut off from each other.
		p.unreachable[q.name] = true
		end(all, func() { delete(p.unreachable, q.name) })
	case 3: // A whole data centre is cut off.
		for _, x := range sim.hosts {
			for _, y := range sim.hosts {
				if x.options.Host.DataCentre == p.options.Host.DataCentre && y.options.Host.DataCentre != p.options.Host.DataCentre {
					x.unreachable[y.name] = true
					end(all, func() { delete(x.unreachable, y.name) })
				}
			}
		}
	case 4: // A host restarts.
		if p != sim.leader {
			sim.restart(p)
		}
	case 5: // A target pauses.
		t.pausedUntil = sim.elapsed + d
	case 6: // A target restarts while its former process, frozen or not, still runs for a while without heartbeats.
		t.dead, t.pausedUntil = true, sim.elapsed+d
		sim.addTarget(t.name, t.dc)
	case 7: // A target drains.
		t.draining = true
		end(all, func() { t.draining = false })
	case 8: // Another control host becomes the leader.
		for _, c := range sim.hosts {
			if c.name[0] == 'c' && c != sim.leader {
				sim.leader, sim.leaderSince = c, c.now()
				break
			}
		}
	case 9: // A data centre is taken out of service.
		dc := p.options.Host.DataCentre
		_, _ = sim.stateMachine.Propose(context.Background(), applier.Command{SetService: &applier.SetServiceMsg{DataCentre: dc, Out: true}})
		end(all, func() {
			_, _ = sim.stateMachine.Propose(context.Background(), applier.Command{SetService: &applier.SetServiceMsg{DataCentre: dc}})
		})
	case 10: // Messages are lost and delayed.
		sim.lossRate, sim.maxDelay = 0.3, 300*time.Millisecond
		end(all, func() { sim.lossRate, sim.maxDelay = 0, 20*time.Millisecond })
	}
}

// TestSingleOwner guards against two owners of a slot at one time under any mixture of faults, and against slots that
// have no owner 20 s after the last fault.
func TestSingleOwner(t *testing.T) {
	asserter.SetFatal(true)
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		qt.Assert(t, flag.Set("rapid.seed", "20261204"), qt.IsNil)
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		qt.Assert(t, flag.Set("rapid.checks", "20"), qt.IsNil)
	}
	qt.Assert(t, flag.Set("rapid.nofailfile", "true"), qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		err := sim.run(4 * time.Second)
		faults := rapid.IntRange(1, 12).Draw(t, "faults")
		for range faults {
			if err != nil {
				break
			}
			sim.injectFault(rapid.IntRange(0, 10).Draw(t, "kind"), rapid.IntRange(0, 11).Draw(t, "a"), rapid.IntRange(0, 11).Draw(t, "b"),
				time.Duration(rapid.IntRange(50, 8000).Draw(t, "ms"))*time.Millisecond)
			err = sim.run(time.Duration(rapid.IntRange(0, 2500).Draw(t, "pause")) * time.Millisecond)
		}
		if err == nil {
			err = sim.run(20 * time.Second)
		}
		if err != nil {
			t.Fatal(err)
		}
		if n := sim.ownedSlots(); n != testSlots {
			for _, p := range sim.hosts {
				t.Logf("%s index %d waits %v promise %v leader %q", p.name, p.granter.Index(), p.granter.Waits(), p.promise, p.leader)
			}
			t.Logf("data centres %+v", sim.stateMachine.State().DataCentres)
			t.Fatalf("%d of %d slots have an owner 20 s after the faults: %v", n, testSlots, sim.trace)
		}
	})
}

// TestIsolatedDataCentre guards against slots that lose their owner while their data centre is cut off from the control
// leader, against slots of a target lost in that time that get no new owner before contact returns, and against new
// owners that are not committed afterwards.
func TestIsolatedDataCentre(t *testing.T) {
	c := qt.New(t)
	asserter.SetFatal(true)
	sim := newSimulation(7)
	c.Assert(sim.run(5*time.Second), qt.IsNil)
	c.Assert(sim.ownedSlots(), qt.Equals, testSlots)
	sim.injectFault(3, 2, 0, 3*time.Second)
	gap := 0
	for range 150 {
		c.Assert(sim.step(), qt.IsNil)
		gap = max(gap, testSlots-sim.ownedSlots())
	}
	c.Assert(gap, qt.Equals, 0, qt.Commentf("slots without owner while cut off"))
	sim.targets[0].dead, sim.targets[0].pausedUntil = true, sim.elapsed
	c.Assert(sim.run(1400*time.Millisecond), qt.IsNil)
	c.Assert(sim.ownedSlots(), qt.Equals, testSlots, qt.Commentf("a target was lost while cut off"))
	c.Assert(sim.run(3*time.Second), qt.IsNil)
	c.Assert(sim.ownedSlots(), qt.Equals, testSlots, qt.Commentf("contact is back"))
	for s, e := range sim.stateMachine.State().Slots["tally"].All() {
		c.Assert(e.Target, qt.Not(qt.Equals), sim.targets[0].name, qt.Commentf("slot %d is not recorded under its owner", s))
	}
}
