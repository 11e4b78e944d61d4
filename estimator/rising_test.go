package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/registrar"
)

// arrivals is a load on virtual time: requests of 250 ms that arrive at random.
type arrivals struct {
	e   Estimator
	rng *rand.Rand
	now time.Time
}

// run adds requests for d: perSecond for all keys together, and hotPerSecond for 200 neighbouring ones.
func (a *arrivals) run(d time.Duration, perSecond, hotPerSecond float64) {
	const step = 10 * time.Millisecond
	add := func(n float64, from, keys int) {
		for t := a.rng.ExpFloat64(); t < n; t += a.rng.ExpFloat64() {
			a.e.Add(a.now, uint16(from+a.rng.IntN(keys)), 250*time.Millisecond)
		}
	}
	for end := a.now.Add(d); a.now.Before(end); {
		a.now = a.now.Add(step)
		add(perSecond*step.Seconds(), 0, Keys)
		add(hotPerSecond*step.Seconds(), 1040, 200)
	}
}

func newArrivals(seed uint64) *arrivals {
	return &arrivals{
		rng: rand.New(rand.NewPCG(seed, 5)),
		now: time.Unix(100, 0),
	}
}

var (
	hotRange = registrar.Span{
		From: 1000,
		To:   1274,
	}
	coldRange = registrar.Span{
		From: 3000,
		To:   3274,
	}
)

// Guards against a span of many keys, none of which is hot by itself, that is found hot only after seconds, or whose load is
// estimated far too low when it is found.
func TestRisingSpanIsFoundEarly(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			c := qt.New(t)
			a := newArrivals(1)
			a.run(10*time.Second, 1200, 0)
			_, rising := a.e.Rising(a.now, hotRange)
			c.Assert(rising, qt.IsFalse)
			a.run(after, 900, 320)
			load, rising := a.e.Rising(a.now, hotRange)
			c.Assert(rising, qt.IsTrue)
			c.Check(math.Abs(load-80) < 25, qt.IsTrue, qt.Commentf("%.1f busy slots", load))
			sums := a.e.CumulativeLoad(a.now, hotRange)
			got := sums[1240] - sums[1040]
			c.Check(math.Abs(got-80) < 25, qt.IsTrue, qt.Commentf("%.1f busy slots", got))
			_, rising = a.e.Rising(a.now, coldRange)
			c.Check(rising, qt.IsFalse)
		})
	}
}

// Guards against spans that seem to rise by chance, in a steady load or when requests begin after a pause.
func TestChanceIsNoRise(t *testing.T) {
	c := qt.New(t)
	a := newArrivals(2)
	for i := range 150 {
		a.run(100*time.Millisecond, 1200, 0)
		if i == 75 {
			a.run(time.Minute, 0, 0)
		}
		for from := 0; from < Keys; from += 256 {
			_, rising := a.e.Rising(a.now, registrar.Span{
				From: uint16(from),
				To:   uint16(from + 255),
			})
			c.Assert(rising, qt.IsFalse, qt.Commentf("after %d checks, from %d", i, from))
		}
	}
}
