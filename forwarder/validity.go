package forwarder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/timekeeper"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// validateTimeout bounds the health check that confirms a target, validateShare the same as a share of the time to the deadline.
	validateTimeout = 300 * time.Millisecond
	validateShare   = 0.25
)

var errNotHealthy = errors.New("target does not confirm that it takes requests")

// fresh reports whether the request may go to t as far as the age of what this host knows is concerned: if the departure of t is
// acknowledged without this host's knowledge, that was a short time ago. Nothing can confirm the targets of a service without a health
// path, so their requests are sent however old the view is.
func (x *exchange) fresh(t *viewer.Target) bool {
	v := x.f.opts.Validity
	if v == nil || x.service.HealthPath == "" {
		return true
	}
	now := timekeeper.Now()
	return v.Fresh(now, now.Add(-x.viewStaleness()), t.Incarnation)
}

// validate asks t for its health if what this host knows of t is too old, and reports whether the request may be sent. A target that
// leaves is not healthy from before its departure is acknowledged.
func (x *exchange) validate(ctx context.Context, t *viewer.Target) bool {
	if x.fresh(t) {
		return true
	}
	counters.Add("healthChecks", 1)
	timeout := min(validateTimeout, time.Duration(validateShare*float64(time.Until(x.deadline))))
	err := x.f.opts.Validity.Validate(ctx, timekeeper.Now, t.Incarnation, func() error {
		// Other requests wait for the same check, so it does not end with the caller of this one.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		return x.checkHealth(ctx, t)
	})
	if err == nil {
		return true
	}
	counters.Add("failedHealthChecks", 1)
	x.result, x.lastErr = reasonUnconfirmed, err.Error()
	var fault *sender.Fault
	if errors.As(err, &fault) {
		x.result = fault.Reason
	}
	return false
}

// checkHealth makes one health check of t. It reads only fields of x that do not change.
func (x *exchange) checkHealth(ctx context.Context, t *viewer.Target) error {
	deadline, _ := ctx.Deadline()
	resp, fault := x.f.opts.Sender.Send(ctx, &sender.Request{
		Addr:         t.Addr,
		Method:       http.MethodGet,
		URI:          x.service.HealthPath,
		Host:         t.Addr.String(),
		EchoHeader:   x.f.opts.Codec.EchoHeader(),
		EchoOptional: true,
		Undelimited:  true,
		Deadline:     deadline,
		Connections:  x.maxConnections(),
		SettleTime:   settleTime,
	})
	if fault != nil {
		return fault
	}
	defer func() { _ = resp.Close() }()
	if _, fault := resp.ReadAll(); fault != nil {
		return fault
	}
	if !x.f.opts.Codec.Healthy(t.ID, resp.Status, resp.Header) {
		return errNotHealthy
	}
	return nil
}

// unconfirmed returns the final answer after validate failed for t, or nil if another target may be tried.
func (x *exchange) unconfirmed(ctx context.Context, t *viewer.Target) *acceptor.Answer {
	x.leave()
	x.withheld++
	x.recordFailure(t, x.result, x.lastErr)
	switch {
	case ctx.Err() != nil:
		return x.contextEnded(ctx)
	case x.relayAfterFailure(ctx):
		return x.relay(ctx)
	case x.service.Keyed:
		return x.giveUp(reasonUnconfirmed, retryAfterNoOwner)
	case x.attempts+x.withheld >= maxTotalAttempts:
		return x.giveUp(reasonUnconfirmed, retryAfterNoTarget)
	}
	if !slices.Contains(x.tried, t.Incarnation) {
		x.tried = append(x.tried, t.Incarnation)
	}
	return nil
}
