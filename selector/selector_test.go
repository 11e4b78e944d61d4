package selector

import (
	"fmt"
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

func need() Need {
	return Need{
		Work:      80 * time.Millisecond,
		Objective: 250 * time.Millisecond,
	}
}

// Pattern: calm load in all data centres. Requests stay in their own one, for the bytes between data centres.
func TestCalmLoadStaysInItsDataCentre(t *testing.T) {
	c := qt.New(t)
	s := Selector{
		DataCentre: "b",
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

// Pattern: the own data centre is full. What would be late there goes elsewhere.
func TestLoadBeyondTheOwnDataCentreGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	s := Selector{
		DataCentre: "b",
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

// Pattern: one of two targets is three times slower. It gets clearly less.
func TestSlowTargetGetsLess(t *testing.T) {
	c := qt.New(t)
	s := Selector{
		DataCentre: "a",
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

// Pattern: a target fails part of its requests while it looks healthy.
func TestFailingTargetIsAvoided(t *testing.T) {
	c := qt.New(t)
	s := Selector{
		DataCentre: "a",
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

// Pattern: the owner of a key is cut off. It is tried now and then, not with every request, and it is used again after
// its first answer.
func TestOwnerWithoutAnswersIsTriedOnlyNowAndThen(t *testing.T) {
	c := qt.New(t)
	var s Selector
	inc := target(0, "a").Incarnation
	for range brokenLimit {
		c.Assert(s.Avoided(start, inc), qt.IsFalse)
		s.Begin(start, inc)
		s.End(start, inc, Result{
			Broken: true,
		})
	}
	tries := 0
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if !s.Avoided(now, inc) {
			tries++
		}
	}
	c.Assert(tries <= int(time.Second/probeInterval), qt.IsTrue)
	c.Assert(tries > 0, qt.IsTrue)
	s.Begin(now, inc)
	s.End(now, inc, Result{
		Took: time.Millisecond,
		Work: time.Millisecond,
	})
	c.Assert(s.Avoided(now, inc), qt.IsFalse)
}

// Guards against a cold target that many hosts send a little each: the shares of all hosts stay within its limit, for any
// number of hosts and any limit.
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

// Guards against a share that is used up twice around the end of a fixed second.
func TestColdShareHoldsInEverySlidingSecond(t *testing.T) {
	c := qt.New(t)
	var s Selector
	tg := target(0, "a")
	var sent []time.Time
	now := start
	for range 500 {
		now = now.Add(13 * time.Millisecond)
		if s.TakeCold(now, &tg, 3) {
			sent = append(sent, now)
		}
	}
	for i := 3; i < len(sent); i++ {
		c.Assert(sent[i].Sub(sent[i-3]) >= time.Second, qt.IsTrue)
	}
	c.Assert(len(sent) > 15, qt.IsTrue)
}
