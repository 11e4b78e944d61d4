package rateauditor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/platformemulator"
)

// Guards against an auditor that misses a violation, or that finds one where the rule allows the requests.
func TestAuditorAppliesTheRule(t *testing.T) {
	stated := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		// limit returns the limit at a time after stated, interval the time between requests.
		limit    func(at time.Duration) float64
		interval time.Duration
		length   time.Duration
		broken   bool
	}{
		"kept":                   {limit: constant(6), interval: 100 * time.Millisecond, length: 10 * time.Second},
		"three times":            {limit: constant(6), interval: time.Second / 18, length: 10 * time.Second, broken: true},
		"before the contact":     {limit: constant(6), interval: time.Second / 18, length: 2900 * time.Millisecond},
		"nothing allowed":        {limit: constant(0), interval: 800 * time.Millisecond, length: 10 * time.Second},
		"nothing allowed, taken": {limit: constant(0), interval: 600 * time.Millisecond, length: 10 * time.Second, broken: true},
		"fell just now":          {limit: step(20, 2, 6*time.Second), interval: time.Second / 20, length: 6400 * time.Millisecond},
		"fell before":            {limit: step(20, 2, 6*time.Second), interval: time.Second / 20, length: 11 * time.Second, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var a Auditor
			broken := false
			for at := time.Duration(0); at < tc.length; at += tc.interval {
				broken = a.Add(platformemulator.ArrivalMsg{
					Target:     "t",
					At:         stated.Add(at),
					Limit:      tc.limit(at),
					LimitSince: stated,
				}, stated.Add(500*time.Millisecond)) != "" || broken
			}
			c.Assert(broken, qt.Equals, tc.broken)
		})
	}
}

func constant(limit float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return limit }
}

func step(before, after float64, when time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < when {
			return before
		}
		return after
	}
}
