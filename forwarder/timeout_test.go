package forwarder

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/prioritizer"
)

// Guards against callers that count as returning although they are not: before enough is known, where the callers of a route
// differ, and for long after they changed; and against returning callers that count as new ones, also in an outage, when most
// callers return.
func TestTimeoutShowsReturningCallers(t *testing.T) {
	const full, short = 5 * time.Second, 3 * time.Second
	random := rand.New(rand.NewPCG(5, 6))
	back := func() time.Duration {
		return full - 200*time.Millisecond - time.Duration(random.IntN(int(2*time.Second)))
	}
	for name, tc := range map[string]struct {
		// next returns the timeout of a request at a time after the start, and whether its caller returns.
		next func(after time.Duration) (timeout time.Duration, returning bool)
		// from is when returning callers are known, or others are no longer taken for returning ones.
		from time.Duration
		// most is the share of wrong decisions after that which is allowed.
		most float64
	}{
		"calm": {
			next: func(time.Duration) (time.Duration, bool) { return full - time.Duration(random.IntN(5)), false },
		},
		"one in five returns": {
			next: func(time.Duration) (time.Duration, bool) {
				if random.IntN(5) == 0 {
					return back(), true
				}
				return full, false
			},
			from: 3 * time.Second,
			most: 0.1,
		},
		"callers repeat at once": {
			next: func(time.Duration) (time.Duration, bool) {
				if random.IntN(3) == 0 {
					return full - time.Duration(random.IntN(int(prioritizer.MinRetryAfter))), false
				}
				return full, false
			},
		},
		"outage": {
			next: func(after time.Duration) (time.Duration, bool) {
				if after > 5*time.Second && after < 20*time.Second && random.IntN(4) > 0 {
					return back(), true
				}
				return full, false
			},
			from: 3 * time.Second,
		},
		"callers change": {
			next: func(after time.Duration) (time.Duration, bool) {
				if after > 5*time.Second {
					return short, false
				}
				return full, false
			},
			from: 14 * time.Second,
		},
		"callers differ": {
			next: func(time.Duration) (time.Duration, bool) {
				if random.IntN(4) == 0 {
					return short, false
				}
				return full, false
			},
			from: 5 * time.Second,
			most: 0.02,
		},
	} {
		c := qt.New(t)
		var e timeoutEstimate
		start := time.UnixMilli(1)
		wrong, total := 0, 0
		for after := time.Duration(0); after < 30*time.Second; after += 100 * time.Millisecond {
			timeout, returning := tc.next(after)
			age := e.observe(start.Add(after), timeout)
			if after < tc.from {
				continue
			}
			total++
			if (age >= prioritizer.MinRetryAfter) != returning {
				wrong++
			}
		}
		c.Check(float64(wrong) <= tc.most*float64(total), qt.IsTrue, qt.Commentf("%s: %d of %d wrong", name, wrong, total))
	}
}
