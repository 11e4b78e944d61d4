package selector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/viewer"
)

var start = time.Unix(1000, 0)

func target(i int, dc string) viewer.Target {
	return viewer.Target{
		Incarnation: registrar.Incarnation{
			ID: fmt.Sprintf("t%d", i),
		},
		DataCentre: dc,
		Slots:      4,
	}
}

// random returns a source of draws whose seed is logged.
func random(t *testing.T) *rand.Rand {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, 1))
}

func need() Need {
	return Need{
		Work:      80 * time.Millisecond,
		Objective: 250 * time.Millisecond,
	}
}

// Guards against traffic between data centres at low load: requests must stay in the data centre of their host.
func TestLowLoadStaysInItsDataCentre(t *testing.T) {
	c := qt.New(t)
	s := Selector{
		DataCentre: "b",
		Random:     random(t),
	}
	p := viewer.Pool{
		Targets: []viewer.Target{target(0, "a"), target(1, "b"), target(2, "b"), target(3, "c")},
	}
	for range 8 {
		got := s.Choose(start, &p, need(), nil)
		c.Assert(got.DataCentre, qt.Equals, "b")
		s.Begin(start, got.Incarnation)
	}
}

// Guards against late answers because the targets of the host's data centre are overloaded: requests that would be late
// there must go to another data centre.
func TestLoadBeyondTheLocalDataCentreGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	s := Selector{
		DataCentre: "b",
		Random:     random(t),
	}
	p := viewer.Pool{
		Targets: []viewer.Target{target(0, "a"), target(1, "b")},
	}
	seen := make(map[string]int)
	for range 24 {
		got := s.Choose(start, &p, need(), nil)
		s.Begin(start, got.Incarnation)
		seen[got.DataCentre]++
	}
	c.Assert(seen["a"] > 6, qt.IsTrue, qt.Commentf("%v", seen))
	c.Assert(seen["b"] > 6, qt.IsTrue, qt.Commentf("%v", seen))
}

// Guards against an equal share for a slow target: of two targets, one three times slower must get clearly fewer
// requests.
func TestSlowTargetGetsFewerRequests(t *testing.T) {
	c := qt.New(t)
	s := Selector{
		DataCentre: "a",
		Random:     random(t),
	}
	p := viewer.Pool{
		Targets: []viewer.Target{target(0, "a"), target(1, "a")},
	}
	for range 60 {
		for i, took := range []time.Duration{240 * time.Millisecond, 80 * time.Millisecond} {
			s.Begin(start, p.Targets[i].Incarnation)
			s.End(start, p.Targets[i].Incarnation, Result{
				Took: took,
				Work: 80 * time.Millisecond,
			})
		}
	}
	seen := make(map[string]int)
	for range 6 {
		got := s.Choose(start, &p, need(), nil)
		s.Begin(start, got.Incarnation)
		seen[got.ID]++
	}
	c.Assert(seen["t1"] >= 5, qt.IsTrue, qt.Commentf("%v", seen))
}

// Guards against a target that fails half of its requests but looks healthy by its response times: requests must go to
// the other one.
func TestFailingTargetIsAvoided(t *testing.T) {
	c := qt.New(t)
	s := Selector{
		DataCentre: "a",
		Random:     random(t),
	}
	p := viewer.Pool{
		Targets: []viewer.Target{target(0, "a"), target(1, "a")},
	}
	for i := range 40 {
		s.Begin(start, p.Targets[0].Incarnation)
		s.End(start, p.Targets[0].Incarnation, Result{
			Failed: i%2 == 0,
			Took:   80 * time.Millisecond,
			Work:   80 * time.Millisecond,
		})
	}
	for range 4 {
		got := s.Choose(start, &p, need(), nil)
		c.Assert(got.ID, qt.Equals, "t1")
		s.Begin(start, got.Incarnation)
	}
}

// Guards against sending every request to the owner of a key that does not answer, for example because of a network
// partition. It must be probed at intervals only, and used again after its first answer.
func TestUnresponsiveOwnerIsProbedAtIntervals(t *testing.T) {
	c := qt.New(t)
	var s Selector
	inc := target(0, "a").Incarnation
	for range unansweredLimit {
		c.Assert(s.Unresponsive(start, inc), qt.IsFalse)
		s.Begin(start, inc)
		s.End(start, inc, Result{
			Unanswered: true,
		})
	}
	probes := 0
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if !s.Unresponsive(now, inc) {
			probes++
		}
	}
	c.Assert(probes <= int(time.Second/probeInterval), qt.IsTrue)
	c.Assert(probes > 0, qt.IsTrue)
	s.Begin(now, inc)
	s.End(now, inc, Result{
		Took: time.Millisecond,
		Work: time.Millisecond,
	})
	c.Assert(s.Unresponsive(now, inc), qt.IsFalse)
}

// Guards against a cold target that is overloaded by many hosts with a few requests each: the shares of all hosts must
// add up to no more than its limit, for any number of hosts and any limit.
func TestColdSharesAddUpToLessThanTheLimit(t *testing.T) {
	c := qt.New(t)
	for hosts := 1; hosts <= 100; hosts++ {
		for _, limit := range []float64{0, 1, 5, 21.5, 29, 200} {
			for i := range 5 {
				tg := target(i, "a")
				sum := 0
				for rank := range hosts {
					sum += ColdShare(limit, &viewer.View{
						Hosts: hosts,
						Rank:  rank,
					}, &tg)
				}
				c.Assert(float64(sum) <= limit, qt.IsTrue, qt.Commentf("%d hosts, limit %g: %d", hosts, limit, sum))
				c.Assert(float64(sum) >= limit/2-1, qt.IsTrue, qt.Commentf("%d hosts, limit %g: %d", hosts, limit, sum))
			}
		}
	}
}

// Guards against a fixed window, which would allow twice the share within a second around the end of a window.
func TestColdShareHoldsInEverySlidingSecond(t *testing.T) {
	c := qt.New(t)
	var s Selector
	tg := target(0, "a")
	var sent []time.Time
	now := start
	for range 500 {
		now = now.Add(13 * time.Millisecond)
		if s.TakeColdAllowance(now, &tg, 3) {
			sent = append(sent, now)
		}
	}
	for i := 3; i < len(sent); i++ {
		c.Assert(sent[i].Sub(sent[i-3]) >= time.Second, qt.IsTrue)
	}
	c.Assert(len(sent) > 15, qt.IsTrue)
}
