package selector

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// meanWait returns the expected queueing delay, as a multiple of the service time, of a request to the best of draws targets
// with c slots at utilization u, if all hosts see the loads as they were some service times ago, age. Loads are Poisson
// distributed. All requests that chose the target meanwhile are at it, and of those it had, the share exp(-age).
func meanWait(draws, c int, u, age float64) float64 {
	const levels = 40
	poisson := func(mean float64, k int) float64 {
		lg, _ := math.Lgamma(float64(k + 1))
		return math.Exp(float64(k)*math.Log(max(mean, 1e-12)) - mean - lg)
	}
	wait, above := 0.0, 1.0
	for k := range levels {
		p := poisson(u*float64(c), k)
		next := max(0, above-p)
		chosen := math.Pow(above, float64(draws)) - math.Pow(next, float64(draws))
		above = next
		if p < 1e-9 {
			continue
		}
		// The sum of the thinned load and the arrivals is taken as Poisson distributed, too.
		mean := float64(k)*math.Exp(-age) + u*float64(c)*age*chosen/p
		for n := range levels {
			wait += chosen * poisson(mean, n) * float64(max(0, n+1-c)) / float64(c)
		}
	}
	return wait
}

// Guards against more draws than the age of learned loads allows: all hosts then send to the few targets that were idle. The
// loads are 0.35 s old in the mean, the service time of shared services is 0.55 s.
func TestTwoDrawsSuitTheAgeOfLearnedLoads(t *testing.T) {
	c := qt.New(t)
	for _, slots := range []int{3, 6} {
		for _, u := range []float64{0.5, 0.7, 0.85} {
			var waits [6]float64
			for d := 1; d < len(waits); d++ {
				waits[d] = meanWait(d, slots, u, 0.35/0.55)
			}
			t.Logf("slots %d, utilization %.2f: waits %.3f", slots, u, waits[1:])
			c.Check(waits[2] < waits[3], qt.IsTrue)
			c.Check(waits[2] < 1.2*waits[1], qt.IsTrue)
		}
	}
}
