package lessor

import (
	"slices"
	"strings"

	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/planner"
	"bramleyline.example/bramleyline/registrar"
)

// assignAll divides the keys of a service that never had an owner among its targets, once they have announced themselves
// and are rated.
func (l *Lessor) assignAll(service string) {
	targets := l.targets(service)
	open := 0
	for _, t := range targets {
		if t.NoNewKeys {
			continue
		}
		open++
		age := l.now.Sub(l.joinedAt[t.Incarnation])
		if reg, _ := l.view.Registry.Target(t.Incarnation.ID); age < joinWait || age < ratingWait && reg.Slowness == 0 {
			return
		}
	}
	if open == 0 {
		return
	}
	sums := l.loadSums(service)
	l.setShares(service, targets, sums)
	p := planner.Planner{
		CumulativeLoad: sums,
		Targets:        targets,
	}
	// No earlier leader has granted any range of this service.
	l.refenced[service] = true
	l.propose(registrar.Change{
		Grant: &registrar.GrantMsg{
			Service: service,
			Grants: p.Assign([]registrar.Span{{
				From: 0,
				To:   estimator.Keys - 1,
			}}),
		},
	})
}

// assignFree assigns free ranges to new owners: the planned one if there is one and it may own keys.
func (l *Lessor) assignFree(service string, ranges, free []registrar.Range) {
	if len(free) == 0 {
		return
	}
	targets := l.targets(service)
	assignable := make(map[registrar.Incarnation]bool)
	for _, t := range targets {
		assignable[t.Incarnation] = !t.NoNewKeys
	}
	var grants []registrar.Grant
	var unplanned []registrar.Span
	handovers := make(map[registrar.Span]string)
	for _, r := range free {
		s := registrar.Span{
			From: r.From,
			To:   r.To,
		}
		key := keyOfRange(service, r)
		handover := l.released[key]
		to, planned := l.nextOwners[key]
		if planned && assignable[to] {
			grants = append(grants, registrar.Grant{
				From:     r.From,
				To:       r.To,
				Owner:    to,
				Handover: handover,
			})
			continue
		}
		handovers[s] = handover
		unplanned = append(unplanned, s)
	}
	grants = append(grants, l.assignSpans(service, ranges, targets, unplanned, handovers)...)
	if len(grants) > 0 {
		l.propose(registrar.Change{
			Grant: &registrar.GrantMsg{
				Service: service,
				Grants:  grants,
			},
		})
	}
}

// assignSpans divides spans among the targets. Each part of a span gets the hand-over of the whole span.
func (l *Lessor) assignSpans(service string, ranges []registrar.Range, targets []planner.Target, spans []registrar.Span,
	handovers map[registrar.Span]string,
) []registrar.Grant {
	if len(spans) == 0 {
		return nil
	}
	sums := l.loadSums(service)
	l.setShares(service, targets, sums)
	p := planner.Planner{
		CumulativeLoad: sums,
		Ranges:         l.rangesAfterMoves(service, ranges),
		Targets:        targets,
	}
	grants := p.Assign(spans)
	for i := range grants {
		for s, handover := range handovers {
			if grants[i].From >= s.From && grants[i].To <= s.To {
				grants[i].Handover = handover
			}
		}
	}
	return grants
}

// planMoves starts moves of keys from busy targets to idle ones.
func (l *Lessor) planMoves(service string, ranges []registrar.Range) {
	e := l.view.Estimators[service]
	if e == nil || !e.Measured(l.now) || l.now.Before(l.plannedAt[service].Add(planInterval)) {
		return
	}
	l.plannedAt[service] = l.now
	targets := l.targets(service)
	moves := max(minConcurrentMoves, len(targets)/targetsPerMove)
	moving := 0
	for _, r := range ranges {
		if r.Releasing {
			moving++
		}
	}
	if moving >= moves {
		return
	}
	sums := e.CumulativeLoad(l.now, l.recentHotSpans(service)...)
	shares := l.setShares(service, targets, sums)
	p := planner.Planner{
		CumulativeLoad: sums,
		Ranges:         l.rangesAfterMoves(service, ranges),
		Targets:        targets,
		Dispersion:     e.Dispersion(),
	}
	if shares {
		p.MaxRanges = rangesPerTarget(len(targets))
	}
	planned := p.Plan(moves - moving)
	limit := rangesPerTarget(len(targets))
	m := PlanMsg{
		Service: service,
		Moves:   l.startMoves(service, ranges, planned, limit, false),
	}
	if shares {
		forShares := l.planShares(&p, e, planned, l.shareMoves(len(targets))-moving-len(planned))
		m.Share = l.startMoves(service, ranges, forShares, limit, false)
		m.Moves += m.Share
	}
	if m.Moves > 0 {
		l.effects.Plans = append(l.effects.Plans, m)
	}
}

// rangesPerTarget is the bound of the ranges of one target for planned moves in a service with so many targets.
func rangesPerTarget(targets int) int {
	return min(maxRangesPerTarget, max(minRangesPerTarget, maxRangesPerService/max(1, targets)))
}

// startMoves begins those of the moves that can begin now, and returns their number.
func (l *Lessor) startMoves(service string, ranges []registrar.Range, moves []planner.Move, limit int, hot bool) int {
	count := make(map[registrar.Incarnation]int)
	for _, r := range ranges {
		count[r.Owner]++
	}
	var spans []registrar.Span
	for _, m := range moves {
		r, ok := registrar.Find(ranges, m.Span.From)
		if !ok || !l.holder(r.Owner).releaseIsFinal(l.now, r.Fence, m.Span) || count[m.To] >= limit || l.inCooldown(service, m.Span) {
			continue
		}
		count[m.To]++
		key := spanKey{
			service: service,
			span:    m.Span,
			fence:   r.Fence,
		}
		l.nextOwners[key] = m.To
		if hot {
			l.hotReleases[key] = true
		}
		l.recentMoves[service] = append(l.recentMoves[service], movedSpan{
			span:    m.Span,
			movedAt: l.now,
		})
		spans = append(spans, m.Span)
	}
	l.releaseSpans(service, spans)
	l.movesProposed = l.movesProposed || len(spans) > 0 && (hot || l.sharesApply(service))
	return len(spans)
}

// inCooldown reports whether a span has keys that moved so recently that the effect on the load is not measured yet.
// Without the cooldown, a single key that is too hot for any target would move from target to target without end.
func (l *Lessor) inCooldown(service string, s registrar.Span) bool {
	l.recentMoves[service] = slices.DeleteFunc(l.recentMoves[service], func(m movedSpan) bool {
		cooldown := moveCooldown
		if m.span.From == m.span.To {
			cooldown = hotKeyCooldown
		}
		return l.now.Sub(m.movedAt) >= cooldown
	})
	return slices.ContainsFunc(l.recentMoves[service], func(m movedSpan) bool { return m.span.From <= s.To && s.From <= m.span.To })
}

// rangesAfterMoves returns the ranges as they are after the moves in progress: those that are being released belong to
// their planned owners.
func (l *Lessor) rangesAfterMoves(service string, ranges []registrar.Range) []registrar.Range {
	out := slices.Clone(ranges)
	for i, r := range out {
		if to, ok := l.nextOwners[keyOfRange(service, r)]; ok && r.Releasing {
			out[i].Owner = to
		}
	}
	return out
}

// loadSums returns the cumulative load of the keys of a service, see planner.Planner.CumulativeLoad.
func (l *Lessor) loadSums(service string) []float64 {
	if e := l.view.Estimators[service]; e != nil {
		return e.CumulativeLoad(l.now)
	}
	var idle estimator.Estimator
	return idle.CumulativeLoad(l.now)
}

func sortTargets(all []planner.Target) {
	slices.SortFunc(all, func(a, b planner.Target) int { return strings.Compare(a.Incarnation.ID, b.Incarnation.ID) })
}
