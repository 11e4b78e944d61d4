package lessor

import (
	"slices"
	"time"

	"bramleyline.example/bramleyline/apportioner"
	"bramleyline.example/bramleyline/classifier"
	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/planner"
	"bramleyline.example/bramleyline/registrar"
)

// sharesApply reports whether the targets of a service get shares of its load: the service time is known, and the tightest
// objective is not much longer.
func (l *Lessor) sharesApply(service string) bool {
	e := l.view.Estimators[service]
	if e == nil || l.view.Objective == nil {
		return false
	}
	objective, serviceTime := l.view.Objective(service), e.MeanServiceTime()
	return objective > 0 && serviceTime > 0 && objective.Seconds() < objectiveFactor*serviceTime.Seconds()
}

// setShares sets the shares of targets for which the mean response time is least, and reports whether the service has shares.
// Until the load is measured, they are the shares for firstUtilization. A target with a pace counts as that fraction of a target
// of its speed: with a lower speed instead, it would get less than its pace, and without the pace, its share at once.
func (l *Lessor) setShares(service string, targets []planner.Target, sums []float64) bool {
	if !l.sharesApply(service) {
		return false
	}
	e := l.view.Estimators[service]
	a := apportioner.Apportioner{
		Load: sums[estimator.Keys],
	}
	var open []int
	var paces []float64
	capacity, unpaced := 0.0, 0.0
	floor := l.paceFloor(service)
	for i, t := range targets {
		if t.NoNewKeys {
			continue
		}
		reg, _ := l.view.Registry.Target(t.Incarnation.ID)
		open = append(open, i)
		pace, _ := l.pace(service, t.Incarnation, floor)
		paces = append(paces, pace)
		capacity += t.Capacity
		unpaced += t.Capacity / pace
		target := apportioner.Target{
			Slots:    max(1, reg.Slots),
			Slowness: e.SteadySlowness(t.Incarnation.ID),
			MaxLoad:  t.MaxLoad / pace,
		}
		a.Targets = append(a.Targets, target)
		targets[i].MarginalCost = target.MarginalCost
	}
	if !e.Measured(l.now) {
		a.Load = firstUtilization * capacity
	}
	if capacity > 0 {
		// At this load, targets without paces have the utilization that they have at the real load with the paces.
		a.Load *= unpaced / capacity
	}
	for i, share := range a.Shares() {
		targets[open[i]].Share = share * paces[i]
	}
	return len(open) > 0
}

// shareMoves is the number of ranges that may be moving while moves that only improve shares are planned.
func (l *Lessor) shareMoves(targets int) int {
	return max(minShareMoves, int(shareMoveFraction*float64(targets)))
}

// planShares returns at most limit moves that only improve shares, by the steady load. Targets with other planned moves
// take no part.
func (l *Lessor) planShares(p *planner.Planner, e *estimator.Estimator, planned []planner.Move, limit int) []planner.Move {
	sums, dispersion, ok := e.SteadyLoad(l.now)
	if !ok || limit <= 0 {
		return nil
	}
	involved := make(map[registrar.Incarnation]bool)
	for _, m := range planned {
		involved[m.From], involved[m.To] = true, true
	}
	steady := *p
	steady.CumulativeLoad, steady.Dispersion = sums, dispersion
	return steady.PlanShares(limit, func(inc registrar.Incarnation) bool { return involved[inc] })
}

// hotSpan is a span of neighbouring keys whose load rose above what its owner can serve.
type hotSpan struct {
	span registrar.Span
	// since is when it became hot.
	since time.Time
	// until is when its load is estimated like that of any other span again.
	until time.Time
}

// recentHotSpans returns the spans of a service that were hot within hotMemory.
func (l *Lessor) recentHotSpans(service string) []registrar.Span {
	var spans []registrar.Span
	kept := l.hotSpans[service][:0]
	for _, h := range l.hotSpans[service] {
		if l.now.Before(h.until) {
			kept = append(kept, h)
			spans = append(spans, h.span)
		}
	}
	l.hotSpans[service] = kept
	return spans
}

// wasHot reports whether a span is part of one that was hot within hotMemory.
func (l *Lessor) wasHot(key spanKey) bool {
	return slices.ContainsFunc(l.hotSpans[key.service], func(h hotSpan) bool {
		return l.now.Before(h.until) && h.span.From <= key.span.From && key.span.To <= h.span.To
	})
}

// rememberHot records that a span is hot, and returns since when. A part of a known hot span prolongs that one.
func (l *Lessor) rememberHot(service string, s registrar.Span) (since time.Time) {
	until := l.now.Add(hotMemory)
	for i, h := range l.hotSpans[service] {
		if h.span.From <= s.From && s.To <= h.span.To {
			l.hotSpans[service][i].until = until
			return h.since
		}
	}
	l.hotSpans[service] = append(l.hotSpans[service], hotSpan{
		span:  s,
		since: l.now,
		until: until,
	})
	return l.now
}

// splitHotSpans starts moves that divide hot spans among many targets, and reports whether there are any hot spans to split. No
// other moves should be planned then: they would carry single keys of these spans. Services with short requests are left out: the
// moves delay requests, and a short overload passes sooner than that pays.
func (l *Lessor) splitHotSpans(service string, ranges []registrar.Range) bool {
	e := l.view.Estimators[service]
	if e == nil || !e.Measured(l.now) || e.MeanServiceTime() < classifier.MinServiceTime || l.now.Sub(l.elected) < hotWait ||
		l.now.Before(l.hotCheckedAt[service].Add(hotInterval)) {
		return false
	}
	l.hotCheckedAt[service] = l.now
	var rising []registrar.Range
	for _, r := range ranges {
		if _, ok := e.Rising(l.now, spanOf(r)); ok && !r.Releasing && r.Owner.ID != "" {
			rising = append(rising, r)
		}
	}
	if len(rising) == 0 {
		return false
	}
	ranges = l.rangesAfterMoves(service, ranges)
	load := make(map[registrar.Incarnation]float64)
	for _, r := range ranges {
		w, _ := e.Rising(l.now, spanOf(r))
		load[r.Owner] += w
	}
	targets := l.targets(service)
	capacity := make(map[registrar.Incarnation]float64)
	for _, t := range targets {
		capacity[t.Incarnation] = t.Capacity
	}
	var hot []registrar.Range
	confirmed := false
	for _, r := range rising {
		if c := capacity[r.Owner]; c == 0 || load[r.Owner] <= c {
			continue
		}
		since := l.rememberHot(service, spanOf(r))
		confirmed = confirmed || l.now.Sub(since) >= hotConfirmation
		if !l.inCooldown(service, spanOf(r)) {
			hot = append(hot, r)
		}
	}
	if len(hot) == 0 {
		return false
	}
	if !confirmed {
		l.scanDelayed = true
		return true
	}
	m := PlanMsg{
		Service: service,
	}
	for _, r := range hot {
		w, _ := e.Rising(l.now, spanOf(r))
		m.HotLoad += w
		m.HotSpans = append(m.HotSpans, l.hotPart(e, spanOf(r)))
	}
	sums := e.CumulativeLoad(l.now, l.recentHotSpans(service)...)
	l.setShares(service, targets, sums)
	p := planner.Planner{
		CumulativeLoad: sums,
		Ranges:         ranges,
		Targets:        targets,
		MaxRanges:      max(maxHotRanges, rangesPerTarget(len(targets))),
	}
	m.Hot = l.startMoves(service, ranges, p.Split(m.HotSpans, hotMoves), p.MaxRanges, true)
	m.Moves = m.Hot
	if m.Hot > 0 {
		l.effects.Plans = append(l.effects.Plans, m)
	}
	return m.Hot > 0
}

// hotPart returns the part of a rising span that has the load: from the first to the last block of keys with at least two
// recent requests and half of the mean of a block, and one more block on each side, as the outer ones may be hot in part.
func (l *Lessor) hotPart(e *estimator.Estimator, s registrar.Span) registrar.Span {
	blocks := (float64(s.To) - float64(s.From) + 1) / hotBlock
	least := max(e.RecentRequests(l.now, s)/blocks/2, minBlockRequests)
	first, last := -1, -1
	for from := int(s.From); from <= int(s.To); from += hotBlock {
		block := registrar.Span{
			From: uint16(from),
			To:   uint16(min(from+hotBlock-1, int(s.To))),
		}
		if e.RecentRequests(l.now, block) < least {
			continue
		}
		if first < 0 {
			first = from
		}
		last = from
	}
	if first < 0 {
		return s
	}
	return registrar.Span{
		From: uint16(max(int(s.From), first-hotBlock)),
		To:   uint16(min(int(s.To), last+2*hotBlock-1)),
	}
}

// spanOf returns the keys of a range.
func spanOf(r registrar.Range) registrar.Span {
	return registrar.Span{
		From: r.From,
		To:   r.To,
	}
}
