package prioritizer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// two returns the demand of two priorities.
func two(first, second float64) []Demand {
	return []Demand{{Priority: 1, Work: second}, {Priority: 0, Work: first}}
}

// Guards against urgent requests that are refused in a burst above capacity while others are served, and against capacity that
// is left idle while requests are refused. Usable capacity is 85 of 100.
func TestCapacityGoesToUrgentRequestsFirst(t *testing.T) {
	for name, tc := range map[string]struct {
		demand        []Demand
		first, second float64
	}{
		"calm":                     {demand: two(40, 40), first: 1, second: 1},
		"burst, two priorities":    {demand: two(50, 50), first: 1, second: 0.7},
		"urgent burst":             {demand: two(170, 34), first: 0.475, second: 0.125},
		"one priority alone":       {demand: []Demand{{Work: 170}}, first: 0.5, second: 0.15},
		"no information":           {first: 1, second: 1},
		"less urgent priority new": {demand: []Demand{{Work: 50}}, first: 1, second: 1},
	} {
		c := qt.New(t)
		var p Prioritizer
		p.Update(100, tc.demand)
		c.Check(math.Abs(p.Share(0)-tc.first) < 1e-9, qt.IsTrue, qt.Commentf("%s: %v", name, p.Share(0)))
		c.Check(math.Abs(p.Share(1)-tc.second) < 1e-9, qt.IsTrue, qt.Commentf("%s: %v", name, p.Share(1)))
	}
}

// Guards against a priority that starves, and against work beyond the usable capacity, for any demand.
func TestNoPriorityStarves(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		var p Prioritizer
		var demand []Demand
		total, admitted := 0.0, 0.0
		for i := range 1 + random.IntN(4) {
			demand = append(demand, Demand{
				Priority: i,
				Work:     200 * random.Float64(),
			})
		}
		p.Update(100, demand)
		for _, d := range demand {
			total += d.Work
			admitted += d.Work * p.Share(d.Priority)
		}
		c.Assert(math.Abs(admitted-min(total, 85)) < 1e-6, qt.IsTrue, qt.Commentf("%v of %v", admitted, demand))
		for _, d := range demand {
			c.Assert(p.Share(d.Priority) >= admitted/total/4, qt.IsTrue, qt.Commentf("%v of %v", p.Share(d.Priority), demand))
		}
	}
}

// Guards against shares that few requests miss, and against a route whose requests always arrive when the accumulator of the
// service is empty, since they alternate with those of another route.
func TestFewRequestsAreDividedExactly(t *testing.T) {
	for _, share := range []float64{0.13, 0.37, 0.5, 0.7, 0.99} {
		c := qt.New(t)
		var p Prioritizer
		p.Update(100, []Demand{{Work: 85 / share}})
		admitted := make(map[string]int)
		const requests = 100
		for range requests {
			for _, route := range []string{"a", "b"} {
				if p.Admit(Request{Route: route}) {
					admitted[route]++
				}
			}
		}
		exact := int(math.Round(share * requests))
		c.Check(admitted, qt.DeepEquals, map[string]int{"a": exact, "b": exact})
	}
}

// Guards against callers that were refused before and are refused again while new ones are served, and against a herd of them
// that is admitted beyond the share after an outage.
func TestReturningCallersComeFirst(t *testing.T) {
	c := qt.New(t)
	var p Prioritizer
	p.Update(100, []Demand{{Work: 170}})
	returning, fresh := 0, 0
	for i := range 200 {
		back := i%4 == 0
		if !p.Admit(Request{Returning: back}) {
			continue
		}
		if back {
			returning++
		} else {
			fresh++
		}
	}
	c.Assert(returning, qt.Equals, 50)
	c.Assert(fresh >= 45 && fresh <= 50, qt.IsTrue, qt.Commentf("%d", fresh))
	herd := 0
	for range 100 {
		if p.Admit(Request{Returning: true}) {
			herd++
		}
	}
	c.Assert(herd <= 50+maxBorrowed+1, qt.IsTrue, qt.Commentf("%d", herd))
}

// Guards against refusals because of noise at a host without information on the others, which sees ten requests a second, and
// against a host that admits everything although the excess is clear. A host that has just started refuses nothing.
func TestOwnArrivalsShowOnlyClearExcess(t *testing.T) {
	const hosts, rate, work = 90, 10, 250 * time.Millisecond
	for _, tc := range []struct {
		load    float64
		refused bool
	}{{load: 0.6}, {load: 0.8}, {load: 1}, {load: 2.5, refused: true}} {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(3, 4))
		var a Arrivals
		var p Prioritizer
		capacity := hosts * rate * work.Seconds() / usableShare / tc.load
		start := time.UnixMilli(0)
		now := start
		lowest := 1.0
		for now.Sub(start) < 30*time.Minute {
			a.Record(now, 0, work)
			p.Update(capacity, a.Demand(now, hosts))
			if now.Sub(start) < 3*time.Second {
				c.Assert(p.Share(0), qt.Equals, 1.0)
			}
			lowest = min(lowest, p.Share(0))
			now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / rate))
		}
		c.Check(lowest < 1, qt.Equals, tc.refused, qt.Commentf("load %v: %v", tc.load, lowest))
	}
}
