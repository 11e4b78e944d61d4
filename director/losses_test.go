package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/quarantiner"
)

// Guards against losses that reach the control leader seconds late because the control host that got the first report of them
// had just ended, and against a report that grows while no control host answers.
func TestLossesStayUntilAControlHostTakesThem(t *testing.T) {
	c := qt.New(t)
	var q quarantiner.Quarantiner
	now := time.Unix(1_000_000, 0)
	l := q.Tracker("tally", "t1", 1, now)
	for i := range 3 * maxReportedLosses {
		l.Interrupted(l.Begin(quarantiner.Request{
			Fingerprint: uint64(i + 1),
		}), true, now)
	}
	q.Lost("tally", "t1", 1, now)
	var r lossReport
	r.fill(&q, now)
	n := len(r.losses)
	c.Assert(n > 0 && n <= maxReportedLosses, qt.IsTrue)
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		r.fill(&q, now)
	}
	c.Assert(len(r.losses) >= n && len(r.losses) <= maxReportedLosses, qt.IsTrue, qt.Commentf("%d, %d", n, len(r.losses)))
}
