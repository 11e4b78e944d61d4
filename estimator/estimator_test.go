package estimator

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a load that looks too small in the first seconds, when keys are spread for the first time.
func TestLoadIsRightFromTheStart(t *testing.T) {
	for _, passed := range []time.Duration{time.Second, 3 * time.Second, 20 * time.Second} {
		c := qt.New(t)
		var e Estimator
		now := time.Unix(100, 0)
		for end := now.Add(passed); now.Before(end); now = now.Add(10 * time.Millisecond) {
			// 100 requests of 50 ms a second are five busy slots.
			e.Add(now, 7, 50*time.Millisecond)
		}
		sums := e.Sums(now)
		got := sums[8] - sums[7]
		c.Check(math.Abs(got-5) < 0.6, qt.IsTrue, qt.Commentf("after %s: %.2f", passed, got))
	}
}

// Guards against a key that stays busy in the books after its requests have moved on.
func TestLoadOfAKeyThatCooledDownFades(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	now := time.Unix(100, 0)
	e.Add(now, 7, 10*time.Second)
	now = now.Add(10 * time.Second)
	sums := e.Sums(now)
	c.Assert(sums[8]-sums[7] < 0.2, qt.IsTrue)
}

// Guards against a slow target that is found out only after many answers, and against one odd answer that decides.
func TestSlownessIsLearnedFromAFewAnswers(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	c.Assert(e.Slowness("a"), qt.Equals, 1.0)
	e.Saw("a", 4, 1)
	c.Assert(e.Slowness("a") < 1.7, qt.IsTrue)
	for range 10 {
		e.Saw("b", 2, 2)
	}
	c.Assert(e.Slowness("b") > 1.75, qt.IsTrue, qt.Commentf("%.2f", e.Slowness("b")))
}
