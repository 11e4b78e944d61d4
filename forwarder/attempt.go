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
	"bramleyline.example/bramleyline/stripper"
	"bramleyline.example/bramleyline/timekeeper"
	"bramleyline.example/bramleyline/viewer"
)

// attempt sends the request to t once. It returns the answer to deliver, or nil and whether a retry is allowed.
func (x *exchange) attempt(ctx context.Context, t *viewer.Target) (a *acceptor.Answer, retry bool) {
	sel := x.f.opts.Selector
	start := time.Now()
	x.attempts++
	x.retryAfter = retryAfterNoTarget
	if !slices.Contains(x.tried, t.Incarnation) {
		x.tried = append(x.tried, t.Incarnation)
	}
	serviceTime := x.f.serviceTime(x.route.Name)
	res := selector.Result{
		Work: serviceTime.expected(),
	}
	idle := sel.Estimate(start, t, res.Work).Wait == 0
	sel.Begin(start, t.Incarnation)
	defer func() { sel.End(time.Now(), t.Incarnation, res) }()
	x.enter(t)
	defer x.leave()

	tracked := x.trackAttempt(t, start)
	if l := x.f.opts.Links; l != nil {
		l.Begin(start)
	}
	resp, body, fault := x.send(ctx, t)
	if l := x.f.opts.Links; l != nil {
		l.End(time.Now(), fault == nil)
	}
	if fault != nil {
		tracked.failed(fault)
		x.observeUploadFault(t, fault)
		res.Unanswered = fault.Reason != sender.ReasonCancelled && fault.Reason != sender.ReasonOverloaded &&
			!unsentByChoice(fault) && ctx.Err() == nil
		return nil, x.noAnswer(t, fault)
	}
	reply := x.f.opts.Codec.Reply(resp.Status, resp.Header)
	res.Load = reply.Load
	if !resp.Echoed {
		// Even a rejection proves nothing here: it may be a late duplicate of the answer to another request on this
		// connection.
		tracked.crossed()
		x.possibleRuns++
		x.recordFailure(t, sender.ReasonCrossed, "answer has no identity")
		return nil, x.route.Repeatable
	}
	tracked.answered(resp.Status, reply.NotRun)
	if v := x.f.opts.Validity; v != nil && !resp.Closing && !reply.Misdirected {
		// Each answer of a target that leaves closes its connection (RFC 9112, section 9.6).
		v.Confirm(x.sentAt, t.Incarnation)
	}
	x.observeLimit(t, reply)
	x.f.serviceLoad(x.service.Name).observeVariation(t, reply.Load)
	if reply.NotRun {
		res.Failed = !reply.Misdirected
		return nil, x.rejected(ctx, t, reply)
	}
	took := time.Since(start) - resp.LinkWait
	res.Latency = took
	if resp.Status >= http.StatusInternalServerError {
		res.Failed = true
		x.possibleRuns++
		if x.mayRetry(resp.Status) {
			x.recordFailure(t, "targetFailed", strconv.Itoa(resp.Status))
			return nil, true
		}
	} else {
		// A time that includes queueing delay measures neither the service time nor the slowness of the target.
		if idle && (res.Load == nil || res.Load.Waiting == 0) {
			res.Took = took
			x.reportSlowness(t, res)
			res.Took = normalizedTime(took, res.Load)
			serviceTime.update(res.Took)
			x.f.serviceLoad(x.service.Name).observe(res.Took)
		}
	}
	x.result = "answered"
	x.logAnswer(t, resp.Status, took, res.Load)
	return &acceptor.Answer{
		Status: resp.Status,
		Header: stripper.EndToEnd(resp.Header, func(string) bool { return false }),
		Body:   body,

		Held: x.passOn(),
	}, false
}

// observeLimit records the limit that an answer of t stated. A misdirected answer may come from another target.
func (x *exchange) observeLimit(t *viewer.Target, r Reply) {
	switch {
	case r.Misdirected:
	case r.LimitUnreadable:
		x.f.opts.Limiter.Unreadable(t.Incarnation, x.service.Name)
	default:
		x.f.opts.Limiter.Observe(t.Incarnation, x.service.Name, r.Limit)
	}
}

// normalizedTime returns the time that a request would have taken at a target of usual slowness: took divided by the
// slowness that the target reported, or took itself if it reported none.
func normalizedTime(took time.Duration, load *selector.Load) time.Duration {
	if load == nil || load.Slowness <= 0 {
		return took
	}
	return time.Duration(float64(took) / load.Slowness)
}

// mayRetry reports whether a request that a target answered with a server error may be retried at another target.
func (x *exchange) mayRetry(status int) bool {
	return x.route.Repeatable && status != http.StatusGatewayTimeout && !x.service.Keyed &&
		x.possibleRuns < max(1, x.route.MaxAttempts) &&
		time.Until(x.deadline) > 2*x.f.serviceTime(x.route.Name).expected()
}

func (x *exchange) send(ctx context.Context, t *viewer.Target) (*sender.Response, []byte, *sender.Fault) {
	chosen := time.Now()
	resp, fault := x.f.opts.Sender.Send(ctx, &sender.Request{
		Addr:         t.Addr,
		Method:       x.req.Method,
		URI:          x.req.URI,
		Host:         x.req.Host,
		Header:       x.header,
		LateFields:   func() []sender.Field { return x.f.opts.Codec.Fields(x.call, t, time.Until(x.deadline)) },
		Body:         x.req.Body,
		Identity:     x.call.ID,
		EchoHeader:   x.f.opts.Codec.EchoHeader(),
		EchoOptional: true,
		Undelimited:  true,
		Deadline:     x.deadline,
		Connections:  x.maxConnections(),
		SettleTime:   settleTime,
		Check: func() error {
			x.queued, x.staleness, x.sentAt = time.Since(chosen), x.viewStaleness(), timekeeper.Now()
			return x.recheck(t)
		},

		UniqueIdentity: true,
	})
	if fault != nil {
		return nil, nil, fault
	}
	body, fault := resp.ReadAll()
	if fault == nil {
		x.keep(resp)
	}
	if err := resp.Close(); err != nil {
		x.lastErr = err.Error()
	}
	return resp, body, fault
}

// keep holds the memory of an answer, instead of that of the answer before, until it is released or passed on.
func (x *exchange) keep(resp *sender.Response) {
	x.release()
	resp.Keep()
	x.resp = resp
}

// passOn returns the memory of the last answer, which is to be released once its caller has it.
func (x *exchange) passOn() acceptor.Releaser {
	resp := x.resp
	x.resp = nil
	return resp
}

// release frees the memory that is reserved for the last answer.
func (x *exchange) release() {
	if x.resp != nil {
		x.resp.Release()
		x.resp = nil
	}
}

// maxConnections returns the number of connections that this host may open to one target, so that all hosts together
// stay below the number at which the target resets new ones.
func (x *exchange) maxConnections() int {
	hosts := 1
	if v, _ := x.f.opts.View(); v != nil {
		hosts = max(1, v.Hosts)
	}
	return max(minConnections, int(connectionShare*float64(x.service.Connections))/hosts)
}

// noAnswer handles an attempt without an answer and reports whether a retry is allowed.
func (x *exchange) noAnswer(t *viewer.Target, f *sender.Fault) bool {
	if f.MayHaveRun {
		x.possibleRuns++
	}
	if unsentByChoice(f) {
		x.attempts--
		x.withheld++
		counters.Add("withheld", 1)
	}
	x.recordFailure(t, f.Reason, f.Error())
	if !f.MayHaveRun {
		// The connection was refused or none was free. Another target may run the request, but a key has only one
		// owner, unless the key has moved.
		return !x.service.Keyed || unsentByChoice(f)
	}
	return x.route.Repeatable && !x.service.Keyed
}

// rejected handles a target's rejection, which says that it did not run the request, and reports whether a retry is
// allowed.
func (x *exchange) rejected(ctx context.Context, t *viewer.Target, r Reply) bool {
	if !r.Misdirected {
		x.recordFailure(t, reasonOverloaded, "target turned the request away")
		// A target with free slots rejects requests at random, so it may accept the next attempt.
		freeSlots := r.Load != nil && r.Load.Running < r.Load.Slots
		if freeSlots {
			x.retryAfter = retryAfterRejection
		}
		return freeSlots || !x.service.Keyed
	}
	x.recordFailure(t, sender.ReasonStaleRoute, "target is another one or does not hold the key")
	if !x.service.Keyed {
		return true
	}
	x.ownerStale = true
	x.staleAttempts++
	v, changed := x.f.opts.View()
	if owner, _ := x.usableOwner(v, time.Now()); owner == nil && !x.awaitView(ctx, changed, grantWait) {
		// No other owner is known. The target's grant may still have been in flight, so the same target is tried again.
		x.ownerStale = false
	}
	return x.staleAttempts < maxStaleAttempts && ctx.Err() == nil
}

func (x *exchange) recordFailure(t *viewer.Target, reason, detail string) {
	x.result, x.lastErr = reason, detail
	x.f.opts.Log.Info("attempt", "request", x.call.ID, "route", x.route.Name, "service", x.service.Name, "key", x.keyText(),
		"target", t.ID, "attempt", x.attempts, "outcome", reason, "detail", detail, "mayHaveRun", x.possibleRuns > 0,
		"left", time.Until(x.deadline).Milliseconds(), "index", x.index(), "queued", x.queued.Milliseconds(),
		"staleness", x.staleness.Milliseconds())
}

// reportSlowness passes the observed time of a request at a target of a keyed service to the meter, if it was measured.
func (x *exchange) reportSlowness(t *viewer.Target, res selector.Result) {
	if x.f.opts.Meter == nil || !x.service.Keyed || res.Took <= 0 {
		return
	}
	x.f.opts.Meter.ObserveSlowness(x.service.Name, t.ID, res.Took, res.Work)
}
