package dispatcher

import (
	"time"

	"golang.org/x/time/rate"

	"bramleyline.example/bramleyline/issuer"
)

// headerLimit is the header in which a target states the number of requests per second that it takes. Only its dispatching
// host sends to it, so that host keeps all of it.
const headerLimit = "Bramleyline-Limit"

// rateBurstTime is the time in which a full token bucket fills.
const rateBurstTime = 250 * time.Millisecond

// rateLimit is a token bucket for the limit that a target states. The zero value limits nothing. Times are those of
// timekeeper.Now.
type rateLimit struct {
	// limit is in requests per second; nil for none.
	limit  *float64
	bucket *rate.Limiter
	// heard says that an answer has arrived.
	heard bool
}

// set sets the limit, and reports whether it is another one than before. A new bucket is empty.
func (r *rateLimit) set(now time.Time, limit *float64) (changed bool) {
	r.heard = true
	if limit == nil {
		changed = r.limit != nil
		r.limit, r.bucket = nil, nil
		return changed
	}
	if r.limit != nil && *limit == *r.limit {
		return false
	}
	perSecond := rate.Limit(min(maxRate, max(issuer.MinRate, *limit)))
	burst := 1 + int(float64(perSecond)*rateBurstTime.Seconds())
	if r.bucket == nil {
		r.bucket = rate.NewLimiter(perSecond, burst)
		r.bucket.AllowN(now, burst)
	}
	r.bucket.SetLimitAt(now, perSecond)
	r.bucket.SetBurstAt(now, burst)
	r.limit = limit
	return true
}

// maxRate is the greatest number of requests per second that a bucket is made for; no host sends as many.
const maxRate = 1e6

// take takes a token, and reports whether there was one.
func (r *rateLimit) take(now time.Time) bool {
	return r.bucket == nil || r.bucket.AllowN(now, 1)
}

// delay returns the time until there are n tokens for requests that wait, zero if there are.
func (r *rateLimit) delay(now time.Time, n int) time.Duration {
	if r.bucket == nil {
		return 0
	}
	missing := float64(n) - r.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return max(1, time.Duration(missing/float64(r.bucket.Limit())*float64(time.Second)))
}
