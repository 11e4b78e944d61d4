package planner

import (
	"math"

	"bramleyline.example/bramleyline/registrar"
)

const (
	// shareImbalance is what imbalanceFactor is, and shareDeviations what noiseDeviations is, for moves that only improve
	// shares. They may be lower as these moves are bounded in number and use loads that are averaged for longer.
	shareImbalance  = 1.2
	shareDeviations = 2.7
	// shareError is the standard deviation of a share, as a fraction, because the measured slowness varies by chance.
	shareError = 0.09
	// minShareMove is the least load of such a move, as a fraction of the mean load of a target.
	minShareMove = 0.1
	// minCostRatio is the least ratio of the marginal costs of source and destination of such a move. At low load, the wait
	// hardly matters and shares change much with the measured slowness, while the mean response time does not.
	minCostRatio = 1.3
	// splitFraction is the least part of its share that a target gets of a span that is split, however busy it is: single
	// keys for each of all targets would make too many ranges.
	splitFraction = 0.25
)

// totalShare returns the sum of the shares of the targets that may get keys.
func (p *Planner) totalShare() float64 {
	sum := 0.0
	for _, t := range p.Targets {
		if !t.NoNewKeys {
			sum += t.Share
		}
	}
	return sum
}

// PlanShares returns at most limit moves from targets above their share to targets below it, whether or not any target is
// busy. One of the two must be so far from its share that this is not by chance. Targets for which except returns true
// take no part. Without shares it returns nothing.
func (p *Planner) PlanShares(limit int, except func(registrar.Incarnation) bool) []Move {
	if p.totalShare() <= 0 {
		return nil
	}
	all, total, capacity := p.targetStates()
	mean := total / capacity
	open := 0
	for _, st := range all {
		if !st.NoNewKeys {
			open++
		}
		if except(st.Incarnation) {
			st.exhausted, st.NoNewKeys = true, true
		}
	}
	least := minShareMove * total / float64(open)
	var moves []Move
	for len(moves) < limit {
		source, dest := p.furthestAbove(all, mean, least), p.furthestBelow(all, mean, least)
		if source == nil || dest == nil || !p.aboveShare(source, mean) && !p.belowShare(dest, mean) {
			break
		}
		want := min(source.load-mean*source.Capacity, mean*dest.Capacity-dest.load)
		i, part, ok := p.bestCut(source, want)
		if !ok || !cheaper(source, dest) || p.spanLoad(part) < least/2 {
			source.exhausted = true
			continue
		}
		moves = append(moves, Move{
			Span: part,
			From: source.Incarnation,
			To:   dest.Incarnation,
		})
		carried := p.spanLoad(part)
		source.load -= carried
		source.spans = without(source.spans, i, part)
		dest.load += carried
		dest.ranges++
	}
	return moves
}

// shareDeviation is the standard deviation of the difference between the load and the share of a target with such a share.
func (p *Planner) shareDeviation(wanted float64) float64 {
	return math.Sqrt(wanted*p.Dispersion + shareError*shareError*wanted*wanted)
}

// aboveShare reports whether the load of a target is too high, unless by chance.
func (p *Planner) aboveShare(st *targetState, mean float64) bool {
	wanted := mean * st.Capacity
	return st.load-shareDeviations*p.shareDeviation(wanted) > shareImbalance*wanted
}

// belowShare reports whether the load of a target is too low, unless by chance.
func (p *Planner) belowShare(st *targetState, mean float64) bool {
	wanted := mean * st.Capacity
	return st.load+shareDeviations*p.shareDeviation(wanted) < wanted/shareImbalance
}

// cheaper reports whether further load costs significantly less at dest than at source.
func cheaper(source, dest *targetState) bool {
	if source.MarginalCost == nil || dest.MarginalCost == nil {
		return true
	}
	return source.MarginalCost(source.load) > minCostRatio*dest.MarginalCost(dest.load)
}

// furthestAbove returns the target whose load is least likely to be above its share by chance, of those from which a move of
// at least the given load can still be planned.
func (p *Planner) furthestAbove(all []*targetState, mean, least float64) *targetState {
	var best *targetState
	highest := 0.0
	for _, st := range all {
		wanted := mean * st.Capacity
		if excess := st.load - wanted; !st.exhausted && len(st.spans) > 0 && excess >= least && excess/math.Sqrt(wanted) > highest {
			best, highest = st, excess/math.Sqrt(wanted)
		}
	}
	return best
}

// furthestBelow returns the target whose load is least likely to be below its share by chance, of those to which a move of at
// least the given load can be planned.
func (p *Planner) furthestBelow(all []*targetState, mean, least float64) *targetState {
	var best *targetState
	highest := 0.0
	for _, st := range all {
		wanted := mean * st.Capacity
		if st.NoNewKeys || p.MaxRanges > 0 && st.ranges >= p.MaxRanges {
			continue
		}
		if deficit := wanted - st.load; deficit >= least && deficit/math.Sqrt(wanted) > highest {
			best, highest = st, deficit/math.Sqrt(wanted)
		}
	}
	return best
}

// partLoad is the load that idlest adds to each target. With shares it is a typical part, as a target with a small share would
// otherwise get a small part. Without shares it is zero.
func (p *Planner) partLoad(total float64) float64 {
	if p.totalShare() <= 0 {
		return 0
	}
	return minAssignFraction * total / float64(len(p.Targets))
}

// Split returns at most limit moves that divide spans, each of which has one owner, among the other targets. Each target gets
// load up to its share, and at least splitFraction of it. A span whose load is that of a single key is left to Plan.
func (p *Planner) Split(spans []registrar.Span, limit int) []Move {
	all, total, capacity := p.targetStates()
	if capacity == 0 {
		return nil
	}
	mean := total / capacity
	var moves []Move
	for _, s := range spans {
		source := p.ownerOf(all, s)
		if _, load := p.hottestKey([]registrar.Span{s}); source == nil || load >= hotKeyShare*p.spanLoad(s) {
			continue
		}
		for more := true; more; {
			dest := p.idlest(all, p.partLoad(total), source)
			if dest == nil || len(moves) == limit {
				return moves
			}
			want := max((mean-dest.utilization())*dest.Capacity, splitFraction*mean*dest.Capacity)
			var part registrar.Span
			part, s, more = p.cutPrefix(s, want)
			carried := p.spanLoad(part)
			source.load -= carried
			dest.load += carried
			dest.ranges++
			moves = append(moves, Move{
				Span: part,
				From: source.Incarnation,
				To:   dest.Incarnation,
			})
		}
	}
	return moves
}

// ownerOf returns the target that holds all of s and is not releasing it, nil if there is none.
func (p *Planner) ownerOf(all []*targetState, s registrar.Span) *targetState {
	for _, st := range all {
		for _, own := range st.spans {
			if own.From <= s.From && s.To <= own.To {
				return st
			}
		}
	}
	return nil
}
