package forwarder

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/viewer"
)

// attempt sends the request to t. It returns the answer to deliver, or whether another attempt may be made.
func (x *exchange) attempt(ctx context.Context, t *viewer.Target) (a *acceptor.Answer, again bool) {
	sel := x.f.opts.Selector
	start := time.Now()
	x.sends++
	x.comeBack = returnNoTarget
	if !slices.Contains(x.tried, t.Incarnation) {
		x.tried = append(x.tried, t.Incarnation)
	}
	work := x.f.workOf(x.route.Name)
	res := selector.Result{
		Work: work.expected(),
	}
	idle := sel.Estimate(start, t, res.Work).Wait == 0
	sel.Begin(start, t.Incarnation)
	defer func() { sel.End(time.Now(), t.Incarnation, res) }()

	ended := x.watch(t, start)
	resp, body, fault := x.send(ctx, t, start)
	ended(fault)
	if fault != nil {
		res.Broken = fault.Reason != sender.ReasonCancelled && fault.Reason != sender.ReasonOverloaded && ctx.Err() == nil
		return nil, x.broken(t, fault)
	}
	reply := x.f.opts.Codec.Reply(resp.Status, resp.Header)
	res.Load = reply.Load
	if !resp.Echoed {
		// Even a refusal proves nothing: it may be a second copy of one that another request on the connection got.
		x.ran++
		x.fault(t, sender.ReasonCrossed, "answer has no identity")
		return nil, x.route.Repeatable
	}
	if reply.NotRun {
		res.Failed = !reply.Misdirected
		return nil, x.turnedAway(ctx, t, reply)
	}
	took := time.Since(start)
	if resp.Status >= http.StatusInternalServerError {
		res.Failed = true
		x.ran++
		if x.mayRepeat(resp.Status) {
			x.fault(t, "targetFailed", strconv.Itoa(resp.Status))
			return nil, true
		}
	} else {
		// Time in the queue says nothing of the work or of the target's pace.
		if idle && (res.Load == nil || res.Load.Waiting == 0) {
			res.Took = took
			x.pace(t, res)
			res.Took = atUsualSpeed(took, res.Load)
			work.learn(res.Took)
		}
	}
	x.result = "answered"
	x.logAnswer(t, resp.Status, took, res.Load)
	return &acceptor.Answer{
		Status: resp.Status,
		Header: forwarded(resp.Header, func(string) bool { return false }),
		Body:   body,
	}, false
}

// atUsualSpeed returns how long a request would have taken at a target of usual speed, if the target says how fast it is.
func atUsualSpeed(took time.Duration, load *selector.Load) time.Duration {
	if load == nil || load.Slowness <= 0 {
		return took
	}
	return time.Duration(float64(took) / load.Slowness)
}

// mayRepeat reports whether another target may do better with a request that a target failed.
func (x *exchange) mayRepeat(status int) bool {
	return x.route.Repeatable && status != http.StatusGatewayTimeout && !x.service.Keyed &&
		x.ran < max(1, x.route.MaxAttempts) && time.Until(x.limit) > 2*x.f.workOf(x.route.Name).expected()
}

func (x *exchange) send(ctx context.Context, t *viewer.Target, start time.Time) (*sender.Response, []byte, *sender.Fault) {
	resp, fault := x.f.opts.Sender.Send(ctx, &sender.Request{
		Addr:         t.Addr,
		Method:       x.req.Method,
		URI:          x.req.URI,
		Host:         x.req.Host,
		Header:       x.header,
		Fields:       x.f.opts.Codec.Fields(x.call, t, x.limit.Sub(start)),
		Body:         x.req.Body,
		Identity:     x.call.ID,
		EchoHeader:   x.f.opts.Codec.EchoHeader(),
		EchoOptional: true,
		Undelimited:  true,
		Deadline:     x.limit,
		Connections:  x.connections(),
		Settle:       settleTime,
	})
	if fault != nil {
		return nil, nil, fault
	}
	body, err := x.readAll(resp)
	closeErr := resp.Close()
	if err != nil {
		f, ok := err.(*sender.Fault)
		if !ok {
			f = sender.NewFault(sender.ReasonCut, http.StatusBadGateway, err)
			f.MayHaveRun = true
		}
		return nil, nil, f
	}
	if closeErr != nil {
		x.lastErr = closeErr.Error()
	}
	return resp, body, nil
}

// connections returns how many connections to one target this host may have: the hosts together stay below the number at
// which the target resets further ones.
func (x *exchange) connections() int {
	hosts := 1
	if v, _ := x.f.opts.View(); v != nil {
		hosts = max(1, v.Hosts)
	}
	return max(minConnections, int(connectionShare*float64(x.service.Connections))/hosts)
}

// broken handles an attempt without an answer, and reports whether another one may be made.
func (x *exchange) broken(t *viewer.Target, f *sender.Fault) bool {
	if f.MayHaveRun {
		x.ran++
	}
	x.fault(t, f.Reason, f.Error())
	if !f.MayHaveRun {
		// The connection was refused or none was free: another target may take the request, but a key has only one.
		return !x.service.Keyed
	}
	return x.route.Repeatable && !x.service.Keyed
}

// turnedAway handles a target's statement that it did not run the request, and reports whether another attempt may be
// made.
func (x *exchange) turnedAway(ctx context.Context, t *viewer.Target, r Reply) bool {
	if !r.Misdirected {
		x.fault(t, reasonOverloaded, "target turned the request away")
		// With slots free it turns work away at random, so the same target may take the next attempt.
		room := r.Load != nil && r.Load.Running < r.Load.Slots
		if room {
			x.comeBack = returnAtOnce
		}
		return room || !x.service.Keyed
	}
	x.fault(t, sender.ReasonStaleRoute, "target is another one or does not hold the key")
	if !x.service.Keyed {
		return true
	}
	x.stale = true
	x.staleTries++
	v, changed := x.f.opts.View()
	if owner, _ := x.ownerIn(v, time.Now()); owner == nil && !x.await(ctx, changed, grantWait) {
		// No other owner is known, so the grant may have been late.
		x.stale = false
	}
	return x.staleTries < maxStale && ctx.Err() == nil
}

func (x *exchange) fault(t *viewer.Target, reason, detail string) {
	x.result, x.lastErr = reason, detail
	x.f.opts.Log.Info("attempt", "request", x.call.ID, "route", x.route.Name, "service", x.service.Name, "key", x.keyText(),
		"target", t.ID, "attempt", x.sends, "outcome", reason, "detail", detail, "mayHaveRun", x.ran > 0,
		"left", time.Until(x.limit).Milliseconds(), "index", x.index())
}

// pace tells the meter how fast the target is, if the answer says anything of that.
func (x *exchange) pace(t *viewer.Target, res selector.Result) {
	if x.f.opts.Meter == nil || !x.service.Keyed || res.Took <= 0 {
		return
	}
	x.f.opts.Meter.Pace(x.service.Name, t.ID, res.Took, res.Work)
}
