package quarantiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against crashes that are never counted because the target fell silent, or came back after some seconds under
// another name; and against trackers of ended targets that pile up.
func TestCrashWithoutSeveredConnectionCounts(t *testing.T) {
	c := qt.New(t)
	var q Quarantiner
	silent := q.Tracker("tally", "t1", 1, now)
	silent.Interrupted(silent.Begin(poison), false, now)
	severed := q.Tracker("tally", "t2", 1, now)
	severed.Interrupted(severed.Begin(poison), true, now)
	running := q.Tracker("tally", "t3", 1, now)
	running.Begin(poison)
	q.Settle(now.Add(8*time.Second), func(string, uint64) (alive, draining bool) { return false, false })
	c.Assert(q.byFingerprint[poison.Fingerprint].crashes, qt.Equals, 3)
	c.Assert(q.trackers, qt.HasLen, 0)
}

// Guards against counting requests that were cut when a target left as planned, and requests at targets that go on.
func TestTargetThatLeavesLosesNothing(t *testing.T) {
	c := qt.New(t)
	var q Quarantiner
	l := q.Tracker("tally", "t1", 1, now)
	l.Interrupted(l.Begin(innocent), true, now)
	q.Settle(now, func(string, uint64) (alive, draining bool) { return true, true })
	q.Settle(now.Add(time.Second), func(string, uint64) (alive, draining bool) { return false, false })
	l = q.Tracker("tally", "t2", 1, now)
	l.Interrupted(l.Begin(innocent), true, now)
	q.Settle(now, func(string, uint64) (alive, draining bool) { return true, false })
	c.Assert(q.Losses(now, 10), qt.HasLen, 0)
}
