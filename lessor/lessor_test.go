package lessor

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/registrar"
)

// Guards against a key with two owners, whatever calls, targets and leaders do: calls are lost, answered late or carried
// out late, targets are cut off, restart under the same ID or address, or leave, busy keys move, and the leader is replaced.
func TestNoKeyHasTwoOwners(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 8)
			w.busy = seed%2 == 1
			w.run(4 * time.Second)
			for range 12 {
				w.trouble()
				w.run(time.Duration(w.rng.IntN(4000)) * time.Millisecond)
			}
			w.run(10 * time.Second)
		})
	}
}

// Guards against a service whose keys stay without an owner in calm times.
func TestAllKeysAreHeldInCalmTimes(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 7, 8)
	w.run(4 * time.Second)
	w.served, w.steps = 0, 0
	w.run(20 * time.Second)
	c.Assert(w.served, qt.Equals, w.steps)
}

// Guards against keys that wait for a hold although their owner's process has ended: its next incarnation at the same
// address proves it.
func TestNextLifeFreesTheKeysOfTheOneBefore(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 3, 8)
	w.run(4 * time.Second)
	ft := w.targets["t01"]
	ft.dead = true
	w.run(time.Second)
	w.start("t01", 1)
	w.run(1500 * time.Millisecond)
	w.served, w.steps = 0, 0
	w.run(time.Second)
	c.Assert(w.served, qt.Equals, w.steps)
}

// Guards against keys that stay for ever with a target that takes connections and answers nothing: each grant without an
// answer counts as held, so grants must not go on to extend the hold.
func TestKeysOfAHungTargetBecomeFree(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 9, 8)
	w.run(4 * time.Second)
	ft := w.targets["t03"]
	ft.hung = true
	// Two grants of a second each fail, and the last of them lapses.
	w.run(worldHold + 5*time.Second)
	for _, r := range w.reg.RangeList("tally") {
		c.Assert(r.Owner.ID, qt.Not(qt.Equals), "t03")
	}
	w.served, w.steps = 0, 0
	w.run(time.Second)
	c.Assert(w.served, qt.Equals, w.steps)
}

// Guards against keys that are without an owner while their owner leaves as planned.
func TestDrainingTargetGivesItsKeysAwayAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 5, 8)
	w.run(4 * time.Second)
	ft := w.targets["t02"]
	ft.target.Draining = true
	w.commit(registrar.Change{
		Announce: &ft.target,
	})
	w.run(500 * time.Millisecond)
	c.Assert(len(ft.holds), qt.Equals, 0)
	w.served, w.steps = 0, 0
	w.run(time.Second)
	c.Assert(w.served, qt.Equals, w.steps)
}

// Guards against a renewal under an old fence at a process that may be another incarnation: it goes only over the
// connection that the grant was sent on.
func TestRenewalsStayOnTheirConnection(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 2)
	w.run(2500 * time.Millisecond)
	used := make(map[string]bool)
	for range 400 {
		w.now = w.now.Add(worldStep)
		e := w.lessor.Tick(w.now, View{
			Registry: w.reg,
			Services: []string{"tally"},
			Out:      func(string) bool { return false },
		})
		for _, call := range e.Calls {
			key := fmt.Sprint(call.Incarnation.ID, call.Fence)
			if used[key] {
				c.Assert(call.SameConnection, qt.IsTrue)
			}
			used[key] = true
			w.lessor.Answered(w.now, AnsweredMsg{
				Call:     call,
				Answered: true,
				OK:       true,
			})
		}
	}
	c.Assert(len(used) > 0, qt.IsTrue)
}
