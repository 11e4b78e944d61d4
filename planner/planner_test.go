package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/registrar"
)

const keys = 1 << 16

// load builds cumulated loads from the load of single keys and an even base.
func load(base float64, busy map[int]float64) []float64 {
	sums := make([]float64, keys+1)
	for k := range keys {
		sums[k+1] = sums[k] + base/keys + busy[k]
	}
	return sums
}

func incarnation(i int) registrar.Incarnation {
	return registrar.Incarnation{
		ID: fmt.Sprintf("t%02d", i),
	}
}

func targets(capacities ...float64) []Target {
	var all []Target
	for i, c := range capacities {
		all = append(all, Target{
			Incarnation: incarnation(i),
			Capacity:    c,
		})
	}
	return all
}

func even(n int) []float64 {
	all := make([]float64, n)
	for i := range all {
		all[i] = 4
	}
	return all
}

// start divides all keys among the targets, as at the first start.
func start(sums []float64, ts []Target) []registrar.Range {
	p := Planner{
		Sums:    sums,
		Targets: ts,
	}
	return apply(nil, p.Assign([]registrar.Span{{
		From: 0,
		To:   keys - 1,
	}}))
}

func apply(ranges []registrar.Range, grants []registrar.Grant) []registrar.Range {
	var r registrar.Registry
	for _, rg := range ranges {
		r = r.Grant(rg.Fence, "tally", []registrar.Grant{{
			From:     rg.From,
			To:       rg.To,
			Owner:    rg.Owner,
			Handover: rg.Handover,
		}})
	}
	return r.Grant(1, "tally", grants).RangeList("tally")
}

// settle plans and carries out moves until there are none, and returns how many there were.
func settle(sums []float64, ts []Target, ranges []registrar.Range) ([]registrar.Range, int) {
	n := 0
	for range 30 {
		p := Planner{
			Sums:    sums,
			Ranges:  ranges,
			Targets: ts,
		}
		moves := p.Plan(6)
		if len(moves) == 0 {
			return ranges, n
		}
		n += len(moves)
		for _, m := range moves {
			ranges = apply(ranges, []registrar.Grant{{
				From:  m.Span.From,
				To:    m.Span.To,
				Owner: m.To,
			}})
		}
	}
	return ranges, n
}

// busiestShare returns the load of the busiest target as a share of its capacity.
func busiestShare(sums []float64, ts []Target, ranges []registrar.Range) float64 {
	p := Planner{
		Sums:    sums,
		Ranges:  ranges,
		Targets: ts,
	}
	all, _, _ := p.holdings()
	most := 0.0
	for _, h := range all {
		most = max(most, h.share())
	}
	return most
}

func covers(c *qt.C, ranges []registrar.Range) {
	next := 0
	for _, r := range ranges {
		c.Assert(int(r.From), qt.Equals, next)
		next = int(r.To) + 1
	}
	c.Assert(next, qt.Equals, keys)
}

// Pattern: busy keys close to one another, as a busy estate makes them. An even division of the keys leaves one target
// with all of them; the plan has to spread them.
func TestBusyNeighbourhoodIsSpread(t *testing.T) {
	c := qt.New(t)
	busy := make(map[int]float64)
	for i := range 400 {
		busy[35500+i] = 20.0 / float64(20+i) / 4
	}
	sums := load(10, busy)
	ts := targets(even(20)...)
	ranges := start(load(1, nil), ts)
	before := busiestShare(sums, ts, ranges)
	ranges, _ = settle(sums, ts, ranges)
	covers(c, ranges)
	after := busiestShare(sums, ts, ranges)
	c.Assert(before > 2, qt.IsTrue, qt.Commentf("the even division must be overloaded: %.2f", before))
	c.Assert(after < 0.6, qt.IsTrue, qt.Commentf("%.2f", after))
}

// Pattern: one key asks for more than its owner can do. It belongs on the target with the most capacity, alone.
func TestKeyBusierThanItsOwnerGoesToTheStrongestTarget(t *testing.T) {
	c := qt.New(t)
	sums := load(20, map[int]float64{2154: 6})
	ts := targets(4, 2, 4, 4, 6, 4, 2, 4)
	ranges, _ := settle(sums, ts, start(load(1, nil), ts))
	covers(c, ranges)
	r, ok := registrar.Find(ranges, 2154)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Owner, qt.Equals, incarnation(4))
	p := Planner{
		Sums:    sums,
		Ranges:  ranges,
		Targets: ts,
	}
	all, _, _ := p.holdings()
	c.Assert(all[4].load < 6.5, qt.IsTrue, qt.Commentf("other keys stay with the busy one: %.2f", all[4].load))
}

// Pattern: empty targets join in calm times. Each gets its share, however small the load is.
func TestEmptyTargetsGetTheirShare(t *testing.T) {
	c := qt.New(t)
	sums := load(2, nil)
	ranges := start(sums, targets(even(8)...))
	ts := targets(even(11)...)
	ranges, _ = settle(sums, ts, ranges)
	p := Planner{
		Sums:    sums,
		Ranges:  ranges,
		Targets: ts,
	}
	all, total, capacity := p.holdings()
	for _, h := range all {
		c.Check(h.share() > 0.4*total/capacity, qt.IsTrue, qt.Commentf("%s has %.3f", h.Incarnation.ID, h.load))
	}
}

// Pattern: calm, even load of 15% of the capacity with the noise of few requests. Nothing moves.
func TestNoiseMovesNothing(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	ts := targets(even(20)...)
	ranges := start(load(1, nil), ts)
	for range 50 {
		busy := make(map[int]float64)
		for range 300 {
			busy[rng.IntN(keys)] += 0.12 / 3
		}
		p := Planner{
			Sums:    load(1, busy),
			Ranges:  ranges,
			Targets: ts,
		}
		c.Assert(p.Plan(6), qt.HasLen, 0)
	}
}

// Pattern: half of the targets are lost. The rest takes their keys in proportion to what it has left.
func TestKeysOfLostTargetsAreSpread(t *testing.T) {
	c := qt.New(t)
	sums := load(16, nil)
	ranges := start(sums, targets(even(8)...))
	ts := targets(even(8)...)
	var spans []registrar.Span
	for _, r := range ranges {
		for i := range 4 {
			if r.Owner == incarnation(i) {
				ts[i].Closed = true
				spans = append(spans, registrar.Span{
					From: r.From,
					To:   r.To,
				})
			}
		}
	}
	p := Planner{
		Sums:    sums,
		Ranges:  ranges,
		Targets: ts,
	}
	ranges = apply(ranges, p.Assign(spans))
	covers(c, ranges)
	c.Assert(busiestShare(sums, ts, ranges) < 1.2, qt.IsTrue)
	for _, r := range ranges {
		c.Assert(r.Owner.ID >= "t04", qt.IsTrue)
	}
}
