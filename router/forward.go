package router

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/sender"
)

const (
	// maxHops bounds the hosts that one request passes: one that knows only the data centre of a slot, and the
	// dispatching host.
	maxHops = 2
	// peerMargin is taken off the deadline for the other host, so that its statement that a request was not run arrives
	// before this host has to say that it does not know. It covers a round trip between data centres (3 ms).
	peerMargin = 5 * time.Millisecond
	// peerConnections bounds the connections to one host: its targets (20, with 4 request slots and a queue of 64 each)
	// have room for no more requests.
	peerConnections = 1024
)

// forward sends the request to the host that dispatches for route, and returns a newer route if that host knows one.
func (x *exchange) forward(ctx context.Context, slot keyer.Slot, route *locator.Route) (*sender.Response, *locator.Route, *sender.Fault) {
	if x.hops >= maxHops || route.Host == x.router.opts.Host || !route.Peer.IsValid() {
		return nil, nil, sender.Refused(sender.ReasonStaleRoute, "no way to the dispatching host of the target")
	}
	epoch := strconv.FormatUint(uint64(route.Epoch), 10)
	deadline := strconv.FormatInt(max(1, (time.Until(x.deadline)-peerMargin).Milliseconds()), 10)
	hops := strconv.Itoa(x.hops + 1)
	sum := x.router.signer.sign(x.body, x.service.Name, x.key, route.Target, epoch, x.identity, deadline, hops, x.caller,
		x.method, x.uri)
	fields := []sender.Field{
		{Name: "Bramleyline-Service", Value: x.service.Name},
		{Name: "Bramleyline-Target", Value: route.Target},
		{Name: "Bramleyline-Slot", Value: strconv.FormatUint(uint64(slot), 10)},
		{Name: "Bramleyline-Epoch", Value: epoch},
		{Name: "Bramleyline-Request", Value: x.identity},
		{Name: "Bramleyline-Deadline", Value: deadline},
		{Name: "Bramleyline-Hops", Value: hops},
		{Name: "Bramleyline-Signature", Value: sum},
	}
	if x.caller != "" {
		fields = append(fields, sender.Field{Name: "Bramleyline-Caller-Request", Value: x.caller})
	}
	resp, f := x.router.sender.Send(ctx, &sender.Request{
		Addr:        route.Peer,
		TLS:         x.router.peerTLS(route.Peer.Addr()),
		Method:      x.method,
		URI:         x.uri,
		Host:        x.host,
		Header:      x.header,
		Fields:      fields,
		Body:        x.body,
		Identity:    x.identity,
		Deadline:    x.deadline,
		Connections: peerConnections,
	})
	if f != nil {
		return nil, nil, f
	}
	if us, err := strconv.ParseInt(resp.Header.Get("Bramleyline-Queued"), 10, 64); err == nil {
		x.queued.Store(us * int64(time.Microsecond))
	}
	return stated(resp)
}

// stated turns an answer that the other host made itself into a fault. Answers of targets carry no outcome there.
func stated(resp *sender.Response) (*sender.Response, *locator.Route, *sender.Fault) {
	outcome := resp.Header.Get("Bramleyline-Outcome")
	if outcome == "" {
		return resp, nil, nil
	}
	_, _ = io.CopyN(io.Discard, resp, 4<<10)
	_ = resp.Close()
	f := sender.NewFault(resp.Header.Get("Bramleyline-Reason"), resp.Status, errors.New("dispatching host refused"))
	f.Said = true
	f.MayHaveRun = outcome != "notRun"
	return nil, newerRoute(resp.Header), f
}

// newerRoute reads the route that a host knows in place of the one by which it was reached.
func newerRoute(h http.Header) *locator.Route {
	peer, err := netip.ParseAddrPort(h.Get("Bramleyline-Route-Peer"))
	if err != nil {
		return nil
	}
	epoch, err := strconv.ParseUint(h.Get("Bramleyline-Route-Epoch"), 10, 64)
	if err != nil {
		return nil
	}
	return &locator.Route{
		Target: h.Get("Bramleyline-Route-Target"),
		Host:   h.Get("Bramleyline-Route-Host"),
		Peer:   peer,
		Epoch:  fencer.Epoch(epoch),
	}
}

// acceptPeer reads a forwarded request.
func (x *exchange) acceptPeer(req *http.Request) *sender.Fault {
	h := req.Header
	var err error
	x.identity = h.Get("Bramleyline-Request")
	x.hops, err = strconv.Atoi(h.Get("Bramleyline-Hops"))
	if err != nil || x.hops < 1 || x.hops > maxHops {
		x.hops = maxHops
		return refusal(http.StatusLoopDetected, "tooManyHops", errors.New("request passed too many hosts"))
	}
	if f := x.find(h.Get("Bramleyline-Service")); f != nil {
		return f
	}
	ms, err := strconv.ParseInt(h.Get("Bramleyline-Deadline"), 10, 64)
	if err != nil || ms <= 0 {
		return refusal(http.StatusBadRequest, "badRequest", errors.New("forwarded request has no deadline"))
	}
	x.deadline = x.start.Add(min(time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond, maxDeadline))
	x.target, x.caller = h.Get("Bramleyline-Target"), h.Get("Bramleyline-Caller-Request")
	x.method, x.uri, x.host, x.header = req.Method, req.RequestURI, req.Host, h
	epoch, deadline, hops, sum := h.Get("Bramleyline-Epoch"), h.Get("Bramleyline-Deadline"), h.Get("Bramleyline-Hops"), h.Get("Bramleyline-Signature")
	strip(h)
	if f := x.findKey(); f != nil {
		return f
	}
	if f := x.readBody(req); f != nil {
		return f
	}
	if !x.router.signer.verify(sum, x.body, x.service.Name, x.key, x.target, epoch, x.identity, deadline, hops, x.caller, x.method,
		x.uri) {
		return refusal(http.StatusUnauthorized, "unauthorized", errors.New("forwarded request has no valid signature"))
	}
	e, _ := strconv.ParseUint(epoch, 10, 64)
	x.epoch = fencer.Epoch(e)
	return nil
}

// servePeer makes one attempt for a forwarded request; the first host decides on retries.
func (x *exchange) servePeer(ctx context.Context) {
	x.state.retries.First(x.service.Retry.RetryBudget)
	w, f := x.route(x.router.opts.Locator.Load())
	if f == nil && w.route.Epoch < x.epoch {
		f = sender.Refused(sender.ReasonStaleRoute, "the table of this host is older than the request")
	}
	var resp *sender.Response
	var newer *locator.Route
	if f == nil {
		resp, newer, f = x.attempt(ctx, w)
		x.load(w.route)
	}
	if f == nil {
		f = x.pass(resp)
	}
	if f == nil {
		return
	}
	if newer == nil && w.route != nil && w.route.Epoch > x.epoch && !w.route.Local {
		newer = w.route
	}
	if newer != nil {
		h := x.w.Header()
		h.Set("Bramleyline-Route-Target", newer.Target)
		h.Set("Bramleyline-Route-Host", newer.Host)
		h.Set("Bramleyline-Route-Peer", newer.Peer.String())
		h.Set("Bramleyline-Route-Epoch", strconv.FormatUint(uint64(newer.Epoch), 10))
	}
	x.mayHaveRun = x.mayHaveRun || f.MayHaveRun
	x.refuse(f)
}

// load tells the forwarding host how much work the target has and how long the request waited.
func (x *exchange) load(route *locator.Route) {
	h := x.w.Header()
	if !x.service.Keyed {
		h["Bramleyline-Load"] = []string{strconv.Itoa(x.router.dispatcher.Load(x.service.Name, route))}
	}
	if queued := time.Duration(x.queued.Load()); queued > 0 {
		h["Bramleyline-Queued"] = []string{strconv.FormatInt(queued.Microseconds(), 10)}
	}
}

// reported reads what load wrote. The answer of a target that this host dispatches for itself has no such headers.
func (x *exchange) reported(t *locator.Table, route *locator.Route, resp *sender.Response) {
	if route.Local {
		return
	}
	if load, err := strconv.ParseFloat(resp.Header.Get("Bramleyline-Load"), 64); err == nil {
		x.state.balancer.Report(t, route, load, time.Now(), x.service.Limits.ReportMaxAge)
	}
}
