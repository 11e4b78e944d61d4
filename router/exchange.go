package router

import (
	"context"
	"net/http"
	"time"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/dispatcher"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/sender"
)

// maxAttempts bounds the attempts for one request, whatever the budgets allow.
const maxAttempts = 8

// exchange is one request and its answer.
type exchange struct {
	router     *Router
	w          http.ResponseWriter
	start      time.Time
	deadline   time.Time
	service    *configurer.Service
	idempotent func(method string) bool

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
}

// serve makes attempts until one brings an answer or no further one is allowed.
func (x *exchange) serve(ctx context.Context) {
	handover := x.start.Add(x.service.Ownership.HandoverWait)
	if handover.After(x.deadline) {
		handover = x.deadline
	}
	var hint *locator.Route
	for {
		current := x.router.opts.Locator.Load()
		slot, route, f := x.route(current)
		if f == nil {
			if hint != nil && hint.Epoch > route.Epoch {
				route = hint
			}
			var resp *sender.Response
			resp, hint, f = x.attempt(ctx, slot, route)
			if f == nil {
				x.pass(resp)
				return
			}
			x.mayHaveRun = x.mayHaveRun || f.MayHaveRun
		}
		if ctx.Err() != nil || !x.again(f) {
			x.refuse(f)
			return
		}
		if hint == nil && waits(f) && !x.router.watch.wait(ctx, current, handover) {
			x.refuse(f)
			return
		}
	}
}

// waits reports whether a fault goes away only with a newer Locator.
func waits(f *sender.Fault) bool {
	switch f.Reason {
	case sender.ReasonStaleRoute, sender.ReasonUnreachable, "staleEpoch", "draining", "noOwner", "handover", "notReady":
		return true
	}
	return false
}

// again reports whether another attempt may be made after f.
func (x *exchange) again(f *sender.Fault) bool {
	if f.Reason == "suspect" || (f.Status < 500 && !f.MayHaveRun) || x.attempts >= maxAttempts {
		return false
	}
	return !x.mayHaveRun || x.idempotent(x.method)
}

// route finds the route of the request in l.
func (x *exchange) route(l *locator.Locator) (keyer.Slot, *locator.Route, *sender.Fault) {
	table, ok := l.Table(x.service.Name)
	if !ok {
		return 0, nil, sender.Refused("noOwner", "no routing table for the service yet")
	}
	if !table.Keyed {
		route := x.choose(table)
		if route == nil {
			return 0, nil, sender.Refused("noOwner", "the service has no target")
		}
		return 0, route, nil
	}
	slot, route := table.OwnerOf(x.key)
	switch {
	case route == nil || route.Target == "":
		return slot, nil, sender.Refused("noOwner", "the slot has no owner")
	case route.Releasing:
		return slot, nil, sender.Refused("handover", "the slot is being handed over")
	case route.OutOfService:
		return slot, nil, sender.Refused("noOwner", "the owner of the slot is out of service")
	}
	return slot, route, nil
}

// choose picks a target of a shared service.
func (x *exchange) choose(t *locator.Table) *locator.Route {
	n := len(t.Routes)
	for i := range n {
		route := &t.Routes[(int(x.fingerprint%uint64(max(1, n)))+x.attempts+i)%n]
		if x.target != "" && route.Target != x.target {
			continue
		}
		if !route.Releasing && !route.OutOfService {
			return route
		}
	}
	return nil
}

// attempt sends the request to the target if this host dispatches for it, else to the host that does.
func (x *exchange) attempt(ctx context.Context, slot keyer.Slot, route *locator.Route) (*sender.Response, *locator.Route, *sender.Fault) {
	asserter.Check(!x.mayHaveRun || x.idempotent(x.method), asserter.AtMostOnce,
		"another attempt for request %s, which may have run", x.identity)
	x.attempts++
	if !route.Local {
		return x.forward(ctx, slot, route)
	}
	resp, f := x.router.dispatcher.Dispatch(ctx, &dispatcher.Job{
		Service:     x.service,
		Key:         x.key,
		Slot:        slot,
		Route:       route,
		Method:      x.method,
		URI:         x.uri,
		Host:        x.host,
		Header:      x.header,
		Body:        x.body,
		Identity:    x.identity,
		Caller:      x.caller,
		Fingerprint: x.fingerprint,
		Deadline:    x.deadline,
	})
	return resp, nil, f
}
