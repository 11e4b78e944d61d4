package forwarder

import (
	"net/http"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/shaper"
	"bramleyline.example/bramleyline/viewer"
)

var (
	errTargetLeft  = errors.New("target may not be used any more after a wait")
	errViewStale   = errors.New("view became stale during a wait")
	errNoTimeToRun = errors.New("host stops too soon after the wait for the link")
)

// recheck decides right before the first byte of a request is written whether it may still go to t: it may have waited for the link
// or for a connection since t was chosen.
func (x *exchange) recheck(t *viewer.Target) error {
	if x.isLong() {
		if retryAfter, ok := x.timeInStop(); !ok {
			x.retryAfter = retryAfter
			return sender.NewFault(reasonStopping, http.StatusServiceUnavailable, errNoTimeToRun)
		}
	}
	if !x.stillUsable(t) {
		return sender.NewFault(sender.ReasonStaleRoute, http.StatusServiceUnavailable, errTargetLeft)
	}
	if !x.fresh(t) {
		return sender.NewFault(sender.ReasonStaleRoute, http.StatusServiceUnavailable, errViewStale)
	}
	return nil
}

// isLong reports whether the body waits for the link.
func (x *exchange) isLong() bool {
	size := 0
	for _, part := range x.req.Body {
		size += len(part)
	}
	return x.f.opts.Link.Active() && size > shaper.LongBody
}

// stillUsable reports whether the newest view allows the request to go to t.
func (x *exchange) stillUsable(t *viewer.Target) bool {
	if x.service.Keyed {
		return x.stillOwner(t)
	}
	v, _ := x.f.opts.View()
	pool, ok := v.Pool(x.service.Name)
	if !ok {
		return false
	}
	latest, ok := pool.Target(t.Incarnation)
	// A target that was cold when it was chosen has an allowance for the request.
	return ok && !latest.Draining && !latest.Out && (!latest.Cold || t.Cold)
}

// unsentByChoice reports whether f is a fault of recheck, which tells nothing about the target or the network.
func unsentByChoice(f *sender.Fault) bool {
	return errors.Is(f, errTargetLeft) || errors.Is(f, errViewStale) || errors.Is(f, errNoTimeToRun)
}
