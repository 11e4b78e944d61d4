package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/registrar"
)

const keys = 1 << 16

// loadSums returns the cumulative load of the keys, from an evenly spread base load and the extra load of single keys.
func loadSums(base float64, extra map[int]float64) []float64 {
	sums := make([]float64, keys+1)
	for k := range keys {
		sums[k+1] = sums[k] + base/keys + extra[k]
	}
	return sums
}

func incarnation(i int) registrar.Incarnation {
	return registrar.Incarnation{
		ID: fmt.Sprintf("t%02d", i),
	}
}

// targets returns targets with the given capacities.
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

// equalCapacities returns the capacities of n equal targets.
func equalCapacities(n int) []float64 {
	all := make([]float64, n)
	for i := range all {
		all[i] = 4
	}
	return all
}

// assignAll divides all keys among the targets, as for a service whose keys never had an owner.
func assignAll(sums []float64, ts []Target) []registrar.Range {
	p := Planner{
		CumulativeLoad: sums,
		Targets:        ts,
	}
	return apply(nil, p.Assign([]registrar.Span{{
		From: 0,
		To:   keys - 1,
	}}))
}

// apply returns the ranges after grants.
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

// settle plans and carries out moves until no more are planned, and returns the ranges and the number of moves.
func settle(sums []float64, ts []Target, ranges []registrar.Range) ([]registrar.Range, int) {
	n := 0
	for range 30 {
		p := Planner{
			CumulativeLoad: sums,
			Ranges:         ranges,
			Targets:        ts,
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

// maxUtilization returns the utilization of the busiest target.
func maxUtilization(sums []float64, ts []Target, ranges []registrar.Range) float64 {
	p := Planner{
		CumulativeLoad: sums,
		Ranges:         ranges,
		Targets:        ts,
	}
	all, _, _ := p.targetStates()
	highest := 0.0
	for _, st := range all {
		highest = max(highest, st.utilization())
	}
	return highest
}

// covers checks that the ranges cover all keys without gap or overlap.
func covers(c *qt.C, ranges []registrar.Range) {
	next := 0
	for _, r := range ranges {
		c.Assert(int(r.From), qt.Equals, next)
		next = int(r.To) + 1
	}
	c.Assert(next, qt.Equals, keys)
}

// Guards against hot keys that stay on one target because they are adjacent, as the keys of one busy neighbourhood are. An
// even division of the keys leaves one target with all of them; the plan has to spread them.
func TestAdjacentHotKeysAreSpread(t *testing.T) {
	c := qt.New(t)
	hot := make(map[int]float64)
	for i := range 400 {
		hot[35500+i] = 20.0 / float64(20+i) / 4
	}
	sums := loadSums(10, hot)
	ts := targets(equalCapacities(20)...)
	ranges := assignAll(loadSums(1, nil), ts)
	before := maxUtilization(sums, ts, ranges)
	ranges, _ = settle(sums, ts, ranges)
	covers(c, ranges)
	after := maxUtilization(sums, ts, ranges)
	c.Assert(before > 2, qt.IsTrue, qt.Commentf("the even division must overload a target: %.2f", before))
	c.Assert(after < 0.6, qt.IsTrue, qt.Commentf("%.2f", after))
}

// Guards against a key that stays with a target that is too small for it: its load exceeds the capacity of its owner, so it
// belongs on the target with the most capacity, without other keys.
func TestKeyTooHotForItsOwnerMovesToTheLargestTarget(t *testing.T) {
	c := qt.New(t)
	sums := loadSums(20, map[int]float64{2154: 6})
	ts := targets(4, 2, 4, 4, 6, 4, 2, 4)
	ranges, _ := settle(sums, ts, assignAll(loadSums(1, nil), ts))
	covers(c, ranges)
	r, ok := registrar.Find(ranges, 2154)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Owner, qt.Equals, incarnation(4))
	p := Planner{
		CumulativeLoad: sums,
		Ranges:         ranges,
		Targets:        ts,
	}
	all, _, _ := p.targetStates()
	c.Assert(all[4].load < 6.5, qt.IsTrue, qt.Commentf("other keys stay with the hot one: %.2f", all[4].load))
}

// Guards against targets that join under low load and stay without keys: each has to get its share, however low the load
// is.
func TestEmptyTargetsGetTheirShare(t *testing.T) {
	c := qt.New(t)
	sums := loadSums(2, nil)
	ranges := assignAll(sums, targets(equalCapacities(8)...))
	ts := targets(equalCapacities(11)...)
	ranges, _ = settle(sums, ts, ranges)
	p := Planner{
		CumulativeLoad: sums,
		Ranges:         ranges,
		Targets:        ts,
	}
	all, total, capacity := p.targetStates()
	for _, st := range all {
		c.Check(st.utilization() > 0.4*total/capacity, qt.IsTrue, qt.Commentf("%s has %.3f", st.Incarnation.ID, st.load))
	}
}

// Guards against moves because of noise: under an even load of 15% of the capacity, the measured loads differ by chance
// because requests are few. No move must be planned.
func TestNoiseMovesNothing(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	ts := targets(equalCapacities(20)...)
	ranges := assignAll(loadSums(1, nil), ts)
	for range 50 {
		noise := make(map[int]float64)
		for range 300 {
			noise[rng.IntN(keys)] += 0.12 / 3
		}
		p := Planner{
			CumulativeLoad: loadSums(1, noise),
			Ranges:         ranges,
			Targets:        ts,
		}
		c.Assert(p.Plan(6), qt.HasLen, 0)
	}
}

// Guards against overloaded targets after half of the targets are lost: the others have to get their keys in proportion to
// their free capacity.
func TestKeysOfLostTargetsAreSpread(t *testing.T) {
	c := qt.New(t)
	sums := loadSums(16, nil)
	ranges := assignAll(sums, targets(equalCapacities(8)...))
	ts := targets(equalCapacities(8)...)
	var spans []registrar.Span
	for _, r := range ranges {
		for i := range 4 {
			if r.Owner == incarnation(i) {
				ts[i].NoNewKeys = true
				spans = append(spans, registrar.Span{
					From: r.From,
					To:   r.To,
				})
			}
		}
	}
	p := Planner{
		CumulativeLoad: sums,
		Ranges:         ranges,
		Targets:        ts,
	}
	ranges = apply(ranges, p.Assign(spans))
	covers(c, ranges)
	c.Assert(maxUtilization(sums, ts, ranges) < 1.2, qt.IsTrue)
	for _, r := range ranges {
		c.Assert(r.Owner.ID >= "t04", qt.IsTrue)
	}
}

// Guards against a target with a limit that keeps the keys whose requests it will not take, or gets more: its load falls to
// the limit although no target is busy, the other targets share the rest, and then nothing moves any more.
func TestLoadAboveTheMaximumOfATargetMovesAway(t *testing.T) {
	for name, tc := range map[string]struct {
		base    float64
		maxLoad []float64
		// want is the expected load of each target, nil to check only the limits.
		want []float64
	}{
		"calm":            {base: 4, maxLoad: []float64{0.2, 0, 0, 0}, want: []float64{0.2, 1.27, 1.27, 1.27}},
		"busy":            {base: 20, maxLoad: []float64{0.5, 0, 0, 0}, want: []float64{0.5, 6.5, 6.5, 6.5}},
		"two":             {base: 4, maxLoad: []float64{0.2, 0.6, 0, 0}, want: []float64{0.2, 0.6, 1.6, 1.6}},
		"never reached":   {base: 4, maxLoad: []float64{3, 0, 0, 0}, want: []float64{1, 1, 1, 1}},
		"almost nothing":  {base: 4, maxLoad: []float64{0.001, 0, 0, 0}, want: []float64{0, 1.33, 1.33, 1.33}},
		"too little room": {base: 8, maxLoad: []float64{1, 1, 1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sums := loadSums(tc.base, nil)
			ts := targets(equalCapacities(4)...)
			ranges := assignAll(sums, ts)
			for i, m := range tc.maxLoad {
				ts[i].MaxLoad = m
			}
			ranges, _ = settle(sums, ts, ranges)
			_, again := settle(sums, ts, ranges)
			c.Assert(again, qt.Equals, 0, qt.Commentf("%d moves after all had settled", again))
			for i, want := range tc.want {
				got := ownedLoad(sums, ranges, incarnation(i))
				c.Check(got > want-0.25 && got < want+0.25, qt.IsTrue, qt.Commentf("target %d has %.2f, not %.2f", i, got, want))
				if m := tc.maxLoad[i]; m > 0 {
					c.Check(got <= m+0.02, qt.IsTrue, qt.Commentf("target %d has %.3f of %.3f", i, got, m))
				}
			}
		})
	}
}

// Guards against a hot key that stays at a target whose limit is below what the key alone needs.
func TestHotKeyLeavesATargetWithALimit(t *testing.T) {
	c := qt.New(t)
	sums := loadSums(1, map[int]float64{100: 1})
	ts := targets(equalCapacities(4)...)
	ranges := assignAll(sums, ts)
	owner, ok := registrar.Find(ranges, 100)
	c.Assert(ok, qt.IsTrue)
	for i := range ts {
		if ts[i].Incarnation == owner.Owner {
			ts[i].MaxLoad = 0.3
		}
	}
	ranges, _ = settle(sums, ts, ranges)
	now, _ := registrar.Find(ranges, 100)
	c.Assert(now.Owner, qt.Not(qt.Equals), owner.Owner)
}

func ownedLoad(sums []float64, ranges []registrar.Range, inc registrar.Incarnation) float64 {
	load := 0.0
	for _, r := range ranges {
		if r.Owner == inc {
			load += sums[int(r.To)+1] - sums[r.From]
		}
	}
	return load
}

// Guards against a target in a ramp that stays at its first keys while load is low, and against keys that are taken from it
// for another one. Without Filling, nothing moves.
func TestFillingTargetIsFilledAtLowLoad(t *testing.T) {
	c := qt.New(t)
	sums := loadSums(4, nil)
	ts := targets(equalCapacities(6)...)
	small := targets(equalCapacities(6)...)
	small[4].Capacity, small[5].Capacity = 1.6, 1.6
	ranges := assignAll(sums, small)
	_, n := settle(sums, ts, ranges)
	c.Assert(n, qt.Equals, 0)
	ts[4].Filling, ts[5].Filling = true, true
	ts[4].Capacity = 1
	ranges, n = settle(sums, ts, ranges)
	c.Assert(n > 0 && n < 10, qt.IsTrue, qt.Commentf("%d moves", n))
	load := make(map[string]float64)
	for _, r := range ranges {
		load[r.Owner.ID] += sums[int(r.To)+1] - sums[r.From]
	}
	c.Assert(load["t04"] > 0.3, qt.IsTrue, qt.Commentf("%v", load))
	c.Assert(load["t05"] > 0.5, qt.IsTrue, qt.Commentf("%v", load))
}

// Guards against a Filling target with the most ranges allowed that is chosen again and again, so that others are not filled.
func TestFillingTargetWithMaxRangesGetsNoMore(t *testing.T) {
	c := qt.New(t)
	sums := loadSums(4, nil)
	small := targets(equalCapacities(6)...)
	small[4].Capacity, small[5].Capacity = 0.8, 1.6
	p := Planner{
		CumulativeLoad: sums,
		Targets:        targets(equalCapacities(6)...),
	}
	p.Ranges = assignAll(sums, small)
	p.Targets[4].Filling, p.Targets[5].Filling = true, true
	moves := p.Plan(1)
	c.Assert(moves, qt.HasLen, 1)
	c.Assert(moves[0].To, qt.Equals, p.Targets[4].Incarnation)
	for i, r := range p.Ranges {
		if r.Owner == p.Targets[4].Incarnation {
			rest := r
			p.Ranges[i].To, rest.From = r.From, r.From+1
			p.Ranges = append(p.Ranges, rest)
		}
	}
	p.MaxRanges = 2
	moves = p.Plan(1)
	c.Assert(moves, qt.HasLen, 1)
	c.Assert(moves[0].To, qt.Equals, p.Targets[5].Incarnation)
}
