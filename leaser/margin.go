// Package leaser implements both sides of a time-limited lease, measured on the monotonic clock.
//
// The holder measures the lease from before it sent the request, the granter from after it sent the answer, and the
// granter adds a margin for clock drift. So the lease has always expired at its holder by the time the granter grants
// the same right to another holder.
package leaser

import "time"

// The default margin is the lease divided by driftDivisor (5%) for clock drift, plus 20 ms for scheduling delays.
const (
	driftDivisor     = 20
	schedulingMargin = 20 * time.Millisecond
)

// DefaultMargin returns the default margin for a lease of length ttl.
func DefaultMargin(ttl time.Duration) time.Duration {
	return ttl/driftDivisor + schedulingMargin
}
