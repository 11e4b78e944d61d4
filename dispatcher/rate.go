package dispatcher

import (
	"time"

	"golang.org/x/time/rate"

	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/timekeeper"
)

// headerLimit is the header in which a target states the number of requests per second that it takes. Only its dispatching
// host sends to it, so that host keeps all of it.
const headerLimit = "Bramleyline-Limit"

// rateBurstTime is the time in which a full token bucket fills.
const rateBurstTime = 250 * time.Millisecond

// limitLogInterval is the least time between two log lines on the limit of one target.
const limitLogInterval = time.Second

// rateLimit is a token bucket for the limit that a target states. The zero value limits nothing, and reads no clock.
type rateLimit struct {
	// limit is in requests per second; nil for none.
	limit  *float64
	bucket *rate.Limiter
	// heard says that an answer has arrived.
	heard bool
	// loggedAt is when the limit was last logged, and logged the limit that was logged then.
	loggedAt time.Time
	logged   *float64
}

// set sets the limit. A new bucket is empty.
func (r *rateLimit) set(limit *float64) {
	r.limit = limit
	if limit == nil {
		r.bucket = nil
		return
	}
	now := timekeeper.Now()
	perSecond := rate.Limit(min(maxRate, max(issuer.MinRate, *limit)))
	burst := 1 + int(float64(perSecond)*rateBurstTime.Seconds())
	if r.bucket == nil {
		r.bucket = rate.NewLimiter(perSecond, burst)
		r.bucket.AllowN(now, burst)
	}
	r.bucket.SetLimitAt(now, perSecond)
	r.bucket.SetBurstAt(now, burst)
}

// logDue reports whether the limit is to be logged: it differs from the last logged one, and the last line is not too
// recent.
func (r *rateLimit) logDue() bool {
	if issuer.EqualLimits(r.limit, r.logged) || time.Since(r.loggedAt) < limitLogInterval {
		return false
	}
	r.logged, r.loggedAt = r.limit, time.Now()
	return true
}

// maxRate is the greatest number of requests per second that a bucket is made for; no host sends as many.
const maxRate = 1e6

// take takes a token, and reports whether there was one.
func (r *rateLimit) take() bool {
	return r.bucket == nil || r.bucket.AllowN(timekeeper.Now(), 1)
}

// delay returns the time until there are n tokens for requests that wait, zero if there are.
func (r *rateLimit) delay(n int) time.Duration {
	if r.bucket == nil {
		return 0
	}
	missing := float64(n) - r.bucket.TokensAt(timekeeper.Now())
	if missing <= 0 {
		return 0
	}
	return max(1, time.Duration(missing/float64(r.bucket.Limit())*float64(time.Second)))
}
