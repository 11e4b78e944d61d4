package lessor

import (
	"slices"
	"strings"

	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/planner"
	"bramleyline.example/bramleyline/registrar"
)

// divide gives out the keys of a service that never had an owner, once its targets have announced themselves.
func (l *Lessor) divide(service string) {
	targets := l.targets(service)
	open := 0
	for _, t := range targets {
		if t.Closed {
			continue
		}
		open++
		age := l.now.Sub(l.joined[t.Incarnation])
		if reg, _ := l.view.Registry.Target(t.Incarnation.ID); age < settleTime || age < rateTime && reg.Slowness == 0 {
			return
		}
	}
	if open == 0 {
		return
	}
	p := planner.Planner{
		Sums:    l.sums(service),
		Targets: targets,
	}
	// No earlier leader has granted anything.
	l.refenced[service] = true
	l.change(registrar.Change{
		Grant: &registrar.GrantMsg{
			Service: service,
			Grants: p.Assign([]registrar.Span{{
				From: 0,
				To:   estimator.Keys - 1,
			}}),
		},
	})
}

// assign gives free ranges to new owners.
func (l *Lessor) assign(service string, ranges, free []registrar.Range) {
	if len(free) == 0 {
		return
	}
	targets := l.targets(service)
	open := make(map[registrar.Incarnation]bool)
	for _, t := range targets {
		open[t.Incarnation] = !t.Closed
	}
	var grants []registrar.Grant
	var rest []registrar.Span
	handovers := make(map[registrar.Span]string)
	for _, r := range free {
		s := registrar.Span{
			From: r.From,
			To:   r.To,
		}
		key := keyOfRange(service, r)
		handover := l.released[key]
		to, planned := l.moves[key]
		if planned && open[to] {
			grants = append(grants, registrar.Grant{
				From:     r.From,
				To:       r.To,
				Owner:    to,
				Handover: handover,
			})
			continue
		}
		handovers[s] = handover
		rest = append(rest, s)
	}
	grants = append(grants, l.spread(service, ranges, targets, rest, handovers)...)
	if len(grants) > 0 {
		l.change(registrar.Change{
			Grant: &registrar.GrantMsg{
				Service: service,
				Grants:  grants,
			},
		})
	}
}

// spread divides spans among the targets. A part of a span takes the handover of the whole.
func (l *Lessor) spread(service string, ranges []registrar.Range, targets []planner.Target, spans []registrar.Span,
	handovers map[registrar.Span]string,
) []registrar.Grant {
	if len(spans) == 0 {
		return nil
	}
	p := planner.Planner{
		Sums:    l.sums(service),
		Ranges:  l.expected(service, ranges),
		Targets: targets,
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

// plan moves keys from busy targets to idle ones.
func (l *Lessor) plan(service string, ranges []registrar.Range) {
	e := l.view.Estimators[service]
	if e == nil || !e.Settled(l.now) || l.now.Before(l.planned[service].Add(planEvery)) {
		return
	}
	l.planned[service] = l.now
	targets := l.targets(service)
	moves := max(minMoves, len(targets)/targetsPerMove)
	moving := 0
	count := make(map[registrar.Incarnation]int)
	for _, r := range ranges {
		count[r.Owner]++
		if r.Releasing {
			moving++
		}
	}
	if moving >= moves {
		return
	}
	limit := min(maxRanges, max(minRanges, allRanges/max(1, len(targets))))
	p := planner.Planner{
		Sums:    e.Sums(l.now),
		Ranges:  l.expected(service, ranges),
		Targets: targets,
		Grain:   e.Grain(),
	}
	var spans []registrar.Span
	for _, m := range p.Plan(moves - moving) {
		r, ok := registrar.Find(ranges, m.Span.From)
		if !ok || !l.holder(r.Owner).clean(l.now, r.Fence, m.Span) || count[m.To] >= limit || l.rests(service, m.Span) {
			continue
		}
		count[m.To]++
		l.moves[spanKey{
			service: service,
			span:    m.Span,
			fence:   r.Fence,
		}] = m.To
		l.moved[service] = append(l.moved[service], movedSpan{
			span: m.Span,
			at:   l.now,
		})
		spans = append(spans, m.Span)
	}
	l.startRelease(service, spans)
}

// rests reports whether a span holds keys that moved so lately that the effect cannot be seen yet. A single key that is
// too busy for any target would otherwise go round.
func (l *Lessor) rests(service string, s registrar.Span) bool {
	l.moved[service] = slices.DeleteFunc(l.moved[service], func(m movedSpan) bool {
		rest := restTime
		if m.span.From == m.span.To {
			rest = hotRestTime
		}
		return l.now.Sub(m.at) >= rest
	})
	return slices.ContainsFunc(l.moved[service], func(m movedSpan) bool { return m.span.From <= s.To && s.From <= m.span.To })
}

// expected returns the ranges with those that are on their way given to their next owners.
func (l *Lessor) expected(service string, ranges []registrar.Range) []registrar.Range {
	out := slices.Clone(ranges)
	for i, r := range out {
		if to, ok := l.moves[keyOfRange(service, r)]; ok && r.Releasing {
			out[i].Owner = to
		}
	}
	return out
}

func (l *Lessor) sums(service string) []float64 {
	if e := l.view.Estimators[service]; e != nil {
		return e.Sums(l.now)
	}
	var idle estimator.Estimator
	return idle.Sums(l.now)
}

func sortTargets(all []planner.Target) {
	slices.SortFunc(all, func(a, b planner.Target) int { return strings.Compare(a.Incarnation.ID, b.Incarnation.ID) })
}
