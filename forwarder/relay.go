package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/sender"
)

// Links tells whether this host has lost its links to targets.
type Links interface {
	// Begin and End record an attempt at a target, and whether it was answered.
	Begin(now time.Time)
	End(now time.Time, answered bool)
	// Lost reports whether the links are lost. Check does so after a failure, and may wait for a probe.
	Lost() bool
	Check(ctx context.Context) bool
}

// retryAfterNoLinks and its spread give the Retry-After delay where no host is known to reach targets. It is longer than
// the time in which returned links are noticed, and spread so that callers do not come back at once.
const (
	retryAfterNoLinks       = 500 * time.Millisecond
	retryAfterNoLinksSpread = time.Second
)

// mayRelay reports whether the request may be passed to another host: it has not come from one.
func (x *exchange) mayRelay() bool {
	return x.f.opts.Links != nil && x.f.opts.Relay != nil && !x.relayed
}

// relayAfterFailure reports whether the request is to be passed to another host after an attempt without an answer: the
// links of this host are lost, and it did not run or may be repeated.
func (x *exchange) relayAfterFailure(ctx context.Context) bool {
	if !x.mayRelay() || x.result != sender.ReasonUnreachable && x.result != sender.ReasonCut {
		return false
	}
	if x.possibleRuns > 0 && (!x.route.Repeatable || x.possibleRuns >= max(1, x.route.MaxAttempts)) {
		return false
	}
	return x.f.opts.Links.Check(ctx) && (x.possibleRuns == 0 || x.f.withdrawRetry(x.service.Name))
}

// relay passes the request to another host and returns its answer.
func (x *exchange) relay(ctx context.Context) *acceptor.Answer {
	a, fault := x.f.opts.Relay(ctx, x.req, x.deadline)
	if fault == nil && x.possibleRuns > 0 && saysNotRun(a.Status) {
		// It did not run there, but may have run after an attempt of this host.
		if a.Held != nil {
			a.Held.Release()
		}
		x.lastErr = "relayed: " + strconv.Itoa(a.Status)
		return x.fail(http.StatusBadGateway, reasonUnknown)
	}
	if fault == nil {
		x.result = "relayed"
		if a.Status >= http.StatusInternalServerError || x.f.onTimeAnswers.Add(1)%logSampleInterval == 0 {
			x.f.opts.Log.Info("relayed", "request", x.call.ID, "route", x.routeName(), "key", x.keyText(), "status", a.Status,
				"took", time.Since(x.req.Arrived).Milliseconds(), "index", x.index())
		}
		return a
	}
	x.lastErr = fault.Error()
	if fault.MayHaveRun {
		x.possibleRuns++
	}
	if ctx.Err() != nil {
		return x.contextEnded(ctx)
	}
	if x.possibleRuns > 0 {
		return x.fail(http.StatusBadGateway, reasonUnknown)
	}
	reason := reasonNoLinks
	if fault.Reason == reasonRelayBusy {
		reason = reasonRelayBusy
	}
	return x.refuse(reason, retryAfterNoLinks+time.Duration(rand.Int64N(int64(retryAfterNoLinksSpread))))
}

// saysNotRun reports whether an answer of another host tells the caller that the request did not run.
func saysNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
