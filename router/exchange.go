package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/dispatcher"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/recorder"
	"bramleyline.example/bramleyline/sender"
)

// maxAttempts bounds the attempts for one request, whatever the budgets allow.
const maxAttempts = 8

// exchange is one request and its answer.
type exchange struct {
	router   *Router
	w        http.ResponseWriter
	start    time.Time
	deadline time.Time
	service  *configurer.Service
	state    *service

	key         string
	method      string
	uri         string
	host        string
	header      http.Header
	body        []byte
	identity    string
	caller      string
	fingerprint uint64
	// hops counts the hosts before this one, and target names the target that the forwarding host chose.
	hops   int
	target string
	epoch  fencer.Epoch

	// mayHaveRun says that an earlier attempt may have run, so that the answer can no longer be notRun.
	mayHaveRun bool
	attempts   int
	failed     []string
	// inRoom says that the request takes a place in the room of the host.
	inRoom bool
	// reserved is the room in bytes that is reserved for the body.
	reserved int64
	// outcome is recorded when the exchange ends. queued is the time for which the request waited for its target.
	outcome string
	queued  atomic.Int64
}

// run accepts the request and serves it, and records the result, also when the caller's connection is aborted.
func (x *exchange) run(req *http.Request, accept func(*http.Request) *sender.Fault, serve func(context.Context)) {
	x.router.active.Add(1)
	x.outcome = "aborted"
	defer x.end()
	if x.router.leaving.Load() {
		x.w.Header()["Connection"] = []string{"close"}
	}
	x.method = req.Method
	if f := accept(req); f != nil {
		x.refuse(f)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), x.deadline)
	defer cancel()
	serve(ctx)
}

func (x *exchange) end() {
	x.router.active.Add(-1)
	if x.inRoom {
		x.router.room.leave(x.state)
	}
	x.router.room.bytes.Add(-x.reserved)
	// The host that took the request from its caller records it.
	if x.service == nil || x.hops > 0 {
		return
	}
	class := recorder.Write
	if x.service.Idempotent(x.method) {
		class = recorder.Read
	}
	x.router.recorder.Record(recorder.Entry{
		Service: x.service.Name,
		Class:   class,
		Outcome: x.outcome,
		Latency: time.Since(x.start),
		Queued:  time.Duration(x.queued.Load()),
	})
}

// serve makes attempts until one brings an answer or no further one is allowed.
func (x *exchange) serve(ctx context.Context) {
	x.state.retries.First(x.service.Retry.RetryBudget)
	x.state.hedges.First(x.service.Retry.HedgeBudget)
	handover := x.start.Add(x.service.Ownership.HandoverWait)
	if handover.After(x.deadline) {
		handover = x.deadline
	}
	var hint *locator.Route
	for {
		current := x.router.opts.Locator.Load()
		way, f := x.route(current)
		if hint != nil && (f != nil || hint.Epoch > way.route.Epoch) {
			way.route, f = hint, nil
		}
		if f == nil {
			var resp *sender.Response
			resp, hint, f = x.attempt(ctx, way)
			if f == nil {
				f = x.pass(resp)
			}
			if f == nil {
				return
			}
			x.mayHaveRun = x.mayHaveRun || f.MayHaveRun
			x.failed = append(x.failed, way.route.Target)
		}
		if ctx.Err() != nil || !x.again(f, way.reached(f)) {
			x.refuse(f)
			return
		}
		if hint != nil || !x.waits(f, way.table) {
			continue
		}
		if !x.waitFor(ctx, current, way, f, handover) {
			x.refuse(f)
			return
		}
		x.failed = nil
		if !way.reached(f) {
			// The time bounds these attempts, not their number.
			x.attempts = 0
		}
	}
}

// waits reports whether a fault goes away only with time or a newer Locator. A request of a shared service goes to
// another target at once, as long as there is one that it has not tried.
func (x *exchange) waits(f *sender.Fault, t *locator.Table) bool {
	switch f.Reason {
	case "noOwner", "handover", "notReady":
		return true
	case sender.ReasonStaleRoute, sender.ReasonUnreachable, "staleEpoch", "draining":
		return x.service.Keyed || t != nil && len(x.failed) >= len(t.Routes)
	}
	return false
}

// staleWait is how soon a request tries again after a host refused its route as stale, because the table of that host
// may be the older one; after a target refused the epoch, because a new owner may hear of its slot only with its next
// heartbeat, 150 ms after the last; and after all targets of a shared service failed.
const staleWait = 20 * time.Millisecond

// waitFor waits until the Locator has another route than way for the request. It returns false after until.
func (x *exchange) waitFor(ctx context.Context, current *locator.Locator, failed way, f *sender.Fault, until time.Time) bool {
	soon := until
	if f.Reason == sender.ReasonStaleRoute || f.Reason == "staleEpoch" || failed.route != nil && !x.service.Keyed {
		if soon = time.Now().Add(staleWait); soon.After(until) {
			soon = until
		}
	}
	for {
		if !x.router.watch.wait(ctx, current, soon) {
			return ctx.Err() == nil && time.Now().Before(until)
		}
		current = x.router.opts.Locator.Load()
		next, f := x.route(current)
		if f == nil && (failed.route == nil || !same(next.route, failed.route)) {
			return true
		}
	}
}

func same(a, b *locator.Route) bool {
	return a.Target == b.Target && a.Incarnation == b.Incarnation && a.Epoch == b.Epoch && a.Host == b.Host
}

// again reports whether another attempt may be made after f. Retries of requests that reached a target or a host that
// should be able to run them come out of the budget; those that only found a better route do not load any target.
func (x *exchange) again(f *sender.Fault, reached bool) bool {
	if x.attempts >= maxAttempts || (f.Status < http.StatusInternalServerError && !f.MayHaveRun && !f.Said) {
		return false
	}
	switch f.Reason {
	case "suspect", sender.ReasonCancelled, sender.ReasonDeadline:
		return false
	case sender.ReasonOverloaded, "cold":
		// The owner of a key is the only target that may run the request, and its dispatcher has asked it again.
		if x.service.Keyed {
			return false
		}
	}
	if x.mayHaveRun && !x.service.Idempotent(x.method) {
		return false
	}
	return !reached || x.state.retries.Take(x.service.Retry.RetryBudget)
}

// way is how a request gets to its target.
type way struct {
	table *locator.Table
	slot  keyer.Slot
	route *locator.Route
}

// reached reports whether the attempt that ended with f counts as one for a target. A hand-over that refuses many
// requests for a moment must not use up the budget; the wait between their attempts bounds them.
func (w way) reached(f *sender.Fault) bool {
	return w.route != nil && f.Reason != sender.ReasonStaleRoute && f.Reason != "staleEpoch"
}

// route finds the way of the request in l.
func (x *exchange) route(l *locator.Locator) (way, *sender.Fault) {
	table, ok := l.Table(x.service.Name)
	if !ok {
		return way{}, sender.Refused("noOwner", "no routing table for the service yet")
	}
	w := way{
		table: table,
	}
	if !table.Keyed {
		if route := x.choose(table); route != nil {
			w.route = route
			return w, nil
		}
		return w, sender.Refused("noOwner", "the service has no target that takes work")
	}
	slot, route := table.OwnerOf(x.key)
	w.slot = slot
	switch {
	case route == nil || route.Target == "":
		return w, sender.Refused("noOwner", "the slot has no owner")
	case route.Releasing:
		return w, sender.Refused("handover", "the slot is being handed over")
	case route.OutOfService:
		return w, sender.Refused("noOwner", "the owner of the slot is out of service")
	}
	w.route = route
	return w, nil
}

// choose picks a target of a shared service, or finds the one that the forwarding host chose.
func (x *exchange) choose(t *locator.Table) *locator.Route {
	if x.target == "" {
		return x.state.balancer.Choose(t, time.Now(), x.failed...)
	}
	for i := range t.Routes {
		if r := &t.Routes[i]; r.Target == x.target && !r.Releasing && !r.OutOfService {
			return r
		}
	}
	return nil
}

// attempt makes one attempt, with a hedged one beside it if that is allowed.
func (x *exchange) attempt(ctx context.Context, w way) (*sender.Response, *locator.Route, *sender.Fault) {
	if x.mayHaveRun && !x.service.Idempotent(x.method) {
		asserter.Check(false, asserter.AtMostOnce, "another attempt for request %s, which may have run", x.identity)
	}
	x.attempts++
	if w.table == nil || w.table.Keyed || x.hops > 0 {
		return x.send(ctx, w)
	}
	resp, f := x.hedged(ctx, w.table, w.route)
	return resp, nil, f
}

// send sends the request to the target if this host dispatches for it, else to the host that does.
func (x *exchange) send(ctx context.Context, w way) (*sender.Response, *locator.Route, *sender.Fault) {
	if !w.route.Local {
		return x.forward(ctx, w.slot, w.route)
	}
	j := dispatcher.Job{
		Service:     x.service,
		Table:       w.table,
		Key:         x.key,
		Slot:        w.slot,
		Route:       w.route,
		Method:      x.method,
		URI:         x.uri,
		Host:        x.host,
		Header:      x.header,
		Body:        x.body,
		Identity:    x.identity,
		Caller:      x.caller,
		Fingerprint: x.fingerprint,
		Deadline:    x.deadline,
	}
	if x.service.Keyed {
		j.Again = func() bool {
			return x.state.retries.Take(x.service.Retry.RetryBudget)
		}
	}
	resp, f := x.router.dispatcher.Dispatch(ctx, &j)
	x.queued.Store(int64(j.Queued))
	return resp, nil, f
}
