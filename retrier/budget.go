// Package retrier is a retry budget: a token bucket that bounds further attempts, such as retries or hedged requests,
// to a share of first attempts, so that failures do not turn into a retry storm.
package retrier

import (
	"sync"
	"sync/atomic"
)

const (
	// tokensPerAttempt is the number of tokens for one attempt. Shares below a thousandth count as zero.
	tokensPerAttempt = 1000
	// defaultBurst is the number of attempts that a full bucket allows at once. It lets a service with little traffic
	// retry too, and it is small enough that a short loss of many targets cannot double the load.
	defaultBurst = 10
)

// Budget is a token bucket: each first attempt adds its share of an attempt, each further attempt takes a whole one.
// The zero value is a full bucket. It is lock-free and safe for concurrent use.
type Budget struct {
	// Burst is the number of attempts that a full bucket allows at once before the first Resize; zero means 10.
	Burst int

	mu sync.Mutex
	// resized is the argument of the last Resize plus one, zero before the first one.
	resized atomic.Int64
	// spent is the number of tokens missing from a full bucket, so that the zero value is full.
	spent atomic.Int64
}

// Deposit records a first attempt, which adds share of an attempt to the bucket.
func (b *Budget) Deposit(share float64) {
	add := int64(share * tokensPerAttempt)
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

// Withdraw takes one attempt from the bucket and reports whether there was one. A share of zero allows none.
func (b *Budget) Withdraw(share float64) bool {
	if share <= 0 {
		return false
	}
	for {
		spent := b.spent.Load()
		if spent+tokensPerAttempt > b.burst()*tokensPerAttempt {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+tokensPerAttempt) {
			return true
		}
	}
}

// Resize changes the number of attempts that may be in the bucket now to at most n, and the burst to n, but at least one, so
// that a bucket of size zero begins empty and still collects the shares of first attempts. It adds no attempts.
func (b *Budget) Resize(n int) {
	if b.resized.Load() == int64(n)+1 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.burst()
	b.resized.Store(int64(n) + 1)
	size := b.burst()
	for {
		spent := b.spent.Load()
		left := min(old*tokensPerAttempt-spent, int64(n)*tokensPerAttempt)
		if b.spent.CompareAndSwap(spent, size*tokensPerAttempt-max(0, left)) {
			return
		}
	}
}

func (b *Budget) burst() int64 {
	if n := b.resized.Load(); n > 0 {
		return max(1, n-1)
	}
	if b.Burst > 0 {
		return int64(b.Burst)
	}
	return defaultBurst
}
