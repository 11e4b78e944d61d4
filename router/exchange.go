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

// maxAttempts bounds the attempts for one request, whatever the retry budget allows.
const maxAttempts = 8

// exchange is the state of one request while this host handles it.
type exchange struct {
	router   *Router
	w        http.ResponseWriter
	start    time.Time
	deadline time.Time
	service  *configurer.Service
	state    *serviceState

	key        string
	method     string
	uri        string
	hostHeader string
	header     http.Header
	body       []byte
	// identity is assigned by the host that received the request from its caller. callerIdentity is the identity that the
	// caller gave the request, empty if none.
	identity       string
	callerIdentity string
	// fingerprint is a hash of method, URI, key and body.
	fingerprint uint64
	// hops is the number of hosts that the request passed before this one. chosenTarget and epoch are the target that the
	// forwarding host chose and the epoch of its route; both are zero for a request that came from its caller.
	hops         int
	chosenTarget string
	epoch        fencer.Epoch

	// mayHaveRun is true if an earlier attempt may have run, so that the outcome can no longer be notRun.
	mayHaveRun bool
	attempts   int
	// failedTargets names the targets of failed attempts since the last wait.
	failedTargets []string
	// admitted is true while the request has a place in the admission of the host.
	admitted bool
	// reservedBytes is the number of bytes that are reserved for the body.
	reservedBytes int64
	// outcome is recorded when the exchange ends. queued is the queueing delay of the request at its dispatcher, in
	// nanoseconds.
	outcome string
	queued  atomic.Int64
}

// run accepts the request, serves it and records the result, also when the caller's connection is aborted.
func (x *exchange) run(req *http.Request, accept func(*http.Request) *sender.Fault, serve func(context.Context)) {
	x.router.active.Add(1)
	x.outcome = "aborted"
	defer x.end()
	if x.router.stopping.Load() {
		x.w.Header()["Connection"] = []string{"close"}
	}
	x.method = req.Method
	if f := accept(req); f != nil {
		x.writeFault(f)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), x.deadline)
	defer cancel()
	serve(ctx)
}

func (x *exchange) end() {
	x.router.active.Add(-1)
	if x.admitted {
		x.router.admission.release(x.state)
	}
	x.router.admission.bodyBytes.Add(-x.reservedBytes)
	// Only the host that received the request from its caller records it.
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

// serve makes attempts until one is answered or no further one is allowed.
func (x *exchange) serve(ctx context.Context) {
	x.state.retries.Deposit(x.service.Retry.RetryBudget)
	x.state.hedges.Deposit(x.service.Retry.HedgeBudget)
	waitUntil := x.start.Add(x.service.Ownership.HandoverWait)
	if waitUntil.After(x.deadline) {
		waitUntil = x.deadline
	}
	var hint *locator.Route
	for {
		current := x.router.opts.Locator.Load()
		dest, f := x.findDestination(current)
		if hint != nil && (f != nil || hint.Epoch > dest.route.Epoch) {
			dest.route, f = hint, nil
		}
		if f == nil {
			var resp *sender.Response
			resp, hint, f = x.attempt(ctx, dest)
			if f == nil {
				f = x.copyAnswer(resp)
			}
			if f == nil {
				return
			}
			x.mayHaveRun = x.mayHaveRun || f.MayHaveRun
			x.failedTargets = append(x.failedTargets, dest.route.Target)
		}
		if ctx.Err() != nil || !x.mayRetry(f, dest.countsAsAttempt(f)) {
			x.writeFault(f)
			return
		}
		if hint != nil || !x.mustWait(f, dest.table) {
			continue
		}
		if !x.waitForRoute(ctx, current, dest, f, waitUntil) {
			x.writeFault(f)
			return
		}
		x.failedTargets = nil
		if !dest.countsAsAttempt(f) {
			// These attempts are bounded by waitUntil, not by maxAttempts.
			x.attempts = 0
		}
	}
}

// mustWait reports whether the next attempt after f has to wait, because the fault ends only with time or with a newer
// Locator. A request of a shared service goes to another target at once, as long as there is one that it has not tried.
func (x *exchange) mustWait(f *sender.Fault, t *locator.Table) bool {
	switch f.Reason {
	case "noOwner", "handover", "notReady":
		return true
	case sender.ReasonStaleRoute, sender.ReasonUnreachable, "staleEpoch", "draining":
		return x.service.Keyed || t != nil && len(x.failedTargets) >= len(t.Routes)
	}
	return false
}

// staleBackoff is the wait before the next attempt if no newer route appears, after
//   - a host rejected the route as stale: the table of that host may be the older one,
//   - a target rejected the epoch: a new owner may learn of its slot only with its next heartbeat, 150 ms after the
//     last,
//   - all targets of a shared service failed.
const staleBackoff = 20 * time.Millisecond

// waitForRoute waits after an attempt at failed that ended with f. It returns true when the current Locator has another
// route for the request, or after staleBackoff for the faults named there. It returns false when ctx is done or until
// has passed.
func (x *exchange) waitForRoute(ctx context.Context, current *locator.Locator, failed destination, f *sender.Fault, until time.Time) bool {
	retryAt := until
	if f.Reason == sender.ReasonStaleRoute || f.Reason == "staleEpoch" || failed.route != nil && !x.service.Keyed {
		if retryAt = time.Now().Add(staleBackoff); retryAt.After(until) {
			retryAt = until
		}
	}
	for {
		if !x.router.watch.wait(ctx, current, retryAt) {
			return ctx.Err() == nil && time.Now().Before(until)
		}
		current = x.router.opts.Locator.Load()
		next, f := x.findDestination(current)
		if f == nil && (failed.route == nil || !sameRoute(next.route, failed.route)) {
			return true
		}
	}
}

func sameRoute(a, b *locator.Route) bool {
	return a.Target == b.Target && a.Incarnation == b.Incarnation && a.Epoch == b.Epoch && a.Host == b.Host
}

// mayRetry reports whether another attempt may be made after f. If the last one was counted, because it was for a
// target or a host that should be able to run the request, the retry is taken from the retry budget. An attempt that
// only brought a better route did not load any target.
func (x *exchange) mayRetry(f *sender.Fault, counted bool) bool {
	if x.attempts >= maxAttempts || (f.Status < http.StatusInternalServerError && !f.MayHaveRun && !f.StatedByPeer) {
		return false
	}
	switch f.Reason {
	case "suspect", sender.ReasonCancelled, sender.ReasonDeadline:
		return false
	case sender.ReasonOverloaded, "cold":
		// The owner of a key is the only target that may run the request, and its dispatcher has retried there.
		if x.service.Keyed {
			return false
		}
	}
	if x.mayHaveRun && !x.service.Idempotent(x.method) {
		return false
	}
	return !counted || x.state.retries.Withdraw(x.service.Retry.RetryBudget)
}

// destination is the route of a request, and the table and slot by which it was found.
type destination struct {
	table *locator.Table
	slot  keyer.Slot
	route *locator.Route
}

// countsAsAttempt reports whether the attempt that ended with f counts as one at a target, so that a retry after it is
// taken from the retry budget. Rejections of a stale route or epoch do not count: a hand-over that causes many of them
// for a moment must not use up the budget. The wait between their attempts bounds them.
func (d destination) countsAsAttempt(f *sender.Fault) bool {
	return d.route != nil && f.Reason != sender.ReasonStaleRoute && f.Reason != "staleEpoch"
}

// findDestination looks up the destination of the request in l.
func (x *exchange) findDestination(l *locator.Locator) (destination, *sender.Fault) {
	table, ok := l.Table(x.service.Name)
	if !ok {
		return destination{}, sender.NewRefusal("noOwner", "no routing table for the service yet")
	}
	dest := destination{
		table: table,
	}
	if !table.Keyed {
		if route := x.chooseRoute(table); route != nil {
			dest.route = route
			return dest, nil
		}
		return dest, sender.NewRefusal("noOwner", "the service has no target that takes work")
	}
	slot, route := table.OwnerOf(x.key)
	dest.slot = slot
	switch {
	case route == nil || route.Target == "":
		return dest, sender.NewRefusal("noOwner", "the slot has no owner")
	case route.Releasing:
		return dest, sender.NewRefusal("handover", "the slot is being handed over")
	case route.OutOfService:
		return dest, sender.NewRefusal("noOwner", "the owner of the slot is out of service")
	}
	dest.route = route
	return dest, nil
}

// chooseRoute picks a target of a shared service, or finds the one that the forwarding host chose.
func (x *exchange) chooseRoute(t *locator.Table) *locator.Route {
	if x.chosenTarget == "" {
		return x.state.balancer.Choose(t, time.Now(), x.failedTargets...)
	}
	for i := range t.Routes {
		if r := &t.Routes[i]; r.Target == x.chosenTarget && !r.Releasing && !r.OutOfService {
			return r
		}
	}
	return nil
}

// attempt makes one attempt, with a hedged one in parallel if that is allowed.
func (x *exchange) attempt(ctx context.Context, dest destination) (*sender.Response, *locator.Route, *sender.Fault) {
	if x.mayHaveRun && !x.service.Idempotent(x.method) {
		asserter.Check(false, asserter.AtMostOnce, "another attempt for request %s, which may have run", x.identity)
	}
	x.attempts++
	if dest.table == nil || dest.table.Keyed || x.hops > 0 {
		return x.send(ctx, dest)
	}
	resp, f := x.sendHedged(ctx, dest.table, dest.route)
	return resp, nil, f
}

// send sends the request to the target if this host dispatches for it, otherwise to the host that does.
func (x *exchange) send(ctx context.Context, dest destination) (*sender.Response, *locator.Route, *sender.Fault) {
	if !dest.route.Local {
		return x.forward(ctx, dest.slot, dest.route)
	}
	j := dispatcher.Job{
		Service:        x.service,
		Table:          dest.table,
		Key:            x.key,
		Slot:           dest.slot,
		Route:          dest.route,
		Method:         x.method,
		URI:            x.uri,
		Host:           x.hostHeader,
		Header:         x.header,
		Body:           x.body,
		Identity:       x.identity,
		CallerIdentity: x.callerIdentity,
		Fingerprint:    x.fingerprint,
		Deadline:       x.deadline,
	}
	if x.service.Keyed {
		j.MayRetry = func() bool {
			return x.state.retries.Withdraw(x.service.Retry.RetryBudget)
		}
	}
	resp, f := x.router.dispatcher.Dispatch(ctx, &j)
	x.queued.Store(int64(j.Queued))
	return resp, nil, f
}
