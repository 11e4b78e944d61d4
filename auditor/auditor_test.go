package auditor

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/loadgenerator"
)

var entryAddr = netip.MustParseAddrPort("127.0.0.1:1")

func atMillis(ms int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
}

func postRecord(id string, attempts ...loadgenerator.Attempt) loadgenerator.Record {
	for i := range attempts {
		attempts[i].Number = i + 1
		attempts[i].Entry = entryAddr
	}
	return loadgenerator.Record{
		Identity: id,
		Service:  "tally",
		Key:      "k",
		Method:   "POST",
		Intended: atMillis(0),
		Ended:    atMillis(10),
		Attempts: attempts,
	}
}

func newRun(id string, attempt int, target string, from, to int, result emulator.Result) emulator.Run {
	return emulator.Run{
		Target:     target,
		DataCentre: "waw",
		Service:    "tally",
		Identity:   id,
		Attempt:    attempt,
		Key:        "k",
		Started:    atMillis(from),
		Ended:      atMillis(to),
		Result:     result,
		InFlight:   1,
		ColdLimit:  1,
	}
}

func withEpoch(r emulator.Run, epoch fencer.Epoch) emulator.Run {
	r.Epoch = epoch
	return r
}

var (
	okAttempt      = loadgenerator.Attempt{Status: 200, Verdict: loadgenerator.VerdictWhole}
	notRunAttempt  = loadgenerator.Attempt{Status: 503, Outcome: "notRun"}
	unknownAttempt = loadgenerator.Attempt{Status: 502, Outcome: "unknown"}
	lostAttempt    = loadgenerator.Attempt{Fault: "reset", Started: atMillis(-10), Ended: atMillis(10)}
	foreignAttempt = loadgenerator.Attempt{Status: 200, Verdict: loadgenerator.VerdictForeign}
)

// TestFindings guards against an audit that misses an invariant violation, or reports one where the invariant holds.
func TestFindings(t *testing.T) {
	beyondColdLimit := newRun("a", 1, "t1", 0, 5, emulator.ResultFinished)
	beyondColdLimit.InFlight = 2
	whileDraining := newRun("a", 1, "t1", 0, 5, emulator.ResultFinished)
	whileDraining.DrainingSince = atMillis(-3001)
	for _, test := range []struct {
		name     string
		evidence Evidence
		want     []string
	}{{
		name: "served once",
		evidence: Evidence{
			Records: []loadgenerator.Record{postRecord("a", okAttempt)},
			Runs:    []emulator.Run{newRun("a", 1, "t1", 0, 5, emulator.ResultFinished)},
		},
	}, {
		name: "true refusal, also by a target whose lease expired",
		evidence: Evidence{
			Records: []loadgenerator.Record{postRecord("a", notRunAttempt)},
			Runs: []emulator.Run{
				newRun("a", 1, "t1", 0, 5, emulator.ResultStale),
				newRun("a", 1, "t2", 0, 5, emulator.ResultRejected),
			},
		},
	}, {
		name: "false refusal",
		evidence: Evidence{
			Records: []loadgenerator.Record{postRecord("a", notRunAttempt)},
			Runs:    []emulator.Run{newRun("a", 1, "t1", 0, 5, emulator.ResultCrashed)},
		},
		want: []string{"I6"},
	}, {
		name: "ran twice",
		evidence: Evidence{
			Records: []loadgenerator.Record{postRecord("a", unknownAttempt)},
			Runs: []emulator.Run{
				newRun("a", 1, "t1", 0, 5, emulator.ResultFinished),
				newRun("a", 1, "t1", 6, 9, emulator.ResultCancelled),
			},
		},
		want: []string{"I7"},
	}, {
		name: "retried by the caller",
		evidence: Evidence{
			Records: []loadgenerator.Record{postRecord("a", unknownAttempt, okAttempt)},
			Runs: []emulator.Run{
				newRun("a", 1, "t1", 0, 5, emulator.ResultFinished),
				newRun("a", 2, "t1", 6, 9, emulator.ResultFinished),
			},
		},
	}, {
		name: "answer to another request and answer without a run",
		evidence: Evidence{
			Records: []loadgenerator.Record{postRecord("a", foreignAttempt), postRecord("b", okAttempt)},
		},
		want: []string{"I5", "I5"},
	}, {
		name: "alternating owners without leases",
		evidence: Evidence{
			Runs: []emulator.Run{
				newRun("a", 1, "t1", 0, 5, emulator.ResultFinished),
				newRun("b", 1, "t2", 6, 7, emulator.ResultFinished),
				newRun("c", 1, "t1", 8, 9, emulator.ResultFinished),
			},
		},
		want: []string{"I1"},
	}, {
		name: "owners one after the other under new epochs",
		evidence: Evidence{
			Runs: []emulator.Run{
				withEpoch(newRun("a", 1, "t1", 0, 5, emulator.ResultFinished), 1),
				withEpoch(newRun("b", 1, "t2", 6, 7, emulator.ResultFinished), 2),
				withEpoch(newRun("c", 1, "t1", 8, 9, emulator.ResultFinished), 3),
			},
		},
	}, {
		name: "two owners at the same time",
		evidence: Evidence{
			Holdings: []emulator.Holding{
				{Target: "t1", From: atMillis(0), Until: atMillis(10), Epoch: 1},
				{Target: "t2", From: atMillis(9), Until: atMillis(20), Epoch: 2},
				{Target: "t1", From: atMillis(20), Until: atMillis(30), Epoch: 3},
			},
		},
		want: []string{"I1"},
	}, {
		name:     "cold",
		evidence: Evidence{Runs: []emulator.Run{beyondColdLimit}},
		want:     []string{"I3"},
	}, {
		name:     "draining",
		evidence: Evidence{Runs: []emulator.Run{whileDraining}},
		want:     []string{"I8"},
	}, {
		name: "takeout, also when the target refused, and after the restoration",
		evidence: Evidence{
			Runs: []emulator.Run{
				newRun("a", 1, "t1", 3000, 3000, emulator.ResultFinished),
				newRun("b", 1, "t1", 3001, 3001, emulator.ResultRejected),
				newRun("c", 1, "t1", 5000, 5001, emulator.ResultFinished),
			},
			Events: []Event{{DataCentre: "waw", At: atMillis(0), Until: atMillis(5000)}},
		},
		want: []string{"I4"},
	}, {
		name: "request cut by a planned stop",
		evidence: Evidence{
			Records: []loadgenerator.Record{postRecord("a", lostAttempt)},
			Events:  []Event{{Entry: entryAddr, At: atMillis(0)}},
		},
		want: []string{"I9"},
	}} {
		t.Run(test.name, func(t *testing.T) {
			test.evidence.Keyed = map[string]bool{"tally": true}
			var got []string
			for _, f := range (Auditor{}).Audit(test.evidence).Findings {
				got = append(got, f.Invariant)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestNumbers guards against an imbalance that leaves out idle targets, and against times without service that include
// time in which the key was served.
func TestNumbers(t *testing.T) {
	c := qt.New(t)
	record := func(ms int, a loadgenerator.Attempt) loadgenerator.Record {
		r := postRecord("a", a)
		r.Intended = atMillis(ms)
		r.Ended = atMillis(ms + 10)
		return r
	}
	n := (Auditor{}).Audit(Evidence{
		Records: []loadgenerator.Record{
			record(0, okAttempt), record(100, notRunAttempt), record(200, notRunAttempt), record(350, okAttempt),
			record(400, notRunAttempt),
		},
		Runs: []emulator.Run{
			withEpoch(newRun("a", 1, "t1", 0, 5, emulator.ResultFinished), 1),
			withEpoch(newRun("b", 1, "t1", 6, 7, emulator.ResultFinished), 1),
			withEpoch(newRun("c", 1, "t2", 8, 9, emulator.ResultFinished), 2),
		},
		Targets: map[string][]string{"tally": {"t1", "t2", "t3"}},
		Keyed:   map[string]bool{"tally": true},
	}).Numbers
	c.Assert(n.Imbalance["tally"], qt.Equals, 2.0)
	c.Assert(n.KeyMoves, qt.Equals, 1)
	c.Assert(n.Unavailable, qt.Equals, 260*time.Millisecond)
	c.Assert(n.WorstUnavailable, qt.Equals, 250*time.Millisecond)
	c.Assert(n.KeysUnavailable, qt.Equals, 1)
	c.Assert(n.KeysLate, qt.Equals, 0)
	late := (Auditor{}).Audit(Evidence{
		Records: []loadgenerator.Record{record(0, notRunAttempt), record(1991, notRunAttempt)},
		Keyed:   map[string]bool{"tally": true},
	}).Numbers
	c.Assert(late.KeysLate, qt.Equals, 1)
	c.Assert(n.Outcomes["tally"].Served, qt.Equals, 2)
}
