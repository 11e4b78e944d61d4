package forwarder

import (
	"context"
	"slices"
	"time"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/viewer"
)

// target returns where the request goes next, or the answer if it can go nowhere.
func (x *exchange) target(ctx context.Context) (*viewer.Target, *acceptor.Answer) {
	if x.service.Keyed {
		return x.owner(ctx)
	}
	now := time.Now()
	v, _ := x.f.opts.View()
	pool, ok := v.Pool(x.service.Name)
	if !ok {
		return nil, x.giveUp(reasonNoTarget, returnNoTarget)
	}
	need := selector.Need{
		Work:      x.f.workOf(x.route.Name).expected(),
		Objective: x.route.Objective - now.Sub(x.req.Arrived),
	}
	if t := x.f.opts.Selector.Choose(now, pool, need, x.tried); t != nil {
		if e := x.f.opts.Selector.Estimate(now, t, need.Work); e.Wait < x.limit.Sub(now) {
			return t, nil
		}
		return nil, x.giveUp(reasonOverloaded, returnNoTarget)
	}
	if t := x.coldTarget(now, v, pool); t != nil {
		return t, nil
	}
	return nil, x.giveUp(reasonNoTarget, returnNoTarget)
}

// coldTarget returns a cold target that this host may still send to, nil if there is none.
func (x *exchange) coldTarget(now time.Time, v *viewer.View, pool *viewer.Pool) *viewer.Target {
	for i := range pool.Targets {
		t := &pool.Targets[i]
		if !t.Cold || t.Draining || t.Out || slices.Contains(x.tried, t.Incarnation) {
			continue
		}
		if x.takeCold(now, v, t) {
			return t
		}
	}
	return nil
}

func (x *exchange) takeCold(now time.Time, v *viewer.View, t *viewer.Target) bool {
	l := x.f.opts.Limits
	share := selector.ColdShare(x.service.ColdRate*l.ColdFactor+l.ColdSlack, v, t)
	return x.f.opts.Selector.TakeCold(now, t, share)
}

// owner returns the target that owns the key. While the key is being moved it waits for its next owner, within bounds.
func (x *exchange) owner(ctx context.Context) (*viewer.Target, *acceptor.Answer) {
	wait := min(ownerWait, time.Duration(ownerWaitShare*float64(time.Until(x.limit))))
	until := time.Now().Add(wait)
	for {
		v, changed := x.f.opts.View()
		now := time.Now()
		t, releasing := x.ownerIn(v, now)
		if t != nil {
			return x.admit(now, v, t)
		}
		if !releasing || !now.Before(until) {
			return nil, x.giveUp(reasonNoOwner, returnNoOwner)
		}
		if !x.await(ctx, changed, until.Sub(now)) {
			return nil, x.giveUp(reasonNoOwner, returnNoOwner)
		}
	}
}

// ownerIn returns the owner of the key in v, if it may be sent to; soon says that there will be another one in a moment.
func (x *exchange) ownerIn(v *viewer.View, now time.Time) (t *viewer.Target, soon bool) {
	pool, ok := v.Pool(x.service.Name)
	if !ok {
		return nil, false
	}
	t, releasing := pool.Owner(x.call.Key)
	if releasing {
		return nil, true
	}
	if t == nil || x.stale && t.Incarnation == x.tried[len(x.tried)-1] {
		return nil, t != nil
	}
	l := x.f.opts.Limits
	if t.Draining && now.Sub(t.Since) > l.DrainTime || t.Out && now.Sub(t.Since) > l.OutTime {
		return nil, true
	}
	return t, false
}

// admit refuses a request that its owner could not begin in time.
func (x *exchange) admit(now time.Time, v *viewer.View, t *viewer.Target) (*viewer.Target, *acceptor.Answer) {
	if x.f.opts.Selector.Avoided(now, t.Incarnation) {
		return nil, x.giveUp(reasonUnreachable, returnNoOwner)
	}
	if t.Cold && !x.takeCold(now, v, t) {
		return nil, x.giveUp(reasonOverloaded, returnNoOwner)
	}
	work := x.f.workOf(x.route.Name).expected()
	e := x.f.opts.Selector.Estimate(now, t, work)
	if e.InFlight >= x.connections() {
		return nil, x.giveUp(reasonOverloaded, returnNoTarget)
	}
	if left := min(x.limit.Sub(now), max(work/2, x.route.Objective-now.Sub(x.req.Arrived)-work/2)); e.Wait >= left {
		return nil, x.giveUp(reasonOverloaded, min(e.Wait-left+returnNoTarget, returnNoOwner))
	}
	return t, nil
}

// await returns true when there is a newer view.
func (x *exchange) await(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
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
