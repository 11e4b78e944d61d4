// Package planner computes the placement of key ranges on targets: it divides unowned keys by capacity, and rebalances the
// load by moving parts of ranges from busy targets to idle ones. Its functions are pure: they do not change their input.
package planner

import (
	"math"
	"sort"

	"bramleyline.example/bramleyline/registrar"
)

const (
	// busyUtilization is the utilization above which keys are moved away from a target: below it a request is rarely
	// queued, however uneven the load is.
	busyUtilization = 0.45
	// imbalanceFactor is the factor over the mean utilization above which a target counts as busier than the others.
	imbalanceFactor = 1.25
	// noiseDeviations is the number of standard deviations by which a measured load may be too high by chance.
	noiseDeviations = 3
	// minUtilizationGap is the least difference in utilization between the source and the destination of a move. It is a
	// hysteresis: without it, moves would go back and forth.
	minUtilizationGap = 0.15
	// minMoveFraction is the least fraction of the wanted load that a move must carry to be worth its cost. For
	// a move of the hottest key it is the least fraction of the capacity of the source.
	minMoveFraction = 0.05
	// minAssignFraction is the least fraction of its fair share that a target gets of unowned keys, however busy it is.
	minAssignFraction = 0.25
	// hotKeyShare is the least share of its owner's load at which a key counts as the reason why the owner is busy.
	hotKeyShare = 0.6
	// minCapacityGain is the least ratio of the capacities of two targets for which a hot key moves to the larger one.
	minCapacityGain = 1.15
	// maxMoveFraction bounds the load of a move or an assignment, as a fraction of the wanted load.
	maxMoveFraction = 1.3
	// minCapacity is the least capacity of a target with a MaxLoad, so that its utilization stays finite.
	minCapacity = 1e-6
	// overloadDeviations is what noiseDeviations is, for the load of a target with a MaxLoad.
	overloadDeviations = 1
	// fillUtilization is the fraction of the mean utilization below which a Filling target gets keys, unless it looks so idle
	// by chance. The steps of its capacity differ by a factor of two.
	fillUtilization = 0.7
	// minOverloadMove is the least load, as a fraction of the capacity of the destination, that is moved away from a target
	// above its MaxLoad at once, however busy the other targets are.
	minOverloadMove = 0.05
)

// Target is a target that can own keys.
type Target struct {
	Incarnation registrar.Incarnation
	// Capacity is the number of request slots divided by the target's slowness.
	Capacity float64
	// MaxLoad is the greatest load that the target may get, in busy slots; zero means that only Capacity bounds it. What it
	// has above that is moved away even if no target is busy.
	MaxLoad float64
	// Filling says that Capacity rises in steps, because the target joined or recovered. It gets keys up to its part of the
	// load however low that is, and only gives keys to others if it is too busy.
	Filling bool
	// Share is the load that the target should have, in any unit. If it is zero for all targets, each should have the same
	// utilization. Targets without a share beside others with one should have the mean utilization.
	Share float64
	// MarginalCost returns the cost of further load at a given load, for comparison with other targets. It may be nil. Moves
	// that only improve shares are planned only if they lower the cost significantly.
	MarginalCost func(load float64) float64
	// NoNewKeys says that keys may be moved away from the target but none are assigned or moved to it.
	NoNewKeys bool
}

// Move moves a part of the keys of one target to another.
type Move struct {
	Span registrar.Span
	From registrar.Incarnation
	To   registrar.Incarnation
}

// Planner plans the placement of the keys of one service.
type Planner struct {
	// CumulativeLoad is the cumulative load of the keys in busy slots: the load of keys a to b is
	// CumulativeLoad[b+1]-CumulativeLoad[a].
	CumulativeLoad []float64
	// Ranges lists all ranges, Targets the targets that may own them.
	Ranges  []registrar.Range
	Targets []Target
	// Dispersion is the index of dispersion of measured loads, that is their variance divided by their mean. Zero means
	// that loads are exact.
	Dispersion float64
	// MaxRanges bounds the ranges of a target to which keys are moved; zero means no bound.
	MaxRanges int
}

// targetState is a target with the spans that it owns and their load, as of the moves planned so far.
type targetState struct {
	// Target has in Capacity the load that the target should have, up to a factor that is the same for all targets.
	Target
	// served is the load that the target can serve.
	served float64
	load   float64
	spans  []registrar.Span
	// ranges is the number of ranges, those that are being released included.
	ranges int
	// exhausted says that no further move away from the target is to be planned.
	exhausted bool
}

// busy reports whether requests at the target are often queued.
func (st *targetState) busy() bool {
	return st.load/st.served > busyUtilization
}

// utilization is the load as a fraction of the capacity.
func (st *targetState) utilization() float64 {
	return st.load / st.Capacity
}

// utilizationLowerBound is the utilization that a target has at least, unless its measured load is too high by more than
// noiseDeviations standard deviations.
func (p *Planner) utilizationLowerBound(st *targetState) float64 {
	if st.Share > 0 {
		return (st.load - noiseDeviations*p.shareDeviation(st.load)) / st.Capacity
	}
	return (st.load - noiseDeviations*math.Sqrt(st.load*p.Dispersion)) / st.Capacity
}

// spanLoad returns the load of the keys of a span.
func (p *Planner) spanLoad(s registrar.Span) float64 {
	return p.CumulativeLoad[int(s.To)+1] - p.CumulativeLoad[s.From]
}

// targetStates returns the targets with what they own, the load of all ranges, and the capacity of the targets that may get
// keys.
func (p *Planner) targetStates() (all []*targetState, total, capacity float64) {
	byIncarnation := make(map[registrar.Incarnation]*targetState)
	for _, t := range p.Targets {
		st := &targetState{
			Target: t,
			served: t.Capacity,
		}
		all = append(all, st)
		byIncarnation[t.Incarnation] = st
		if !t.NoNewKeys {
			capacity += t.Capacity
		}
	}
	if shares := p.totalShare(); shares > 0 {
		factor := shares / capacity
		capacity = 0
		for _, st := range all {
			st.Capacity = st.served * factor
			if st.Share > 0 {
				st.Capacity = st.Share
			}
			if !st.NoNewKeys {
				capacity += st.Capacity
			}
		}
	}
	for _, r := range p.Ranges {
		s := registrar.Span{
			From: r.From,
			To:   r.To,
		}
		total += p.spanLoad(s)
		st, ok := byIncarnation[r.Owner]
		if !ok {
			continue
		}
		st.load += p.spanLoad(s)
		st.ranges++
		if !r.Releasing {
			st.spans = append(st.spans, s)
		}
	}
	capacity = boundCapacity(all, total, capacity)
	if p.totalShare() <= 0 {
		for _, st := range all {
			st.served = st.Capacity
		}
	}
	return all, total, capacity
}

// boundCapacity lowers the capacity of each target whose part of the total load would be above its MaxLoad, so that its
// part becomes just that, and returns the capacity of all targets that may get keys. What a target does not get raises the
// parts of the others, which may put another one above its MaxLoad.
func boundCapacity(all []*targetState, total, capacity float64) float64 {
	bounded := make(map[*targetState]bool)
	free, load := capacity, total
	for changed := true; changed && free > 0 && load > 0; {
		changed = false
		for _, st := range all {
			if st.MaxLoad > 0 && !st.NoNewKeys && !bounded[st] && st.Capacity*load/free > st.MaxLoad {
				bounded[st], changed = true, true
				free -= st.Capacity
				load -= st.MaxLoad
			}
		}
	}
	if free <= 0 || load <= 0 {
		// All targets together may not get the load, so each gets in proportion to what it may.
		free, load = 1, 1
	}
	capacity = 0
	for _, st := range all {
		if bounded[st] {
			st.Capacity = max(minCapacity, st.MaxLoad*free/load)
		}
		if !st.NoNewKeys {
			capacity += st.Capacity
		}
	}
	return capacity
}

// overloaded reports whether a target has more than its MaxLoad, unless its measured load is too high by chance.
func (p *Planner) overloaded(st *targetState) bool {
	return st.MaxLoad > 0 && st.load-overloadDeviations*math.Sqrt(st.load*p.Dispersion) > st.MaxLoad
}

// Assign divides unowned spans among the targets, so that each is loaded in proportion to its capacity as far as possible.
// It returns nothing if no target may get keys.
func (p *Planner) Assign(spans []registrar.Span) []registrar.Grant {
	all, total, capacity := p.targetStates()
	if capacity == 0 {
		return nil
	}
	for _, s := range spans {
		if len(registrar.Cut(p.Ranges, s)) == 0 {
			total += p.spanLoad(s)
		}
	}
	mean := total / capacity
	var grants []registrar.Grant
	for _, s := range spans {
		for done := false; !done; {
			st := p.idlest(all, p.partLoad(total), nil)
			want := max((mean-st.utilization())*st.Capacity, minAssignFraction*mean*st.Capacity)
			part, rest, more := p.cutPrefix(s, want)
			st.load += p.spanLoad(part)
			grants = append(grants, registrar.Grant{
				From:  part.From,
				To:    part.To,
				Owner: st.Incarnation,
			})
			s, done = rest, !more
		}
	}
	return grants
}

// cutPrefix cuts a part of about the wanted load off the start of s. The part has at least one key. It is all of s if
// little would be left.
func (p *Planner) cutPrefix(s registrar.Span, want float64) (part, rest registrar.Span, more bool) {
	if p.spanLoad(s) <= want*maxMoveFraction {
		return s, registrar.Span{}, false
	}
	n := sort.Search(int(s.To)-int(s.From), func(i int) bool {
		return p.CumulativeLoad[int(s.From)+i+1]-p.CumulativeLoad[s.From] >= want
	})
	end := s.From + uint16(n)
	if end >= s.To {
		return s, registrar.Span{}, false
	}
	part = registrar.Span{
		From: s.From,
		To:   end,
	}
	rest = registrar.Span{
		From: end + 1,
		To:   s.To,
	}
	return part, rest, true
}

// idlest returns the open target whose utilization with extra load added is the lowest. It ignores except, which may be
// nil, and targets with MaxRanges.
func (p *Planner) idlest(all []*targetState, extra float64, except *targetState) *targetState {
	var best *targetState
	for _, st := range all {
		if st.NoNewKeys || st == except || p.MaxRanges > 0 && st.ranges >= p.MaxRanges {
			continue
		}
		if best == nil || (st.load+extra)/st.Capacity < (best.load+extra)/best.Capacity {
			best = st
		}
	}
	return best
}

// busiest returns the target with the highest utilization that a move away can still be planned for, closed ones included.
// Targets above their MaxLoad go first, then busy ones.
func (p *Planner) busiest(all []*targetState) *targetState {
	var best *targetState
	for _, st := range all {
		if st.exhausted || len(st.spans) == 0 {
			continue
		}
		switch {
		case best == nil, p.overloaded(st) && !p.overloaded(best):
			best = st
		case p.overloaded(st) != p.overloaded(best):
		case st.busy() != best.busy():
			if st.busy() {
				best = st
			}
		case st.utilization() > best.utilization():
			best = st
		}
	}
	return best
}

// Plan returns at most limit moves that balance the load. A target without any keys gets its share of them however low the
// load is.
func (p *Planner) Plan(limit int) []Move {
	all, total, capacity := p.targetStates()
	if capacity == 0 {
		return nil
	}
	mean := total / capacity
	gap := minUtilizationGap
	if p.totalShare() > 0 {
		// Here the utilization is relative to the share.
		gap = minUtilizationGap / busyUtilization * mean
	}
	var moves []Move
	for len(moves) < limit {
		source, dest := p.busiest(all), p.idlest(all, p.partLoad(total), nil)
		if source == nil || dest == nil || source == dest {
			break
		}
		empty := len(dest.spans) == 0 && dest.load == 0
		uneven := source.busy() && p.utilizationLowerBound(source) > imbalanceFactor*mean &&
			source.utilization()-dest.utilization() > gap
		overloaded := p.overloaded(source)
		if !uneven && !overloaded {
			if filling := p.filling(all, mean); !empty && filling != nil {
				dest, empty = filling, true
			}
			if !empty || source == dest {
				break
			}
			if source.Filling {
				// Its own keys have just been moved to it, or will be.
				source.exhausted = true
				continue
			}
		}
		want := min((source.utilization()-mean)*source.Capacity, (mean-dest.utilization())*dest.Capacity)
		if overloaded {
			want = min(source.load-source.MaxLoad, max((mean-dest.utilization())*dest.Capacity, minOverloadMove*dest.Capacity))
		} else if empty {
			want = min((mean-dest.utilization())*dest.Capacity, source.load/2)
		}
		i, part, ok := p.bestCut(source, want)
		if !ok && (uneven || overloaded) {
			i, part, dest, ok = p.hottestKeyToIdlest(source, all, gap)
		}
		if !ok {
			source.exhausted = true
			if m, ok := p.hottestKeyToLargest(source, all); ok && (uneven || overloaded) {
				moves = append(moves, m)
			}
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
		// The part is not added to the spans of dest, so it cannot move again at once. Its load is added, so dest no longer
		// counts as empty.
	}
	return moves
}

// filling returns the Filling target that is the furthest below its part of the load, nil if none is clearly below it.
func (p *Planner) filling(all []*targetState, mean float64) *targetState {
	var best *targetState
	for _, st := range all {
		if !st.Filling || st.NoNewKeys || p.MaxRanges > 0 && st.ranges >= p.MaxRanges ||
			st.load+math.Sqrt(st.load*p.Dispersion) >= fillUtilization*mean*st.Capacity {
			continue
		}
		if best == nil || st.utilization() < best.utilization() {
			best = st
		}
	}
	return best
}

// bestCut returns the part at an end of one of the spans of source whose load is closest to the wanted load. It may be a
// whole span if source has others.
func (p *Planner) bestCut(source *targetState, want float64) (index int, part registrar.Span, ok bool) {
	best := 0.0
	for i, s := range source.spans {
		whole := len(source.spans) > 1
		for _, span := range p.endParts(s, want, whole) {
			carried := p.spanLoad(span)
			if carried > want*maxMoveFraction || carried < want*minMoveFraction {
				continue
			}
			if !ok || distance(carried, want) < distance(best, want) {
				index, part, best, ok = i, span, carried, true
			}
		}
	}
	return index, part, ok
}

// distance returns the absolute difference.
func distance(a, b float64) float64 {
	return max(a-b, b-a)
}

// endParts returns the longest parts at both ends of s that do not exceed the wanted load, and s itself if whole is true.
func (p *Planner) endParts(s registrar.Span, want float64, whole bool) []registrar.Span {
	var parts []registrar.Span
	if whole {
		parts = append(parts, s)
	}
	n := int(s.To) - int(s.From)
	if n == 0 {
		return parts
	}
	// The first k keys, k from 1 to n.
	k := sort.Search(n, func(i int) bool { return p.CumulativeLoad[int(s.From)+i+1]-p.CumulativeLoad[s.From] > want })
	if k > 0 {
		parts = append(parts, registrar.Span{
			From: s.From,
			To:   s.From + uint16(k-1),
		})
	}
	k = sort.Search(n, func(i int) bool { return p.CumulativeLoad[int(s.To)+1]-p.CumulativeLoad[int(s.To)-i] > want })
	if k > 0 {
		parts = append(parts, registrar.Span{
			From: s.To - uint16(k-1),
			To:   s.To,
		})
	}
	return parts
}

// without returns spans with part cut out of the span at index i.
func without(spans []registrar.Span, i int, part registrar.Span) []registrar.Span {
	s := spans[i]
	next := append([]registrar.Span(nil), spans[:i]...)
	if s.From < part.From {
		next = append(next, registrar.Span{
			From: s.From,
			To:   part.From - 1,
		})
	}
	if part.To < s.To {
		next = append(next, registrar.Span{
			From: part.To + 1,
			To:   s.To,
		})
	}
	return append(next, spans[i+1:]...)
}
