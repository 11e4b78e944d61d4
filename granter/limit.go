package granter

import (
	"math"

	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/reporter"
)

const (
	// fullWeight is the weight of a target without a limit in the placement of slots.
	fullWeight = 100
	// limitUtilization is the share of its limit that a target with one keeps in slots, so that requests that arrive close
	// to each other need not wait.
	limitUtilization = 0.7
	// weightHysteresis is the least change of a weight below fullWeight, as a fraction of it: each change moves slots.
	weightHysteresis = 0.25
)

// recordLimit records the limit that a target stated to its dispatching host.
func (g *Granter) recordLimit(l reporter.LoadMsg) {
	t, ok := g.targets[targetKey{
		service: l.Service,
		name:    l.Target,
	}]
	if !ok || t.incarnation != l.Incarnation || !l.LimitHeard {
		return
	}
	t.limit = nil
	if l.Limited {
		t.limit = &l.Limit
	}
}

// updateWeights sets the weight of each target: that of one with a limit is lower if its part of the load would exceed the
// limit.
func (g *Granter) updateWeights(tab *table, targets []*target) {
	total := 0.0
	for _, n := range tab.loads {
		total += n
	}
	period := (tab.loadTime + g.now.Sub(tab.loadsHalvedAt)).Seconds()
	mean := total / max(1, period) / float64(max(1, len(targets)))
	for _, t := range targets {
		if t.limit == nil || mean == 0 {
			t.weight = fullWeight
			continue
		}
		share := limitUtilization * max(issuer.MinRate, *t.limit) / mean
		weight := int(max(1, min(1, share)*fullWeight))
		if math.Abs(float64(weight-t.weight)) > weightHysteresis*float64(t.weight) {
			t.weight = weight
		}
	}
}
