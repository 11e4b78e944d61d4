package lessor

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/registrar"
)

// Guards against a key with two owners under random faults: calls are lost, answered late or carried out late, targets are
// cut off, hang, restart under the same ID or at the same address, or drain, data centres are taken out, hot keys move, and
// the leader is replaced.
func TestNoKeyHasTwoOwners(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, seed, 8)
			s.loaded = seed%2 == 1
			s.run(4 * time.Second)
			for range 12 {
				s.injectFault()
				s.run(time.Duration(s.rng.IntN(4000)) * time.Millisecond)
			}
			s.run(10 * time.Second)
		})
	}
}

// Guards against keys without an owner although nothing fails.
func TestAllKeysAreHeldWithoutFaults(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(t, 7, 8)
	s.run(4 * time.Second)
	s.heldSteps, s.steps = 0, 0
	s.run(20 * time.Second)
	c.Assert(s.heldSteps, qt.Equals, s.steps)
}

// Guards against keys that stay without an owner until their grants expire, although their owner's process has ended: the
// next incarnation at the same address proves it.
func TestNextIncarnationFreesKeysOfThePreviousOne(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(t, 3, 8)
	s.run(4 * time.Second)
	ft := s.targets["t01"]
	ft.dead = true
	s.run(time.Second)
	s.startTarget("t01", 1)
	s.run(1500 * time.Millisecond)
	s.heldSteps, s.steps = 0, 0
	s.run(time.Second)
	c.Assert(s.heldSteps, qt.Equals, s.steps)
}

// Guards against keys that stay for ever with a target that accepts connections and never answers: each unanswered grant
// counts as held, so further grants must not extend the time for which the target may hold keys.
func TestKeysOfAHungTargetBecomeFree(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(t, 9, 8)
	s.run(4 * time.Second)
	ft := s.targets["t03"]
	ft.hung = true
	// Two grants with a timeout of one second each fail, and the last of them expires.
	s.run(simHold + 5*time.Second)
	for _, r := range s.reg.RangeList("tally") {
		c.Assert(r.Owner.ID, qt.Not(qt.Equals), "t03")
	}
	s.heldSteps, s.steps = 0, 0
	s.run(time.Second)
	c.Assert(s.heldSteps, qt.Equals, s.steps)
}

// Guards against keys without an owner during the planned stop of their owner: a draining target releases them at once.
func TestDrainingTargetReleasesItsKeysAtOnce(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(t, 5, 8)
	s.run(4 * time.Second)
	ft := s.targets["t02"]
	ft.target.Draining = true
	s.commit(registrar.Change{
		Announce: &ft.target,
	})
	s.run(500 * time.Millisecond)
	c.Assert(len(ft.leases), qt.Equals, 0)
	s.heldSteps, s.steps = 0, 0
	s.run(time.Second)
	c.Assert(s.heldSteps, qt.Equals, s.steps)
}

// Guards against a renewal that reaches a later incarnation of the target under the fence of the previous one: renewals
// are sent only over the connection of the first grant under their fence.
func TestRenewalsStayOnTheirConnection(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(t, 1, 2)
	s.run(2500 * time.Millisecond)
	sentFences := make(map[string]bool)
	for range 400 {
		s.now = s.now.Add(simStep)
		e := s.lessor.Tick(s.now, View{
			Registry: s.reg,
			Services: []string{"tally"},
			Out:      func(string) bool { return false },
		})
		for _, call := range e.Calls {
			key := fmt.Sprint(call.Incarnation.ID, call.Fence)
			if sentFences[key] {
				c.Assert(call.Connection, qt.Equals, uint64(1))
			}
			sentFences[key] = true
			s.lessor.HandleResult(s.now, CallResultMsg{
				Call:       call,
				Answered:   true,
				OK:         true,
				Connection: 1,
			})
		}
	}
	c.Assert(len(sentFences) > 0, qt.IsTrue)
}

// Guards against a lapse of the lease that makes healthy targets unresponsive, or that sends a renewal over a new connection,
// which may reach the next incarnation of the target under the fence of the previous one.
func TestWithdrawnCallsTellNothing(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(t, 1, 2)
	s.run(2500 * time.Millisecond)
	withdrawn := make(map[spanKey]bool)
	for range 400 {
		s.now = s.now.Add(simStep)
		e := s.lessor.Tick(s.now, View{
			Registry: s.reg,
			Services: []string{"tally"},
			Out:      func(string) bool { return false },
		})
		for _, call := range e.Calls {
			if withdrawn[keyOf(call)] {
				c.Assert(call.Connection, qt.Not(qt.Equals), uint64(0))
			}
			withdrawn[keyOf(call)] = withdrawn[keyOf(call)] || call.Connection != 0
			s.lessor.HandleResult(s.now, CallResultMsg{
				Call:      call,
				NotSent:   true,
				Withdrawn: true,
			})
		}
	}
	c.Assert(len(withdrawn) > 0, qt.IsTrue)
	for _, h := range s.lessor.holders {
		c.Assert(h.failures, qt.Equals, 0)
	}
}
