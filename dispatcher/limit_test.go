package dispatcher

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/configurer"
)

func warmLimit() *limit {
	var l limit
	l.configure(configurer.DefaultService("tally").Limits)
	for range 200 {
		l.succeeded(5 * time.Millisecond)
	}
	return &l
}

// Guards against full load on a target that has just started.
func TestAllowanceRisesWithSuccesses(t *testing.T) {
	c := qt.New(t)
	var l limit
	l.configure(configurer.DefaultService("tally").Limits)
	for i := range 60 {
		c.Assert(l.allowed(), qt.Equals, 1+i/20)
		l.succeeded(5 * time.Millisecond)
	}
	c.Assert(l.allowed(), qt.Equals, 4)
	c.Assert(l.warm, qt.IsTrue)
}

// Guards against full load on a target that became cold again, which shows in errors, in a rejection or in a jump of
// the latency.
func TestAllowanceFallsBack(t *testing.T) {
	for name, makeCold := range map[string]func(*limit){
		"errors": func(l *limit) {
			for range maxConsecutiveErrors {
				l.failed()
			}
		},
		"rejection": func(l *limit) { l.rejected("cold") },
		"jump": func(l *limit) {
			for range 6 {
				l.succeeded(200 * time.Millisecond)
			}
		},
	} {
		l := warmLimit()
		qt.Assert(t, l.allowed(), qt.Equals, 4)
		makeCold(l)
		qt.Assert(t, l.allowed(), qt.Equals, 1, qt.Commentf(name))
		qt.Assert(t, l.warm, qt.IsFalse, qt.Commentf(name))
	}
}

// Guards against filling all request slots of a straggler, and against a limit that stays low after it has recovered.
func TestLimitFollowsLatency(t *testing.T) {
	c := qt.New(t)
	l := warmLimit()
	for range 30 {
		l.succeeded(18 * time.Millisecond)
	}
	c.Assert(l.warm, qt.IsTrue)
	c.Assert(l.allowed(), qt.Equals, 1)
	for range 100 {
		l.succeeded(5 * time.Millisecond)
	}
	c.Assert(l.allowed(), qt.Equals, 4)
}
