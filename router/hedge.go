package router

import (
	"context"
	"sync"
	"time"

	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/sender"
)

// refusedTime is how long a target that refused a request is taken to have a full queue.
const refusedTime = 100 * time.Millisecond

// race is a first attempt and a hedged one. The first answer wins, and the other attempt is cancelled.
type race struct {
	mu     sync.Mutex
	won    bool
	cancel context.CancelFunc
	resp   *sender.Response
	fault  *sender.Fault
	done   chan struct{}
}

// hedged sends the request to route, and also to another target if no answer has come after the hedge delay.
func (x *exchange) hedged(ctx context.Context, t *locator.Table, route *locator.Route) (*sender.Response, *sender.Fault) {
	svc, cfg := x.state, &x.service.Retry
	delay := svc.balancer.HedgeDelay(cfg.HedgeAfter)
	if !x.hedgeable() || len(t.Routes) < 2 || time.Until(x.deadline) <= delay {
		return x.counted(ctx, t, route)
	}
	first, cancelFirst := context.WithCancel(ctx)
	second, cancelSecond := context.WithCancel(ctx)
	r := race{
		cancel: cancelSecond,
		done:   make(chan struct{}),
	}
	timer := time.AfterFunc(delay, func() {
		defer close(r.done)
		r.mu.Lock()
		over := r.won
		r.mu.Unlock()
		other := svc.balancer.Choose(t, time.Now(), route.Target)
		if over || other == nil || other.Target == route.Target || !svc.hedges.Take(cfg.HedgeBudget) {
			return
		}
		x.router.active.Add(1)
		defer x.router.active.Add(-1)
		resp, f := x.counted(second, t, other)
		r.mu.Lock()
		defer r.mu.Unlock()
		switch {
		case f != nil:
			r.fault = f
		case r.won:
			_ = resp.Close()
		default:
			r.won, r.resp = true, resp
			cancelFirst()
		}
	})
	resp, f := x.counted(first, t, route)
	if f != nil && !timer.Stop() {
		// The hedged attempt is in progress and may still bring the answer.
		<-r.done
	}
	timer.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.resp != nil:
		if resp != nil {
			_ = resp.Close()
		}
		return r.resp, nil
	case f == nil:
		r.won = true
		r.cancel()
		return resp, nil
	}
	if r.fault != nil && r.fault.MayHaveRun {
		f.MayHaveRun = true
	}
	cancelFirst()
	cancelSecond()
	return nil, f
}

// hedgeable reports whether the request may run at two targets at once.
func (x *exchange) hedgeable() bool {
	return x.hops == 0 && !x.service.Keyed && x.service.Idempotent(x.method) && x.service.Retry.HedgeBudget > 0
}

// counted sends the request to a target of a shared service and records the result with its balancer.
func (x *exchange) counted(ctx context.Context, t *locator.Table, route *locator.Route) (*sender.Response, *sender.Fault) {
	b, start := &x.state.balancer, time.Now()
	b.Begin(t, route, start)
	resp, _, f := x.send(ctx, way{
		table: t,
		route: route,
	})
	if f != nil {
		now := time.Now()
		switch f.Reason {
		case sender.ReasonCancelled:
			b.Overtaken(t, route, now, now.Sub(start))
		case "suspect":
			b.End(t, route, now, 0, false, false)
		case sender.ReasonOverloaded, "cold", "draining", sender.ReasonStaleRoute:
			// A target that refuses is not faulty, but its short answers must not draw more requests to it.
			b.End(t, route, now, 0, false, false)
			b.Report(t, route, float64(x.service.Limits.QueueLimit+x.service.Limits.TargetSlots), now, refusedTime)
		default:
			b.End(t, route, now, 0, false, true)
		}
		return nil, f
	}
	x.reported(t, route, resp)
	next := resp.OnEnd
	resp.OnEnd = func(whole bool, f *sender.Fault) {
		now := time.Now()
		b.End(t, route, now, now.Sub(start), whole, whole || f != nil)
		if next != nil {
			next(whole, f)
		}
	}
	return resp, nil
}
