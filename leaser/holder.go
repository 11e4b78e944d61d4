package leaser

import "time"

// Holder is the holding side of a lease. The zero value holds none.
type Holder struct {
	until time.Time
}

// Renewed records a lease of length ttl for which the request was sent at requested. An answer that arrives out of
// order never shortens a lease.
func (h *Holder) Renewed(requested time.Time, ttl time.Duration) {
	if until := requested.Add(ttl); until.After(h.until) {
		h.until = until
	}
}

// Drop ends the lease at once.
func (h *Holder) Drop() {
	h.until = time.Time{}
}

// Valid reports whether the lease is held at now.
func (h *Holder) Valid(now time.Time) bool {
	return now.Before(h.until)
}

// Remaining returns how long the lease is still held, at least zero.
func (h *Holder) Remaining(now time.Time) time.Duration {
	return max(0, h.until.Sub(now))
}

// Until returns the end of the lease, the zero time if there is none.
func (h *Holder) Until() time.Time {
	return h.until
}
