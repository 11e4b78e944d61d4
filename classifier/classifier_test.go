package classifier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a class that changes with each request of a service near the limit, and against one that rests on few requests.
func TestClassHasHysteresis(t *testing.T) {
	c := qt.New(t)
	s := Classifier{
		MinSamples: 2,
		MaxSamples: 2,
	}
	for _, step := range []struct {
		serviceTime time.Duration
		changed     bool
		long        bool
	}{
		{serviceTime: MinServiceTime},
		{serviceTime: MinServiceTime, changed: true, long: true},
		{serviceTime: keepServiceTime, long: true},
		{serviceTime: keepServiceTime / 2, changed: true},
		{serviceTime: MinServiceTime},
		{serviceTime: 2 * MinServiceTime, changed: true, long: true},
	} {
		c.Check(s.Observe(step.serviceTime), qt.Equals, step.changed, qt.Commentf("%+v, mean %s", step, s.Mean()))
		c.Check(s.Long(), qt.Equals, step.long)
	}
}
