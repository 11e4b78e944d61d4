package limiter

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/registrar"
)

var start = time.Unix(1000, 0)

func stated(limit float64) *float64 { return &limit }

// Guards against limits of which no log line tells, and against a target whose limit changes with each answer and fills
// the log.
func TestChangesOfALimitAreLogged(t *testing.T) {
	c := qt.New(t)
	var logs bytes.Buffer
	l := Limiter{
		Log: log.New(&logs),
	}
	inc := registrar.Incarnation{
		ID: "i-1",
	}
	for i := range 100 {
		l.Observe(start.Add(time.Duration(i)*time.Millisecond), inc, "desk", stated(float64(i+1)))
	}
	c.Assert(strings.Count(logs.String(), "limit of target"), qt.Equals, 1)
	l.Observe(start.Add(2*time.Second), inc, "desk", stated(7))
	l.Observe(start.Add(3*time.Second), inc, "desk", stated(7))
	c.Assert(strings.Count(logs.String(), "limit of target"), qt.Equals, 2)
	l.Observe(start.Add(4*time.Second), inc, "desk", nil)
	c.Assert(logs.String(), qt.Contains, "limit=none before=7")
}

// Guards against state that grows with each incarnation that ever stated a limit.
func TestLimitsOfLostTargetsAreForgotten(t *testing.T) {
	c := qt.New(t)
	l := Limiter{
		Log: log.New(&bytes.Buffer{}),
	}
	for i := range 50 {
		l.Observe(start, registrar.Incarnation{
			ID:   "i-1",
			Born: start.Add(time.Duration(i)),
		}, "desk", stated(6))
	}
	l.Observe(start, registrar.Incarnation{
		ID: "i-2",
	}, "desk", nil)
	c.Assert(len(l.targets), qt.Equals, 50)
	l.Forget(start.Add(1))
	c.Assert(len(l.targets), qt.Equals, 0)
	c.Assert(l.size.Load(), qt.Equals, int32(0))
}
