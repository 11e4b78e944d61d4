package router

import (
	"context"
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
	// maxHops bounds how often a request is forwarded: a host that has only the data centre of a slot's owner in its table
	// forwards to any host there, and that one forwards to the dispatching host.
	maxHops = 2
	// peerMargin is subtracted from the deadline that is sent to the other host, so that an answer "not run" of that host
	// arrives before this host has to answer "unknown". It covers a round trip between data centres (3 ms).
	peerMargin = 5 * time.Millisecond
	// maxPeerConnections bounds the connections to one host. It is of the order of the requests that the targets of a host
	// hold: 20 targets with 4 request slots and a queue of 64 each.
	maxPeerConnections = 1024
)

// forward sends the request to the host that dispatches for route. It returns a newer route if that host answers with
// one.
func (x *exchange) forward(ctx context.Context, slot keyer.Slot, route *locator.Route) (*sender.Response, *locator.Route, *sender.Fault) {
	if x.hops >= maxHops || route.Host == x.router.opts.Host || !route.Peer.IsValid() {
		return nil, nil, sender.NewRefusal(sender.ReasonStaleRoute, "no way to the dispatching host of the target")
	}
	epoch := strconv.FormatUint(uint64(route.Epoch), 10)
	deadline := strconv.FormatInt(max(1, (time.Until(x.deadline)-peerMargin).Milliseconds()), 10)
	hops := strconv.Itoa(x.hops + 1)
	signature := x.router.signer.Sign([][]byte{x.body}, x.service.Name, x.key, route.Target, epoch, x.identity, deadline, hops,
		x.callerIdentity, x.method, x.uri)
	fields := []sender.Field{
		{Name: "Bramleyline-Service", Value: x.service.Name},
		{Name: "Bramleyline-Target", Value: route.Target},
		{Name: "Bramleyline-Slot", Value: strconv.FormatUint(uint64(slot), 10)},
		{Name: "Bramleyline-Epoch", Value: epoch},
		{Name: "Bramleyline-Request", Value: x.identity},
		{Name: "Bramleyline-Deadline", Value: deadline},
		{Name: "Bramleyline-Hops", Value: hops},
		{Name: "Bramleyline-Signature", Value: signature},
	}
	if x.callerIdentity != "" {
		fields = append(fields, sender.Field{Name: "Bramleyline-Caller-Request", Value: x.callerIdentity})
	}
	resp, f := x.router.sender.Send(ctx, &sender.Request{
		Addr:        route.Peer,
		TLS:         x.router.peerTLS(route.Peer.Addr()),
		Method:      x.method,
		URI:         x.uri,
		Host:        x.hostHeader,
		Header:      x.header,
		Fields:      fields,
		Body:        [][]byte{x.body},
		Identity:    x.identity,
		Deadline:    x.deadline,
		Connections: maxPeerConnections,
	})
	if f != nil {
		return nil, nil, f
	}
	if us, err := strconv.ParseInt(resp.Header.Get("Bramleyline-Queued"), 10, 64); err == nil {
		x.queued.Store(us * int64(time.Microsecond))
	}
	return checkPeerAnswer(resp)
}

// checkPeerAnswer turns an answer that the other host made itself into a fault, with the newer route that it names, if
// any. Such an answer has an outcome header; from answers of targets the other host removes that header. One that breaks off
// proves nothing.
func checkPeerAnswer(resp *sender.Response) (*sender.Response, *locator.Route, *sender.Fault) {
	outcome := resp.Header.Get("Bramleyline-Outcome")
	if outcome == "" {
		return resp, nil, nil
	}
	_, f := resp.ReadAll()
	_ = resp.Close()
	if f != nil {
		return nil, nil, f
	}
	f = sender.NewFault(resp.Header.Get("Bramleyline-Reason"), resp.Status, errors.New("dispatching host refused"))
	f.StatedByPeer = true
	f.MayHaveRun = outcome != "notRun"
	return nil, newerRoute(resp.Header), f
}

// newerRoute returns the route that a host sent in place of the one by which it was reached, nil if it sent none.
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

// acceptPeer reads a forwarded request, checks it against the limits of its service and verifies its signature.
func (x *exchange) acceptPeer(req *http.Request) *sender.Fault {
	h := req.Header
	var err error
	x.identity = h.Get("Bramleyline-Request")
	x.hops, err = strconv.Atoi(h.Get("Bramleyline-Hops"))
	if err != nil || x.hops < 1 || x.hops > maxHops {
		x.hops = maxHops
		return refusal(http.StatusLoopDetected, "tooManyHops", errors.New("request passed too many hosts"))
	}
	if f := x.admit(h.Get("Bramleyline-Service")); f != nil {
		return f
	}
	ms, err := strconv.ParseInt(h.Get("Bramleyline-Deadline"), 10, 64)
	if err != nil || ms <= 0 {
		return refusal(http.StatusBadRequest, "badRequest", errors.New("forwarded request has no deadline"))
	}
	x.deadline = x.start.Add(min(time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond, maxDeadline))
	x.chosenTarget, x.callerIdentity = h.Get("Bramleyline-Target"), h.Get("Bramleyline-Caller-Request")
	x.method, x.uri, x.hostHeader, x.header = req.Method, req.RequestURI, req.Host, h
	epoch, deadline, hops, signature := h.Get("Bramleyline-Epoch"), h.Get("Bramleyline-Deadline"),
		h.Get("Bramleyline-Hops"), h.Get("Bramleyline-Signature")
	stripHeaders(h)
	if f := x.findKey(); f != nil {
		return f
	}
	if f := x.readBody(req); f != nil {
		return f
	}
	if !x.router.signer.Verify(signature, [][]byte{x.body}, x.service.Name, x.key, x.chosenTarget, epoch, x.identity, deadline, hops,
		x.callerIdentity, x.method, x.uri) {
		return refusal(http.StatusUnauthorized, "unauthorized", errors.New("forwarded request has no valid signature"))
	}
	e, _ := strconv.ParseUint(epoch, 10, 64)
	x.epoch = fencer.Epoch(e)
	return nil
}

// servePeer makes one attempt for a forwarded request. The host that received it from its caller decides on retries.
func (x *exchange) servePeer(ctx context.Context) {
	x.state.retries.Deposit(x.service.Retry.RetryBudget)
	dest, f := x.findDestination(x.router.opts.Locator.Load())
	if f == nil && dest.route.Epoch < x.epoch {
		f = sender.NewRefusal(sender.ReasonStaleRoute, "the table of this host is older than the request")
	}
	var resp *sender.Response
	var newer *locator.Route
	if f == nil {
		resp, newer, f = x.attempt(ctx, dest)
		x.writeLoadHeaders(dest.route)
	}
	if f == nil {
		f = x.copyAnswer(resp)
	}
	if f == nil {
		return
	}
	if newer == nil && dest.route != nil && dest.route.Epoch > x.epoch && !dest.route.Local {
		newer = dest.route
	}
	if newer != nil {
		h := x.w.Header()
		h.Set("Bramleyline-Route-Target", newer.Target)
		h.Set("Bramleyline-Route-Host", newer.Host)
		h.Set("Bramleyline-Route-Peer", newer.Peer.String())
		h.Set("Bramleyline-Route-Epoch", strconv.FormatUint(uint64(newer.Epoch), 10))
	}
	x.mayHaveRun = x.mayHaveRun || f.MayHaveRun
	x.writeFault(f)
}

// writeLoadHeaders reports to the forwarding host the load of the target, as the number of requests in progress and
// queued, and the queueing delay of this request in microseconds.
func (x *exchange) writeLoadHeaders(route *locator.Route) {
	h := x.w.Header()
	if !x.service.Keyed {
		h["Bramleyline-Load"] = []string{strconv.Itoa(x.router.dispatcher.Load(x.service.Name, route))}
	}
	if queued := time.Duration(x.queued.Load()); queued > 0 {
		h["Bramleyline-Queued"] = []string{strconv.FormatInt(queued.Microseconds(), 10)}
	}
}

// recordLoad passes the load that the dispatching host reported with resp to the balancer. There is no such report if
// this host dispatches for the target itself.
func (x *exchange) recordLoad(t *locator.Table, route *locator.Route, resp *sender.Response) {
	if route.Local {
		return
	}
	if load, err := strconv.ParseFloat(resp.Header.Get("Bramleyline-Load"), 64); err == nil {
		x.state.balancer.Report(t, route, load, time.Now(), x.service.Limits.ReportMaxAge)
	}
}
