package forwarder

import (
	"context"
	"slices"
	"time"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/limiter"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/timekeeper"
	"bramleyline.example/bramleyline/viewer"
)

// nextTarget returns the target of the next attempt, or the final answer if no target can be used.
func (x *exchange) nextTarget(ctx context.Context) (*viewer.Target, *acceptor.Answer) {
	if x.service.Keyed {
		return x.owner(ctx)
	}
	now := time.Now()
	v, _ := x.f.opts.View()
	pool, ok := v.Pool(x.service.Name)
	if !ok {
		return nil, x.giveUp(reasonNoTarget, retryAfterNoTarget)
	}
	need := selector.Need{
		Work:      x.f.serviceTime(x.route.Name).expected(),
		Objective: x.route.Objective - now.Sub(x.req.Arrived),
	}
	if t := x.uploadTarget(ctx, now, v, pool, need); t != nil {
		return t, nil
	}
	excluded, reason, retryAfter := x.tried, reasonNoTarget, retryAfterNoTarget
	for t := x.f.opts.Selector.Choose(now, pool, need, excluded); t != nil; {
		if e := x.f.opts.Selector.Estimate(now, t, need.Work); e.Wait >= x.deadline.Sub(now) {
			return nil, x.giveUp(reasonOverloaded, retryAfterNoTarget)
		}
		// Another target may serve the request at once, so it does not wait for a token.
		refusal := x.f.opts.Limiter.Take(ctx, t, limiter.Request{
			Urgent: v.Table.MostUrgent(x.route, x.service.Name),
		})
		if refusal == nil {
			return t, nil
		}
		if reason == reasonNoTarget || refusal.RetryAfter < retryAfter {
			reason, retryAfter = reasonLimited, refusal.RetryAfter
		}
		excluded = append(slices.Clip(excluded), t.Incarnation)
		t = x.f.opts.Selector.Choose(now, pool, need, excluded)
	}
	if t := x.coldTarget(ctx, now, v, pool); t != nil {
		return t, nil
	}
	return nil, x.giveUp(reason, retryAfter)
}

// coldTarget returns a cold target whose allowance for this host is not used up, nil if there is none.
func (x *exchange) coldTarget(ctx context.Context, now time.Time, v *viewer.View, pool *viewer.Pool) *viewer.Target {
	for i := range pool.Targets {
		t := &pool.Targets[i]
		if !t.Cold || t.Draining || t.Out || slices.Contains(x.tried, t.Incarnation) {
			continue
		}
		if x.takeColdAllowance(now, v, t) && x.f.opts.Limiter.Take(ctx, t, limiter.Request{}) == nil {
			return t
		}
	}
	return nil
}

func (x *exchange) takeColdAllowance(now time.Time, v *viewer.View, t *viewer.Target) bool {
	l := x.f.opts.Limits
	share := selector.ColdShare(x.service.ColdRate*l.ColdFactor+l.ColdSlack, v, t)
	return x.f.opts.Selector.TakeColdAllowance(now, t, share)
}

// owner returns the target that owns the key. During a hand-over of the key it waits a bounded time for the next owner.
func (x *exchange) owner(ctx context.Context) (*viewer.Target, *acceptor.Answer) {
	wait := min(maxOwnerWait, time.Duration(ownerWaitShare*float64(time.Until(x.deadline))))
	waitUntil := time.Now().Add(wait)
	for {
		v, changed := x.f.opts.View()
		now := time.Now()
		t, pending := x.usableOwner(v, now)
		if t != nil {
			if refusal := x.admit(ctx, now, v, t); refusal != nil {
				return nil, refusal
			}
			if x.stillOwner(t) {
				return t, nil
			}
			// Other uploads may use the place while this request waits for another owner.
			x.leave()
			continue
		}
		if !pending || !now.Before(waitUntil) || !x.awaitView(ctx, changed, waitUntil.Sub(now)) {
			return nil, x.giveUp(reasonNoOwner, retryAfterNoOwner)
		}
	}
}

// stillOwner reports whether t is the usable owner of the key after a wait for a token or for the place of an upload. The key may
// have moved, or the time of an owner that drains may have ended, which is not a newer view.
func (x *exchange) stillOwner(t *viewer.Target) bool {
	v, _ := x.f.opts.View()
	owner, _ := x.usableOwner(v, time.Now())
	return owner != nil && owner.Incarnation == t.Incarnation
}

// usableOwner returns the owner of the key in v, or nil if the request may not be sent to it; pending is then true if a
// new owner is expected shortly.
func (x *exchange) usableOwner(v *viewer.View, now time.Time) (t *viewer.Target, pending bool) {
	pool, ok := v.Pool(x.service.Name)
	if !ok {
		return nil, false
	}
	t, releasing := pool.Owner(x.call.Key)
	if releasing {
		return nil, true
	}
	if t == nil || x.ownerStale && t.Incarnation == x.tried[len(x.tried)-1] {
		return nil, t != nil
	}
	l := x.f.opts.Limits
	if t.Draining && ended(now, t, l.DrainTime, l.DrainBound) || t.Out && ended(now, t, l.OutTime, l.OutBound) {
		return nil, true
	}
	return t, false
}

// ended reports whether the time is over for which the owner t, which leaves, still gets requests.
func ended(now time.Time, t *viewer.Target, sinceLearned, sinceCommit time.Duration) bool {
	return now.Sub(t.Since) > sinceLearned || sinceCommit > 0 && timekeeper.Since(t.LeavesAfter) > sinceCommit
}

// admit returns a refusal if t, the owner of the key, cannot begin the request in time. It may wait for a token of t.
func (x *exchange) admit(ctx context.Context, now time.Time, v *viewer.View, t *viewer.Target) *acceptor.Answer {
	if x.f.opts.Selector.Unresponsive(now, t.Incarnation) {
		return x.giveUp(reasonUnreachable, retryAfterNoOwner)
	}
	if t.Cold && !x.takeColdAllowance(now, v, t) {
		return x.giveUp(reasonOverloaded, retryAfterNoOwner)
	}
	serviceTime := x.f.serviceTime(x.route.Name).expected()
	e := x.f.opts.Selector.Estimate(now, t, serviceTime)
	if e.InFlight >= x.maxConnections() {
		return x.giveUp(reasonOverloaded, retryAfterNoTarget)
	}
	left := min(
		x.deadline.Sub(now),
		max(serviceTime/2, x.route.Objective-now.Sub(x.req.Arrived)-serviceTime/2),
	)
	if e.Wait >= left {
		return x.giveUp(reasonOverloaded, min(e.Wait-left+retryAfterNoTarget, retryAfterNoOwner))
	}
	r := limiter.Request{
		Urgent: v.Table.MostUrgent(x.route, x.service.Name),
	}
	share := tokenShare
	if r.Urgent {
		share = urgentTokenShare
	}
	r.MaxDelay = time.Duration(share * float64(max(0, left-e.Wait-serviceTime/2)))
	if refusal := x.f.opts.Limiter.Take(ctx, t, r); refusal != nil {
		return x.giveUp(reasonLimited, refusal.RetryAfter)
	}
	return x.awaitUploadPlace(ctx, now, t)
}

// awaitView waits until changed is closed, that is until there is a newer view. It returns false if the timeout passes
// or ctx ends first.
func (x *exchange) awaitView(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
