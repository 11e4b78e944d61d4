package quarantiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a poison request that is left out of the reports because hundreds of others were lost with its targets,
// and against a loss that only a control host hears of that then ends.
func TestLossesAreReportedWorstFirstAndRepeated(t *testing.T) {
	c := qt.New(t)
	var q Quarantiner
	for _, target := range []string{"t1", "t2"} {
		l := q.Tracker("tally", target, 1, now)
		for i := range 200 {
			l.Interrupted(l.Begin(Request{Fingerprint: uint64(100 + i)}), true, now)
		}
		q.Lost("tally", target, 1, now)
		for i := range 200 {
			if target == "t1" {
				q.clear(Request{Fingerprint: uint64(100 + i)})
			}
		}
	}
	crash(&q, "t3", 1)
	crash(&q, "t4", 1)
	<-q.News()
	msgs := q.Losses(now, 4)
	c.Assert(msgs, qt.HasLen, 4)
	for _, m := range msgs {
		c.Check(m.Fingerprint <= 2, qt.IsTrue, qt.Commentf("%+v", m))
	}
	rest := 0
	for range 100 {
		rest += len(q.Losses(now, 4))
	}
	c.Assert(rest, qt.Equals, 200)
	reports := 0
	for d := time.Duration(0); d < 5*time.Minute; d += time.Second {
		for _, m := range q.Losses(now.Add(d), 1000) {
			if m.Fingerprint == 1 && m.Lost == "t3" {
				reports++
			}
		}
	}
	c.Assert(reports >= 4 && reports <= 6, qt.IsTrue, qt.Commentf("%d reports", reports))
}

// Guards against a request that stays suspect at the control leader although it completed here.
func TestCompletionIsReported(t *testing.T) {
	c := qt.New(t)
	var q Quarantiner
	crash(&q, "t1", 1)
	l := q.Tracker("tally", "t2", 1, now)
	l.Completed(l.Begin(innocent), innocent)
	c.Assert(q.Completed(now), qt.DeepEquals, []uint64{innocent.Fingerprint})
	c.Assert(q.Completed(now), qt.HasLen, 0)
	c.Assert(q.Completed(now.Add(firstResend)), qt.HasLen, 1)
}

// Guards against a host that sends a poison request more than once in a trial, or goes on refusing it by its own count
// after the control leader has released it.
func TestDecisionOfTheLeaderReplacesThatOfTheHost(t *testing.T) {
	c := qt.New(t)
	var q Quarantiner
	crash(&q, "t1", 1)
	crash(&q, "t2", 1)
	c.Assert(refused(&q, poison), qt.IsTrue)
	c.Assert(q.Decided(poison, 0, false), qt.IsFalse)
	c.Assert(q.Decided(poison, 1, true), qt.IsTrue)
	c.Assert(q.Decided(poison, 1, true), qt.IsFalse)
	c.Assert(q.Decided(poison, 2, true), qt.IsTrue)
	c.Assert(refused(&q, poison), qt.IsFalse)
}

// Guards against a poison request that no other host is told of because hundreds of requests were lost at the same time, and
// against one that an authority never hears of because it was named later.
func TestAllSuspectsAreReported(t *testing.T) {
	c := qt.New(t)
	var q Quarantiner
	l := q.Tracker("tally", "t1", 1, now)
	crash(&q, "t0", 1)
	for i := range 250 {
		l.Interrupted(l.Begin(Request{Service: "tally", Fingerprint: uint64(100 + i)}), true, now)
	}
	q.Lost("tally", "t1", 1, now)
	crash(&q, "t2", 1)
	const heartbeat = 150 * time.Millisecond
	seen := make(map[uint64]time.Duration)
	for d := time.Duration(0); d < urgentTime; d += heartbeat {
		for _, m := range q.Suspects(now.Add(d)) {
			if _, ok := seen[m.Fingerprint]; !ok {
				seen[m.Fingerprint] = d
			}
		}
	}
	c.Assert(seen, qt.HasLen, 252)
	c.Assert(seen[poison.Fingerprint], qt.Equals, time.Duration(0))
	later := false
	for d := time.Minute; d < time.Minute+2*urgentTime; d += heartbeat {
		for _, m := range q.Suspects(now.Add(d)) {
			later = later || m.Fingerprint == poison.Fingerprint
		}
	}
	c.Assert(later, qt.IsTrue)
}
