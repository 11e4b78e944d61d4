package estimator

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a load that is estimated too low in the first seconds, when keys are first spread by load.
func TestLoadIsRightFromTheStart(t *testing.T) {
	for _, elapsed := range []time.Duration{time.Second, 3 * time.Second, 20 * time.Second} {
		c := qt.New(t)
		var e Estimator
		now := time.Unix(100, 0)
		for end := now.Add(elapsed); now.Before(end); now = now.Add(10 * time.Millisecond) {
			// 100 requests of 50 ms a second are five busy slots.
			e.Add(now, 7, 50*time.Millisecond)
		}
		sums := e.CumulativeLoad(now)
		got := sums[8] - sums[7]
		c.Check(math.Abs(got-5) < 0.6, qt.IsTrue, qt.Commentf("after %s: %.2f", elapsed, got))
	}
}

// Guards against a key that still counts as hot after its requests have stopped.
func TestLoadOfAKeyWithoutRequestsDecays(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	now := time.Unix(100, 0)
	e.Add(now, 7, 10*time.Second)
	now = now.Add(10 * time.Second)
	sums := e.CumulativeLoad(now)
	c.Assert(sums[8]-sums[7] < 0.2, qt.IsTrue)
}

// Guards against a slow target that is detected only after many answers, and against an estimate that one exceptional
// answer determines.
func TestSlownessIsEstimatedFromAFewAnswers(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	c.Assert(e.Slowness("a"), qt.Equals, 1.0)
	e.ObserveSlowness("a", 4, 1)
	c.Assert(e.Slowness("a") < 1.7, qt.IsTrue)
	for range 10 {
		e.ObserveSlowness("b", 2, 2)
	}
	c.Assert(e.Slowness("b") > 1.75, qt.IsTrue, qt.Commentf("%.2f", e.Slowness("b")))
}
