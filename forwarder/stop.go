package forwarder

import (
	"math/rand/v2"
	"time"

	"bramleyline.example/bramleyline/acceptor"
)

// Stop describes the planned stop of a host.
type Stop struct {
	// NoticedAt is when the balancer sends no new connections any more.
	NoticedAt time.Time
	// EndsAt is when requests that are still in progress are cut.
	EndsAt time.Time
}

const (
	// stopMargin is the time that is reserved before the end of a stop for an answer to reach its caller.
	stopMargin = 100 * time.Millisecond
	// stopTimeFactor is the factor by which a request may take longer than expected. Until the balancer has noticed a stop,
	// a caller that is refused may come back to the same host, so requests are taken that are likely to end in time.
	stopTimeFactor = 1.5
	// stopRetrySpread is the least time over which the return of callers that are refused in a stop is spread. Those who have to wait
	// for the balancer return over as long as they wait, since they were refused over that time.
	stopRetrySpread = 100 * time.Millisecond
)

// refuseInStop returns the answer to a request that this host may not be able to finish before it stops, nil if there is time.
func (x *exchange) refuseInStop() *acceptor.Answer {
	retryAfter, ok := x.timeInStop()
	if ok {
		return nil
	}
	return x.giveUp(reasonStopping, retryAfter)
}

// timeInStop reports whether there is time for the request before this host stops, and returns the Retry-After delay if not.
// What counts is the time until the deadline of the request, since it may take that long.
func (x *exchange) timeInStop() (retryAfter time.Duration, ok bool) {
	if x.f.opts.Stopping == nil {
		return 0, true
	}
	stop, ok := x.f.opts.Stopping()
	if !ok {
		return 0, true
	}
	now := time.Now()
	left := stop.EndsAt.Sub(now) - stopMargin
	if x.deadline.Sub(now) <= left {
		return 0, true
	}
	noticedIn := stop.NoticedAt.Sub(now)
	expected := time.Duration(stopTimeFactor * float64(x.f.serviceTime(x.route.Name).expected()))
	if noticedIn > 0 && expected <= left {
		return 0, true
	}
	wait := max(0, noticedIn)
	if x.relayed {
		// The caller is at another host, which does not stop.
		wait = 0
	}
	return wait + rand.N(max(stopRetrySpread, wait)), false
}
