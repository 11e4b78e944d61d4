// Package rateauditor checks that targets get no more requests than they state that they take. It judges what the targets
// received, whichever host sent it.
package rateauditor

import (
	"fmt"
	"time"

	"bramleyline.example/bramleyline/platformemulator"
)

const (
	// Window is the length of the sliding window in which requests are counted.
	Window = 4 * time.Second
	// ContactTime is how long after a target first stated a limit it may still get more.
	ContactTime = 3 * time.Second
	// toleratedFactor and toleratedRequests give the requests that may arrive in a window: the requests that the limit
	// allows in it x factor + requests. They are those of the users' rule.
	toleratedFactor   = 1.5
	toleratedRequests = 5
	// reactionTime is how long after a target changed its limit the earlier one still counts: answers have to arrive, and
	// requests are under way.
	reactionTime = 500 * time.Millisecond
)

// Auditor checks the arrivals at one target. The zero value is ready to use. It is not safe for concurrent use.
type Auditor struct {
	// arrivals are those of the last Window and reactionTime, in order.
	arrivals []platformemulator.ArrivalMsg
}

// Add records the arrival m, and returns a description of the violation if too many requests arrived in the window that
// ends with it, empty if not. Requests before since do not count, nor does a window that ends within ContactTime after the
// target first stated a limit.
func (a *Auditor) Add(m platformemulator.ArrivalMsg, since time.Time) string {
	a.arrivals = append(a.arrivals, m)
	for m.At.Sub(a.arrivals[0].At) > Window+reactionTime {
		a.arrivals = a.arrivals[1:]
	}
	if m.LimitSince.IsZero() || m.At.Sub(m.LimitSince) < ContactTime {
		return ""
	}
	count, limit := 0, 0.0
	for _, b := range a.arrivals {
		limit = max(limit, b.Limit)
		if m.At.Sub(b.At) < Window && !b.At.Before(since) && !b.LimitSince.IsZero() {
			count++
		}
	}
	if allowed := toleratedFactor*limit*Window.Seconds() + toleratedRequests; float64(count) > allowed {
		return fmt.Sprintf("%s states a limit of %g a second and got %d requests in %s, %.0f are allowed", m.Target, limit, count,
			Window, allowed)
	}
	return ""
}
