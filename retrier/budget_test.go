package retrier

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a retry storm: even if every attempt fails, further attempts must stay within their share.
func TestBudgetBoundsRetriesToShare(t *testing.T) {
	c := qt.New(t)
	var b Budget
	taken := 0
	for range 10_000 {
		b.Deposit(0.1)
		for b.Withdraw(0.1) {
			taken++
		}
	}
	c.Assert(taken <= 1000+defaultBurst, qt.IsTrue, qt.Commentf("%d", taken))
	c.Assert(taken >= 1000, qt.IsTrue, qt.Commentf("%d", taken))
}

// Guards against retries of a service whose retry budget is zero.
func TestZeroBudgetAllowsNoRetry(t *testing.T) {
	var b Budget
	b.Deposit(0)
	qt.Assert(t, b.Withdraw(0), qt.IsFalse)
}

// Guards against a bucket that is full again after it was resized, and against one of size zero that never allows a retry.
func TestResizeAddsNoAttempts(t *testing.T) {
	c := qt.New(t)
	b := Budget{
		Burst: 45,
	}
	withdraw := func() (n int) {
		for b.Withdraw(0.2) {
			n++
		}
		return n
	}
	b.Resize(5)
	c.Assert(withdraw(), qt.Equals, 5)
	b.Resize(45)
	c.Assert(withdraw(), qt.Equals, 0)
	b.Resize(0)
	c.Assert(withdraw(), qt.Equals, 0)
	for range 5 {
		b.Deposit(0.2)
	}
	c.Assert(withdraw(), qt.Equals, 1)
}
