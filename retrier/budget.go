// Package retrier is a retry budget: a token bucket that bounds further attempts, such as retries or hedged requests,
// to a share of first attempts, so that failures do not turn into a retry storm.
package retrier

import "sync/atomic"

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
	// Burst is the number of attempts that a full bucket allows at once; zero means 10.
	Burst int

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

func (b *Budget) burst() int64 {
	if b.Burst > 0 {
		return int64(b.Burst)
	}
	return defaultBurst
}
