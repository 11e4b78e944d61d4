// Package reserver bounds the memory that a process holds for the bytes of others: what callers upload and what targets
// answer. Whoever holds such bytes reserves their number before they are read, and gives up one request where that fails,
// so that the process never runs out of memory and all other requests go on.
package reserver

import (
	"expvar"
	"sync/atomic"
)

// counters is the number of reservations that failed.
var counters = expvar.NewMap("reserver")

// Reserver is a bound on bytes. Its zero value, and nil, bound nothing. It is safe for concurrent use and makes no allocation.
type Reserver struct {
	// Limit is the greatest number of bytes that may be reserved at a time; zero means no limit.
	Limit int64
	// Parent is the bound of which this one is a part, nil for none: bytes are reserved there, too.
	Parent *Reserver

	held atomic.Int64
}

// Reserve reserves n bytes. It returns false, and reserves nothing, if they exceed a limit.
func (r *Reserver) Reserve(n int64) bool {
	if r == nil {
		return true
	}
	if held := r.held.Add(n); r.Limit > 0 && held > r.Limit {
		r.held.Add(-n)
		counters.Add("refused", 1)
		return false
	}
	if !r.Parent.Reserve(n) {
		r.held.Add(-n)
		return false
	}
	return true
}

// Release gives back n bytes that were reserved.
func (r *Reserver) Release(n int64) {
	if r == nil || n == 0 {
		return
	}
	r.held.Add(-n)
	r.Parent.Release(n)
}

// Held returns the number of reserved bytes.
func (r *Reserver) Held() int64 {
	if r == nil {
		return 0
	}
	return r.held.Load()
}

// Fits reports whether n bytes more could be reserved now.
func (r *Reserver) Fits(n int64) bool {
	return r == nil || (r.Limit == 0 || r.held.Load()+n <= r.Limit) && r.Parent.Fits(n)
}
