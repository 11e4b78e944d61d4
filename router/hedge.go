package router

import (
	"context"
	"sync"
	"time"

	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/sender"
)

// fullQueueTTL is how long a target that rejected a request is assumed to have a full queue.
const fullQueueTTL = 100 * time.Millisecond

// race is the shared state of a first attempt and a hedged one. The first answer wins, and the other attempt is
// cancelled.
type race struct {
	mu          sync.Mutex
	decided     bool
	cancelHedge context.CancelFunc
	hedgeResp   *sender.Response
	hedgeFault  *sender.Fault
	hedgeDone   chan struct{}
}

// sendHedged sends the request to route, and also to another target if there is no answer after the hedge delay.
func (x *exchange) sendHedged(ctx context.Context, t *locator.Table, route *locator.Route) (*sender.Response, *sender.Fault) {
	svc, cfg := x.state, &x.service.Retry
	delay := svc.balancer.HedgeDelay(cfg.HedgeAfter)
	if !x.hedgeable() || len(t.Routes) < 2 || time.Until(x.deadline) <= delay {
		return x.sendRecorded(ctx, t, route)
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	r := race{
		cancelHedge: cancelHedge,
		hedgeDone:   make(chan struct{}),
	}
	timer := time.AfterFunc(delay, func() {
		defer close(r.hedgeDone)
		r.mu.Lock()
		decided := r.decided
		r.mu.Unlock()
		other := svc.balancer.Choose(t, time.Now(), route.Target)
		if decided || other == nil || other.Target == route.Target || !svc.hedges.Withdraw(cfg.HedgeBudget) {
			return
		}
		x.router.active.Add(1)
		defer x.router.active.Add(-1)
		resp, f := x.sendRecorded(hedgeCtx, t, other)
		r.mu.Lock()
		defer r.mu.Unlock()
		switch {
		case f != nil:
			r.hedgeFault = f
		case r.decided:
			_ = resp.Close()
		default:
			r.decided, r.hedgeResp = true, resp
			cancelFirst()
		}
	})
	resp, f := x.sendRecorded(firstCtx, t, route)
	if f != nil && !timer.Stop() {
		// The hedged attempt is in progress and may still be answered.
		<-r.hedgeDone
	}
	timer.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.hedgeResp != nil:
		if resp != nil {
			_ = resp.Close()
		}
		return r.hedgeResp, nil
	case f == nil:
		r.decided = true
		r.cancelHedge()
		return resp, nil
	}
	if r.hedgeFault != nil && r.hedgeFault.MayHaveRun {
		f.MayHaveRun = true
	}
	cancelFirst()
	cancelHedge()
	return nil, f
}

// hedgeable reports whether the request may run at two targets at once.
func (x *exchange) hedgeable() bool {
	return x.hops == 0 && !x.service.Keyed && x.service.Idempotent(x.method) && x.service.Retry.HedgeBudget > 0
}

// sendRecorded sends the request to a target of a shared service and records the result in the balancer of the service.
func (x *exchange) sendRecorded(ctx context.Context, t *locator.Table, route *locator.Route) (*sender.Response, *sender.Fault) {
	b, start := &x.state.balancer, time.Now()
	b.Begin(t, route, start)
	resp, _, f := x.send(ctx, destination{
		table: t,
		route: route,
	})
	if f != nil {
		now := time.Now()
		switch f.Reason {
		case sender.ReasonCancelled:
			b.Cancelled(t, route, now, now.Sub(start))
		case "suspect":
			b.End(t, route, now, 0, false, false)
		case sender.ReasonOverloaded, "cold", "draining", sender.ReasonStaleRoute:
			// A target that rejects is not faulty, but the short latency of rejections must not draw more requests to it.
			b.End(t, route, now, 0, false, false)
			b.Report(t, route, float64(x.service.Limits.QueueLimit+x.service.Limits.TargetSlots), now, fullQueueTTL)
		default:
			b.End(t, route, now, 0, false, true)
		}
		return nil, f
	}
	x.recordLoad(t, route, resp)
	onEnd := resp.OnEnd
	resp.OnEnd = func(whole bool, f *sender.Fault) {
		now := time.Now()
		b.End(t, route, now, now.Sub(start), whole, whole || f != nil)
		if onEnd != nil {
			onEnd(whole, f)
		}
	}
	return resp, nil
}
