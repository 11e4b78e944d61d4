package forwarder

import (
	"slices"
	"sync"
	"time"
)

const (
	// timeoutSamples and timeoutWindow bound the requests from which the usual timeout of a route is computed, by their
	// number and their age; there must be minTimeoutSamples.
	timeoutSamples    = 64
	minTimeoutSamples = 12
	timeoutWindow     = 10 * time.Second
	// timeoutTolerance and minTimeoutTolerance are the differences that do not count: callers state what is left when
	// they send.
	timeoutTolerance    = 0.02
	minTimeoutTolerance = 20 * time.Millisecond
	// usualTimeoutShare is the share of the requests of a route that must have the same timeout. It lets a quarter of
	// the callers return.
	usualTimeoutShare = 0.7
	// differingCallers is the number of requests with a shorter timeout from which they show whether they are first attempts
	// of other callers: those have the same timeout, while the delays before a return are drawn.
	differingCallers = 5
	// timeoutKeepTime is how long a usual timeout is kept while fewer requests have it, since in an overload most callers
	// return. After a change of the callers it bounds the time for which they count as returning.
	timeoutKeepTime = 20 * time.Second
	// timeoutRefresh is the least time between two computations.
	timeoutRefresh = 200 * time.Millisecond
)

// timeoutEstimate learns the usual timeout that the callers of a route state with their first attempts. A caller that
// returns states what is left of it. The zero value knows no timeout.
type timeoutEstimate struct {
	mu sync.Mutex
	// samples is a ring of the latest timeouts, next the index of the oldest one once it is full.
	samples []timeoutSample
	next    int
	// usual is the usual timeout, zero if there is none, and confirmedAt when it was last computed to be so.
	usual       time.Duration
	confirmedAt time.Time
	computedAt  time.Time
}

type timeoutSample struct {
	at      time.Time
	timeout time.Duration
}

// observe records the timeout that a caller states, and returns how long ago the caller made its first attempt: zero if
// this is the first one, or if that cannot be told because the callers of the route differ.
func (e *timeoutEstimate) observe(now time.Time, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := timeoutSample{
		at:      now,
		timeout: timeout,
	}
	if len(e.samples) < timeoutSamples {
		e.samples = append(e.samples, s)
	} else {
		e.samples[e.next] = s
		e.next = (e.next + 1) % timeoutSamples
	}
	if now.Sub(e.computedAt) >= timeoutRefresh {
		e.computedAt = now
		e.compute(now)
	}
	if age := e.usual - timeout; e.usual > 0 && age > tolerance(e.usual) {
		return age
	}
	return 0
}

func (e *timeoutEstimate) compute(now time.Time) {
	recent := make([]time.Duration, 0, len(e.samples))
	for _, s := range e.samples {
		if now.Sub(s.at) < timeoutWindow {
			recent = append(recent, s.timeout)
		}
	}
	if len(recent) >= minTimeoutSamples {
		slices.Sort(recent)
		usual, n := densest(recent, tolerance)
		shorter, _ := slices.BinarySearch(recent, usual-tolerance(usual))
		if shorter >= differingCallers {
			same := func(time.Duration) time.Duration { return minTimeoutTolerance }
			if _, n := densest(recent[:shorter], same); 2*n > shorter {
				e.usual = 0
				return
			}
		}
		if float64(n) >= usualTimeoutShare*float64(len(recent)) {
			e.usual, e.confirmedAt = usual, now
			return
		}
	}
	if now.Sub(e.confirmedAt) > timeoutKeepTime {
		e.usual = 0
	}
}

// densest returns the greatest of the most values that lie within the tolerance below it, and their number. The values are
// sorted.
func densest(values []time.Duration, tolerance func(time.Duration) time.Duration) (greatest time.Duration, n int) {
	first := 0
	for i, v := range values {
		for v-values[first] > tolerance(v) {
			first++
		}
		if i-first+1 >= n {
			greatest, n = v, i-first+1
		}
	}
	return greatest, n
}

func tolerance(timeout time.Duration) time.Duration {
	return max(minTimeoutTolerance, time.Duration(timeoutTolerance*float64(timeout)))
}
