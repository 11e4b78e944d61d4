package leaser

import (
	"sync/atomic"
	"time"
)

// SharedHolder is a Holder that one goroutine renews and many read. The zero value holds no lease.
type SharedHolder struct {
	until atomic.Pointer[time.Time]
}

// Renewed records a lease of length ttl for which the request was sent at requested. Only one goroutine may call it.
func (s *SharedHolder) Renewed(requested time.Time, ttl time.Duration) {
	until := requested.Add(ttl)
	if old := s.until.Load(); old == nil || until.After(*old) {
		s.until.Store(&until)
	}
}

// Drop ends the lease at once.
func (s *SharedHolder) Drop() {
	s.until.Store(nil)
}

// Valid reports whether the lease is held at now. A nil SharedHolder is never valid.
func (s *SharedHolder) Valid(now time.Time) bool {
	return s.Remaining(now) > 0
}

// Remaining returns how long the lease is still held, at least zero.
func (s *SharedHolder) Remaining(now time.Time) time.Duration {
	if s == nil {
		return 0
	}
	until := s.until.Load()
	if until == nil {
		return 0
	}
	return max(0, until.Sub(now))
}
