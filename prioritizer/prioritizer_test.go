package prioritizer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// capacity is usable as it is, since the tests state no slack.
const capacity = 85

// two returns the demand of two priorities.
func two(first, second float64) []Demand {
	return []Demand{{Priority: 1, Work: second}, {Priority: 0, Work: first}}
}

// Guards against urgent requests that are refused in a burst above capacity while others are served, and against capacity that
// is left idle while requests are refused. The usable capacity is 85.
func TestCapacityGoesToUrgentRequestsFirst(t *testing.T) {
	for name, tc := range map[string]struct {
		demand        []Demand
		first, second float64
	}{
		"calm":                     {demand: two(40, 40), first: 1, second: 1},
		"burst, two priorities":    {demand: two(50, 50), first: 1, second: 0.7},
		"urgent burst":             {demand: two(170, 34), first: 0.475, second: 0.125},
		"one priority alone":       {demand: []Demand{{Work: 170}}, first: 1, second: 1},
		"no information":           {first: 1, second: 1},
		"less urgent priority new": {demand: []Demand{{Work: 50}}, first: 1, second: 1},
	} {
		c := qt.New(t)
		var p Prioritizer
		p.Update(capacity, tc.demand)
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
		p.Update(capacity, demand)
		for _, d := range demand {
			total += d.Work
			admitted += d.Work * p.Share(d.Priority)
		}
		usable := 85.0
		if len(demand) == 1 {
			usable = total
		}
		c.Assert(math.Abs(admitted-min(total, usable)) < 1e-6, qt.IsTrue, qt.Commentf("%v of %v", admitted, demand))
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
		p.Update(capacity, two(85/share, 1e-9))
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
	p.Update(capacity, two(170, 1e-9))
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
		capacity := hosts * rate * work.Seconds() / tc.load
		start := time.UnixMilli(0)
		now := start
		lowest := 1.0
		for now.Sub(start) < 30*time.Minute {
			a.Record(now, random.IntN(2), work)
			p.Update(capacity, a.Demand(now, hosts))
			if now.Sub(start) < 3*time.Second {
				c.Assert(p.Share(1), qt.Equals, 1.0)
			}
			lowest = min(lowest, p.Share(1))
			now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / rate))
		}
		c.Check(lowest < 1, qt.Equals, tc.refused, qt.Commentf("load %v: %v", tc.load, lowest))
	}
}

// Guards against a wave that is refused although targets can queue it, against a queue that is longer than requests can wait, and
// against the refusal of many requests that can wait because of a few that cannot.
func TestRequestsThatCanWaitAreAdmittedBeyondTheCapacity(t *testing.T) {
	for name, tc := range map[string]struct {
		urgent, other time.Duration
		urgentWork    float64
		usable        float64
	}{
		"overdue":        {urgent: -time.Second, other: -time.Second, urgentWork: 50, usable: 100},
		"no slack":       {urgentWork: 50, usable: 100},
		"some":           {urgent: queueHorizon / 2, other: queueHorizon / 2, urgentWork: 50, usable: 150},
		"unlimited":      {urgent: time.Hour, other: time.Hour, urgentWork: 50, usable: 200},
		"few cannot":     {other: queueHorizon, urgentWork: 1, usable: 199},
		"most cannot":    {urgent: 0, other: queueHorizon / 100, urgentWork: 99, usable: 100},
		"half of each":   {other: queueHorizon, urgentWork: 75, usable: 150},
		"only a few can": {urgent: queueHorizon / 10, other: queueHorizon / 10, urgentWork: 10, usable: 110},
	} {
		c := qt.New(t)
		contended := func(work float64) bool {
			var p Prioritizer
			p.Update(100, []Demand{
				{
					Work:  tc.urgentWork,
					Slack: tc.urgent,
				},
				{
					Priority: 1,
					Work:     work - tc.urgentWork,
					Slack:    tc.other,
				},
			})
			return p.Contended()
		}
		c.Check(contended(tc.usable-1), qt.IsFalse, qt.Commentf("%s", name))
		c.Check(contended(tc.usable+1), qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Guards against callers that return while the overload lasts, together, or later than they wait.
func TestRetryAfterFollowsThePressure(t *testing.T) {
	for _, tc := range []struct {
		pressure  float64
		left      time.Duration
		draw      float64
		wantDelay time.Duration
	}{
		{pressure: 1, draw: 0, wantDelay: 200 * time.Millisecond},
		{pressure: 2, draw: 0, wantDelay: 800 * time.Millisecond},
		{pressure: 2, draw: 0.5, wantDelay: 1200 * time.Millisecond},
		{pressure: 9, draw: 0, wantDelay: 2 * time.Second},
		{pressure: 9, left: 3 * time.Second, draw: 1, wantDelay: time.Second},
		{pressure: 2, left: time.Millisecond, draw: 0, wantDelay: shortestRetryAfter},
	} {
		c := qt.New(t)
		var p Prioritizer
		p.Update(100, two(50*tc.pressure, 50*tc.pressure))
		c.Check(p.RetryAfter(tc.left, tc.draw), qt.Equals, tc.wantDelay, qt.Commentf("%+v", tc))
	}
}
