// Package retrier bounds the attempts beyond the first to a share of first attempts.
package retrier

import "sync/atomic"

const (
	// unit is one attempt in the bucket's own unit; shares below a thousandth count as zero.
	unit = 1000
	// burst is the number of attempts that a full bucket allows at once, so that a service with little traffic can retry
	// too, and a short loss of many targets cannot double the load.
	burst = 10
)

// Budget is a token bucket: each first attempt adds its share, each further attempt takes one. The zero value is a full
// bucket. It is safe for concurrent use and has no lock.
type Budget struct {
	// Burst is the number of attempts that a full bucket allows at once; zero means 10.
	Burst int

	// spent is what is missing from a full bucket, so that the zero value is full.
	spent atomic.Int64
}

// First records a first attempt, which adds share of an attempt to the bucket.
func (b *Budget) First(share float64) {
	add := int64(share * unit)
	for {
		spent := b.spent.Load()
		if spent == 0 || add <= 0 {
			return
		}
		if b.spent.CompareAndSwap(spent, max(0, spent-add)) {
			return
		}
	}
}

// Take takes one attempt from the bucket and reports whether there was one. A share of zero allows none.
func (b *Budget) Take(share float64) bool {
	if share <= 0 {
		return false
	}
	for {
		spent := b.spent.Load()
		if spent+unit > b.burst()*unit {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+unit) {
			return true
		}
	}
}

func (b *Budget) burst() int64 {
	if b.Burst > 0 {
		return int64(b.Burst)
	}
	return burst
}
