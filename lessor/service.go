package lessor

import "bramleyline.example/bramleyline/registrar"

// tickService decides for all ranges of one service.
func (l *Lessor) tickService(service string) {
	if !l.due(service) {
		return
	}
	ranges := l.view.Registry.RangeList(service)
	if len(ranges) == 0 {
		if !l.view.Pending {
			l.divide(service)
		}
		return
	}
	if !l.refenced[service] && !l.view.Pending {
		l.refenced[service] = true
		if l.refence(service, ranges) {
			return
		}
	}
	var free, leaving []registrar.Range
	for _, r := range ranges {
		switch l.judge(service, r) {
		case isFree:
			free = append(free, r)
		case isLeaving:
			leaving = append(leaving, r)
		}
	}
	if l.view.Pending {
		return
	}
	l.assign(service, ranges, free)
	l.release(service, leaving)
	if len(free) == 0 && len(leaving) == 0 {
		l.plan(service, ranges)
	}
}

// due reports whether the ranges of a service have to be looked at: something about them has changed, or it is time for
// renewals.
func (l *Lessor) due(service string) bool {
	sc, ranges := l.scans[service], l.view.Registry.Ranges(service)
	passed := l.now.Sub(sc.at)
	news := l.stirred || !sc.ranges.Same(ranges) || !sc.targets.Same(l.view.Registry.Pool(service))
	if passed < minScan && news {
		l.delayed = true
		return false
	}
	if passed < maxScan && !news {
		return false
	}
	l.scans[service] = scan{
		at:      l.now,
		ranges:  ranges,
		targets: l.view.Registry.Pool(service),
	}
	return true
}

// refence gives all ranges to their owners anew. A call of the leader before that is still on its way then has a lower
// fence than what the owner has seen, so it can do nothing any more.
func (l *Lessor) refence(service string, ranges []registrar.Range) bool {
	owned := false
	for _, r := range ranges {
		if r.Owner.ID == "" {
			continue
		}
		// What an earlier leader granted may be valid for one more hold.
		h := l.holder(r.Owner)
		h.until = later(h.until, l.lapse(l.elected))
		h.doubt[earlierFence] = h.until
		h.dialed = later(h.dialed, l.elected)
		owned = owned || l.view.Registry.Alive(r.Owner)
	}
	if owned {
		l.change(registrar.Change{
			Refence: &registrar.RefenceMsg{
				Service: service,
			},
		})
	}
	return owned
}

type verdict int

const (
	isHeld verdict = iota
	isFree
	isLeaving
)

// judge decides what becomes of one range, and makes the calls that its owner needs.
func (l *Lessor) judge(service string, r registrar.Range) verdict {
	if r.Owner.ID == "" {
		return isFree
	}
	h := l.holder(r.Owner)
	key := keyOfRange(service, r)
	if !l.view.Registry.Alive(r.Owner) {
		return l.judgeEnded(h, r, key)
	}
	t, _ := l.view.Registry.Target(r.Owner.ID)
	if r.Releasing {
		return l.judgeReleasing(h, t, r, key)
	}
	if h.failures >= deadAfter && h.lapsed(l.now) {
		return isFree
	}
	leaving := l.leaving(t)
	if leaving && h.clean(l.now, r.Fence, key.span) {
		return isLeaving
	}
	doubtful := l.now.Before(h.doubt[r.Fence])
	if leaving && doubtful && h.failures == 0 || h.fenced[r.Fence] {
		l.raise(service, r)
		return isHeld
	}
	if hold := l.holdFor(h); hold >= minHold && !l.now.Before(h.grants[key]) {
		l.call(h, t, key, &GrantCall{
			Hold:     hold,
			Handover: r.Handover,
		})
	}
	return isHeld
}

// judgeEnded decides on a range whose owner's process has ended. Its next incarnation under the same ID may have taken
// a grant that was meant for the one before, so it has to give that up first.
func (l *Lessor) judgeEnded(h *holder, r registrar.Range, key spanKey) verdict {
	next, ok := l.view.Registry.Target(r.Owner.ID)
	if !ok || h.lapsed(l.now) || !h.granting && l.joined[next.Incarnation].Sub(h.dialed) >= announceTime {
		return isFree
	}
	if _, released := l.released[key]; released && !h.granting && !h.doubtful(l.now) {
		return isFree
	}
	l.call(l.holder(next.Incarnation), next, key, nil)
	return isHeld
}

func (l *Lessor) judgeReleasing(h *holder, t registrar.Target, r registrar.Range, key spanKey) verdict {
	clean := h.clean(l.now, key.fence, key.span)
	_, released := l.released[key]
	switch {
	case released && clean, h.lapsed(l.now):
		return isFree
	case !clean && h.failures == 0 && !h.changing(key):
		// An earlier grant without an answer may still take effect after the release; under a new fence it cannot.
		l.raise(key.service, r)
	case !released:
		l.call(h, t, key, nil)
	}
	return isHeld
}

// raise gives a range to its owner again under a higher fence, where the present one must not be used any more.
func (l *Lessor) raise(service string, r registrar.Range) {
	l.change(registrar.Change{
		Grant: &registrar.GrantMsg{
			Service: service,
			Grants: []registrar.Grant{{
				From:     r.From,
				To:       r.To,
				Owner:    r.Owner,
				Handover: r.Handover,
			}},
		},
	})
}

// call asks for a grant, or for a release if grant is nil, unless another call to the target has to end first: a second
// grant, one release too many, or a call for some of the same keys.
func (l *Lessor) call(h *holder, t registrar.Target, key spanKey, grant *GrantCall) {
	if l.now.Before(h.retryAt) || h.changing(key) {
		return
	}
	if grant != nil && h.granting || grant == nil && len(h.releases) >= maxReleases {
		return
	}
	call := CallMsg{
		Incarnation: t.Incarnation,
		Addr:        t.Addr,
		Service:     key.service,
		Span:        key.span,
		Fence:       key.fence,
		Grant:       grant,
	}
	if grant == nil {
		h.releases[key] = true
	} else {
		h.granting, h.granted = true, key
		// A fence is sent over a new connection only once.
		call.SameConnection = h.used[key.fence]
		h.used[key.fence] = true
	}
	l.effects.Calls = append(l.effects.Calls, call)
}

// change proposes a change of the registry, unless others are on their way: it is decided again after them.
func (l *Lessor) change(c registrar.Change) {
	if l.view.Pending {
		return
	}
	l.effects.Changes = append(l.effects.Changes, c)
}

// release starts to take ranges from owners that leave.
func (l *Lessor) release(service string, leaving []registrar.Range) {
	var spans []registrar.Span
	for _, r := range leaving {
		spans = append(spans, registrar.Span{
			From: r.From,
			To:   r.To,
		})
	}
	l.startRelease(service, spans)
}

func (l *Lessor) startRelease(service string, spans []registrar.Span) {
	if len(spans) == 0 {
		return
	}
	l.change(registrar.Change{
		Release: &registrar.ReleaseMsg{
			Service:   service,
			Spans:     spans,
			Releasing: true,
		},
	})
}
