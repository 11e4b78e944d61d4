package ramper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

// after runs a new ramp for d, with the observation that observe returns at each interval, and returns the ramp and its end.
func after(d, interval time.Duration, observe func(at time.Duration) Observation) (*Ramp, time.Time) {
	var r Ramp
	r.Start(start, CauseJoined)
	for at := interval; at <= d; at += interval {
		if observe != nil {
			r.Observe(start.Add(at), observe(at))
		}
		r.Pace(start.Add(at))
	}
	return &r, start.Add(d)
}

func answered(stretch float64, report *Report) func(time.Duration) Observation {
	return func(time.Duration) Observation {
		return Observation{
			Stretch: stretch,
			Report:  report,
		}
	}
}

func queue(waiting int, slowness float64) *Report {
	return &Report{
		Waiting:  waiting,
		Slots:    3,
		Slowness: slowness,
	}
}

// Guards against a target that stays idle since nothing is known of it, and against established targets whose pace falls.
func TestPaceRisesWithTimeAlone(t *testing.T) {
	c := qt.New(t)
	var r Ramp
	c.Assert(r.Observe(start, Observation{
		Failed: true,
	}), qt.Equals, Setback(""))
	c.Assert(r.Pace(start), qt.Equals, 1.0)
	r.Start(start, CauseWarm)
	c.Assert(r.Pace(start.Add(time.Second)), qt.Equals, 2*MinPace)
	c.Assert(r.Pace(start.Add(4*time.Second)), qt.Equals, 1.0)
	c.Assert(r.Active(), qt.IsTrue)
	r.Pace(start.Add(6 * time.Second))
	c.Assert(r.Active(), qt.IsFalse)
}

// Guards against a target that is fast at once but has to wait as long as one of which nothing is known, and against a ramp
// of a ready target at full pace that never ends.
func TestFastTargetGetsItsFullPaceSoon(t *testing.T) {
	c := qt.New(t)
	r, end := after(1500*time.Millisecond, 200*time.Millisecond, answered(1, nil))
	c.Assert(r.Pace(end), qt.Equals, 1.0)
	r.StartAt(end, CauseWarm, 1)
	r.Pace(end.Add(time.Millisecond))
	r.Pace(end.Add(3 * time.Second))
	c.Assert(r.Active(), qt.IsFalse)
}

// Guards against a target that never becomes fast but gets its full share with time, and against one that gets nothing.
func TestSlowTargetStaysAtTheLeastPace(t *testing.T) {
	for _, observe := range []func(time.Duration) Observation{
		answered(3, nil),
		answered(6, nil),
		answered(0, queue(0, 3)),
		answered(0, queue(4, 1)),
	} {
		c := qt.New(t)
		r, end := after(20*time.Second, 300*time.Millisecond, observe)
		c.Assert(r.Pace(end) >= MinPace, qt.IsTrue)
		c.Assert(r.Pace(end) < 0.2, qt.IsTrue, qt.Commentf("%g", r.Pace(end)))
	}
}

// Guards against a setback half-way that has no effect, that is counted once for each of several answers to requests of the
// same moment, or after which the target is not used for long.
func TestSetbackHalvesThePaceOnce(t *testing.T) {
	c := qt.New(t)
	r, now := after(2*time.Second, 100*time.Millisecond, nil)
	before := r.Pace(now)
	for range 5 {
		now = now.Add(20 * time.Millisecond)
		r.Observe(now, Observation{
			Failed: true,
		})
	}
	c.Assert(r.Pace(now) >= before/2 && r.Pace(now) < before/2+0.03, qt.IsTrue, qt.Commentf("%g, then %g", before, r.Pace(now)))
	for range 15 {
		now = now.Add(200 * time.Millisecond)
		r.Observe(now, answered(1, nil)(0))
	}
	c.Assert(r.Pace(now), qt.Equals, 1.0)
}

// Guards against ramps that last for long because neighbours slow the target down by a factor of three, 400 ms out of 2 s.
func TestUsualSlowPeriodsAreNoSetback(t *testing.T) {
	c := qt.New(t)
	r, end := after(5*time.Second, 200*time.Millisecond, func(at time.Duration) Observation {
		slowness := 1.0
		if at%(2*time.Second) < 400*time.Millisecond {
			slowness = 3
		}
		return answered(0, queue(0, slowness))(at)
	})
	c.Assert(r.Pace(end), qt.Equals, 1.0)
}

// Guards against a false load: a target that reports itself idle while its answers are slow must not rise, and one that
// reports a queue while its answers are fast must not be held down.
func TestLatencyOverridesAFalseReport(t *testing.T) {
	c := qt.New(t)
	observe := func(stretch float64, report *Report) func(time.Duration) Observation {
		return func(at time.Duration) Observation {
			if at%(600*time.Millisecond) == 0 {
				// A load that another host learned has no latency.
				return answered(0, report)(at)
			}
			return answered(stretch, report)(at)
		}
	}
	r, end := after(10*time.Second, 200*time.Millisecond, observe(3, queue(0, 1)))
	c.Assert(r.Pace(end) < 0.5, qt.IsTrue, qt.Commentf("%g", r.Pace(end)))
	r, end = after(6*time.Second, 200*time.Millisecond, observe(1, queue(9, 1)))
	c.Assert(r.Pace(end), qt.Equals, 1.0)
}

// Guards against steps that follow each change of the pace, since each of them moves keys.
func TestStepsHaveAHysteresis(t *testing.T) {
	c := qt.New(t)
	for _, tt := range [][3]float64{{0, 0.1, 0.125}, {0.125, 0.24, 0.125}, {0.125, 1, 1}, {1, 0.5, 1}, {1, 0.49, 0.5}} {
		c.Assert(Step(tt[0], tt[1]), qt.Equals, tt[2], qt.Commentf("%v", tt))
	}
}
