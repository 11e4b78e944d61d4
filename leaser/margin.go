// Package leaser keeps both sides of a lease on the monotonic clock.
//
// A holder counts the lease from before it asked, a granter from after it answered, and the granter adds a margin for
// clock drift. So the holder's lease has always lapsed by the time the granter gives the same right to another.
package leaser

import "time"

// driftShare and driftFloor are the default margin for clock drift: 5% of the lease plus 20 ms for scheduling.
const (
	driftShare = 20
	driftFloor = 20 * time.Millisecond
)

// DefaultMargin returns the default margin for a lease of length ttl.
func DefaultMargin(ttl time.Duration) time.Duration {
	return ttl/driftShare + driftFloor
}
