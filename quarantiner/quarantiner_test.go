package quarantiner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/reporter"
)

const keep = 10 * time.Minute

var (
	now      = time.Unix(1_000_000, 0)
	poison   = Request{Service: "tally", Identity: "order-1", Fingerprint: 1}
	innocent = Request{Service: "tally", Identity: "order-2", Fingerprint: 2}
)

// crash simulates the loss of a target while both requests are in progress there.
func crash(q *Quarantiner, target string, incarnation uint64) {
	l := q.Tracker("tally", target, incarnation, now)
	a, b := l.Begin(poison), l.Begin(innocent)
	l.Interrupted(a, true, now)
	l.Interrupted(b, true, now)
	q.Lost("tally", target, incarnation, now)
}

func refused(q *Quarantiner, r Request) bool {
	return q.MustRefuse(r, 2, keep, now)
}

// Guards against a request that crashes one target after the other, and against permanently refusing an innocent
// request that ran beside it.
func TestRepeatedCrashIsRefusedAndInnocentIsCleared(t *testing.T) {
	c := qt.New(t)
	var q Quarantiner
	crash(&q, "t1", 1)
	c.Assert(refused(&q, poison), qt.IsFalse)
	l := q.Tracker("tally", "t2", 1, now)
	l.Completed(l.Begin(innocent), innocent)
	crash(&q, "t3", 1)
	c.Assert(refused(&q, poison), qt.IsTrue)
	c.Assert(refused(&q, innocent), qt.IsFalse)
	c.Assert(refused(&q, Request{Service: "tally", Identity: "another", Fingerprint: 1}), qt.IsTrue)
	c.Assert(refused(&q, Request{Service: "tally", Identity: "order-1", Fingerprint: 9}), qt.IsTrue)
	c.Assert(q.MustRefuse(poison, 2, keep, now.Add(keep)), qt.IsFalse)
}

// Guards against counting a crash for requests at a frozen target, which loses its lease but no connection.
func TestFreezeCountsNothingUntilTheTargetRestarts(t *testing.T) {
	c := qt.New(t)
	var q Quarantiner
	for i := range uint64(3) {
		l := q.Tracker("tally", "t1", 1, now)
		n := l.Begin(poison)
		q.Lost("tally", "t1", 1, now)
		if i < 2 {
			l.Completed(n, poison)
		}
	}
	c.Assert(q.Suspects(now), qt.HasLen, 0)
	q.Tracker("tally", "t1", 2, now)
	c.Assert(q.Suspects(now), qt.HasLen, 1)
}

// Guards against counting a loss again for each report of it, also after the request was cleared.
func TestSameLossCountsOnce(t *testing.T) {
	c := qt.New(t)
	var a, b Quarantiner
	crash(&a, "t1", 1)
	for range 5 {
		b.AddSuspects(a.Suspects(now), now)
		a.AddSuspects(b.Suspects(now), now)
	}
	c.Assert(refused(&a, poison), qt.IsFalse)
	c.Assert(refused(&b, poison), qt.IsFalse)
	l := b.Tracker("tally", "t9", 1, now)
	l.Completed(l.Begin(innocent), innocent)
	b.AddSuspects(a.Suspects(now), now)
	crash(&b, "t2", 7)
	c.Assert(refused(&b, poison), qt.IsTrue)
	c.Assert(refused(&b, innocent), qt.IsFalse)
	a.AddSuspects(b.Suspects(now), now)
	c.Assert(refused(&a, poison), qt.IsTrue)
}

// Guards against counting connections that are severed for another reason: without the loss of the target, no crash is
// counted.
func TestBrokenConnectionAloneCountsNothing(t *testing.T) {
	var q Quarantiner
	l := q.Tracker("tally", "t1", 1, now)
	for range 1000 {
		l.Interrupted(l.Begin(poison), true, now)
	}
	q.Lost("tally", "t1", 1, now.Add(time.Minute))
	qt.Assert(t, q.Suspects(now), qt.HasLen, 0)
	qt.Assert(t, len(l.runs) <= maxEnded, qt.IsTrue)
}

// Guards against unbounded growth of the records when other hosts keep reporting new requests.
func TestRecordsAreBounded(t *testing.T) {
	var q Quarantiner
	for i := range 2 * maxRecords {
		q.AddSuspects([]reporter.SuspectMsg{{
			Service:     "tally",
			Request:     fmt.Sprint(i),
			Fingerprint: uint64(i),
			Crashes:     1,
			Lost:        "t1",
			Incarnation: 1,
		}}, now)
	}
	qt.Assert(t, len(q.order), qt.Equals, maxRecords)
	qt.Assert(t, len(q.byFingerprint), qt.Equals, maxRecords)
	qt.Assert(t, len(q.byIdentity), qt.Equals, maxRecords)
}

// Guards against an innocent request that is refused because two targets were lost under it hours apart.
func TestLossesFarApartAreCoincidences(t *testing.T) {
	c := qt.New(t)
	var q Quarantiner
	for i, at := range []time.Time{now, now.Add(recordTime + time.Minute)} {
		target := fmt.Sprint("t", i)
		l := q.Tracker("tally", target, 1, at)
		l.Interrupted(l.Begin(innocent), true, at)
		q.Lost("tally", target, 1, at)
		c.Assert(q.MustRefuse(innocent, 2, keep, at), qt.IsFalse)
	}
}

// Guards against a host that knows nothing of a request and counts two crashes that others report as one.
func TestFirstReportOfSeveralCrashesCountsThemAll(t *testing.T) {
	var q Quarantiner
	q.AddSuspects([]reporter.SuspectMsg{{
		Service:     "tally",
		Request:     poison.Identity,
		Fingerprint: poison.Fingerprint,
		Crashes:     2,
		Lost:        "t1",
		Incarnation: 1,
	}}, now)
	qt.Assert(t, refused(&q, poison), qt.IsTrue)
}
