package lessor

import "bramleyline.example/bramleyline/registrar"

// tickService scans all ranges of one service, if that is due.
func (l *Lessor) tickService(service string) {
	if !l.scanDue(service) {
		return
	}
	ranges := l.view.Registry.RangeList(service)
	if len(ranges) == 0 {
		if !l.view.Pending {
			l.assignAll(service)
		}
		return
	}
	if !l.refenced[service] && !l.view.Pending {
		l.refenced[service] = true
		if l.refenceAll(service, ranges) {
			return
		}
	}
	var free, toRelease []registrar.Range
	for _, r := range ranges {
		switch l.checkRange(service, r) {
		case rangeFree:
			free = append(free, r)
		case rangeToRelease:
			toRelease = append(toRelease, r)
		}
	}
	if l.view.Pending {
		return
	}
	l.assignFree(service, ranges, free)
	l.releaseRanges(service, toRelease)
	if !l.splitHotSpans(service, ranges) && len(free) == 0 && len(toRelease) == 0 {
		l.planMoves(service, ranges)
	}
}

// scanDue reports whether the ranges of a service have to be scanned, and then records the scan. A scan is due after a
// change of the ranges or targets or an answer that calls for it, and after maxScanInterval at the latest, for renewals.
func (l *Lessor) scanDue(service string) bool {
	last, ranges := l.scans[service], l.view.Registry.Ranges(service)
	elapsed := l.now.Sub(last.scannedAt)
	changed := l.scanNeeded || !last.ranges.Same(ranges) || !last.targets.Same(l.view.Registry.Pool(service))
	if elapsed < minScanInterval && changed {
		l.scanDelayed = true
		return false
	}
	if elapsed < maxScanInterval && !changed {
		return false
	}
	l.scans[service] = scan{
		scannedAt: l.now,
		ranges:    ranges,
		targets:   l.view.Registry.Pool(service),
	}
	return true
}

// refenceAll proposes to grant all ranges to their owners again under a new fence, and reports whether any owner is alive.
// Once an owner has seen the new fence, it rejects the grants of an earlier leader that are still in flight, because their
// fence is lower.
func (l *Lessor) refenceAll(service string, ranges []registrar.Range) bool {
	owned := false
	for _, r := range ranges {
		if r.Owner.ID == "" {
			continue
		}
		// Grants of an earlier leader may be valid for one more Hold after the election.
		h := l.holder(r.Owner)
		h.expiresAt = later(h.expiresAt, l.expiry(l.elected))
		h.unconfirmedUntil[earlierTermsFence] = h.expiresAt
		h.dialedAt = later(h.dialedAt, l.elected)
		owned = owned || l.view.Registry.Alive(r.Owner)
	}
	if owned {
		l.propose(registrar.Change{
			Refence: &registrar.RefenceMsg{
				Service: service,
			},
		})
	}
	return owned
}

// rangeStatus says what is to be done with a range.
type rangeStatus int

const (
	// rangeHeld means that the range is neither to be assigned nor to be released.
	rangeHeld rangeStatus = iota
	// rangeFree means that the range may be assigned to a new owner.
	rangeFree
	// rangeToRelease means that its owner has to release the range.
	rangeToRelease
)

// checkRange returns the status of one range, and makes the calls that its owner needs.
func (l *Lessor) checkRange(service string, r registrar.Range) rangeStatus {
	if r.Owner.ID == "" {
		return rangeFree
	}
	h := l.holder(r.Owner)
	key := keyOfRange(service, r)
	if !l.view.Registry.Alive(r.Owner) {
		return l.checkEndedOwner(h, r, key)
	}
	t, _ := l.view.Registry.Target(r.Owner.ID)
	if r.Releasing {
		return l.checkReleasing(h, t, r, key)
	}
	if h.failures >= unresponsiveAfter && h.expired(l.now) {
		return rangeFree
	}
	mustRelease := l.mustRelease(t)
	if mustRelease && h.releaseIsFinal(l.now, r.Fence, key.span) {
		return rangeToRelease
	}
	unconfirmed := l.now.Before(h.unconfirmedUntil[r.Fence])
	if mustRelease && unconfirmed && h.failures == 0 || h.unusableFences[r.Fence] {
		l.refenceRange(service, r)
		return rangeHeld
	}
	if hold := l.holdFor(h); hold >= minHold && !l.now.Before(h.renewAt[key]) {
		l.emitCall(h, t, key, &GrantCall{
			Hold:     hold,
			Handover: r.Handover,
		})
	}
	return rangeHeld
}

// checkEndedOwner returns the status of a range whose owner's process has ended. The next incarnation under the same ID
// may have accepted a grant that was meant for the ended one, so it has to release the range first, unless it started too
// late to have got the grant.
func (l *Lessor) checkEndedOwner(h *holder, r registrar.Range, key spanKey) rangeStatus {
	next, ok := l.view.Registry.Target(r.Owner.ID)
	if !ok || h.expired(l.now) || !h.granting && l.joinedAt[next.Incarnation].Sub(h.dialedAt) >= maxAnnounceDelay {
		return rangeFree
	}
	if _, released := l.released[key]; released && !h.granting && !h.hasUnconfirmed(l.now) {
		return rangeFree
	}
	l.emitCall(l.holder(next.Incarnation), next, key, nil)
	return rangeHeld
}

// checkReleasing returns the status of a range that its owner is releasing.
func (l *Lessor) checkReleasing(h *holder, t registrar.Target, r registrar.Range, key spanKey) rangeStatus {
	final := h.releaseIsFinal(l.now, key.fence, key.span)
	_, released := l.released[key]
	switch {
	case released && final, h.expired(l.now):
		return rangeFree
	case !final && h.failures == 0 && !h.callOverlaps(key):
		// An unconfirmed grant may take effect after the release. Once the owner has seen a higher fence, it cannot.
		l.refenceRange(key.service, r)
	case !released:
		l.emitCall(h, t, key, nil)
	}
	return rangeHeld
}

// refenceRange proposes to grant a range to its owner again under a higher fence, for use when the present fence must not
// be sent any more or has an unconfirmed grant.
func (l *Lessor) refenceRange(service string, r registrar.Range) {
	l.propose(registrar.Change{
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

// emitCall asks for a grant, or for a release if grant is nil. It does nothing during the backoff after a failed call, nor
// while another call to the target has to end first: a call for some of the same keys, any grant before a grant, and
// maxReleases releases before a release, or maxHotReleases before one of a hot span.
func (l *Lessor) emitCall(h *holder, t registrar.Target, key spanKey, grant *GrantCall) {
	if l.now.Before(h.retryAt) || h.callOverlaps(key) {
		return
	}
	releases := maxReleases
	if l.hotReleases[key] || l.wasHot(key) {
		releases = maxHotReleases
	}
	if grant != nil && h.granting || grant == nil && len(h.releases) >= releases {
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
		h.granting, h.grantingSpan = true, key
		// Only the first grant under a fence may be sent over a new connection.
		call.Connection = h.sentFences[key.fence]
	}
	l.effects.Calls = append(l.effects.Calls, call)
}

// propose asks to propose a change of the registry, unless earlier changes are not committed yet: a later tick decides
// again after them.
func (l *Lessor) propose(c registrar.Change) {
	if l.view.Pending {
		return
	}
	l.effects.Changes = append(l.effects.Changes, c)
}

// releaseRanges starts the release of ranges whose owners have to give them up.
func (l *Lessor) releaseRanges(service string, toRelease []registrar.Range) {
	var spans []registrar.Span
	for _, r := range toRelease {
		spans = append(spans, registrar.Span{
			From: r.From,
			To:   r.To,
		})
	}
	l.releaseSpans(service, spans)
}

// releaseSpans proposes to mark spans as being released.
func (l *Lessor) releaseSpans(service string, spans []registrar.Span) {
	if len(spans) == 0 {
		return
	}
	l.propose(registrar.Change{
		Release: &registrar.ReleaseMsg{
			Service:   service,
			Spans:     spans,
			Releasing: true,
		},
	})
}
