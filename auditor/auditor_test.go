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

var entry = netip.MustParseAddrPort("127.0.0.1:1")

func at(ms int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
}

func post(id string, attempts ...loadgenerator.Attempt) loadgenerator.Record {
	for i := range attempts {
		attempts[i].Number = i + 1
		attempts[i].Entry = entry
	}
	return loadgenerator.Record{
		Identity: id,
		Service:  "tally",
		Key:      "k",
		Method:   "POST",
		Intended: at(0),
		Ended:    at(10),
		Attempts: attempts,
	}
}

func ran(id string, attempt int, target string, from, to int, result emulator.Result) emulator.Run {
	return emulator.Run{
		Target:     target,
		DataCentre: "waw",
		Service:    "tally",
		Identity:   id,
		Attempt:    attempt,
		Key:        "k",
		Started:    at(from),
		Ended:      at(to),
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
	ok      = loadgenerator.Attempt{Status: 200, Verdict: loadgenerator.VerdictWhole}
	notRun  = loadgenerator.Attempt{Status: 503, Outcome: "notRun"}
	unknown = loadgenerator.Attempt{Status: 502, Outcome: "unknown"}
	lost    = loadgenerator.Attempt{Fault: "reset", Started: at(-10), Ended: at(10)}
	foreign = loadgenerator.Attempt{Status: 200, Verdict: loadgenerator.VerdictForeign}
)

// TestFindings guards against an auditor that misses a broken invariant or reports one that holds.
func TestFindings(t *testing.T) {
	overloaded := ran("a", 1, "t1", 0, 5, emulator.ResultFinished)
	overloaded.InFlight = 2
	draining := ran("a", 1, "t1", 0, 5, emulator.ResultFinished)
	draining.DrainingSince = at(-3001)
	for _, test := range []struct {
		name     string
		evidence Evidence
		want     []string
	}{{
		name: "served once",
		evidence: Evidence{
			Records: []loadgenerator.Record{post("a", ok)},
			Runs:    []emulator.Run{ran("a", 1, "t1", 0, 5, emulator.ResultFinished)},
		},
	}, {
		name: "true refusal, also of a target whose lease lapsed",
		evidence: Evidence{
			Records: []loadgenerator.Record{post("a", notRun)},
			Runs: []emulator.Run{
				ran("a", 1, "t1", 0, 5, emulator.ResultStale),
				ran("a", 1, "t2", 0, 5, emulator.ResultRefused),
			},
		},
	}, {
		name: "false refusal",
		evidence: Evidence{
			Records: []loadgenerator.Record{post("a", notRun)},
			Runs:    []emulator.Run{ran("a", 1, "t1", 0, 5, emulator.ResultCrashed)},
		},
		want: []string{"I6"},
	}, {
		name: "ran twice",
		evidence: Evidence{
			Records: []loadgenerator.Record{post("a", unknown)},
			Runs: []emulator.Run{
				ran("a", 1, "t1", 0, 5, emulator.ResultFinished),
				ran("a", 1, "t1", 6, 9, emulator.ResultCancelled),
			},
		},
		want: []string{"I7"},
	}, {
		name: "repeated by the caller",
		evidence: Evidence{
			Records: []loadgenerator.Record{post("a", unknown, ok)},
			Runs: []emulator.Run{
				ran("a", 1, "t1", 0, 5, emulator.ResultFinished),
				ran("a", 2, "t1", 6, 9, emulator.ResultFinished),
			},
		},
	}, {
		name: "answers of others and of nobody",
		evidence: Evidence{
			Records: []loadgenerator.Record{post("a", foreign), post("b", ok)},
		},
		want: []string{"I5", "I5"},
	}, {
		name: "owners in turn without leases",
		evidence: Evidence{
			Runs: []emulator.Run{
				ran("a", 1, "t1", 0, 5, emulator.ResultFinished),
				ran("b", 1, "t2", 6, 7, emulator.ResultFinished),
				ran("c", 1, "t1", 8, 9, emulator.ResultFinished),
			},
		},
		want: []string{"I1"},
	}, {
		name: "owners one after the other under new epochs",
		evidence: Evidence{
			Runs: []emulator.Run{
				withEpoch(ran("a", 1, "t1", 0, 5, emulator.ResultFinished), 1),
				withEpoch(ran("b", 1, "t2", 6, 7, emulator.ResultFinished), 2),
				withEpoch(ran("c", 1, "t1", 8, 9, emulator.ResultFinished), 3),
			},
		},
	}, {
		name: "two holders",
		evidence: Evidence{
			Holdings: []emulator.Holding{
				{Target: "t1", From: at(0), Until: at(10), Epoch: 1},
				{Target: "t2", From: at(9), Until: at(20), Epoch: 2},
				{Target: "t1", From: at(20), Until: at(30), Epoch: 3},
			},
		},
		want: []string{"I1"},
	}, {
		name:     "cold",
		evidence: Evidence{Runs: []emulator.Run{overloaded}},
		want:     []string{"I3"},
	}, {
		name:     "draining",
		evidence: Evidence{Runs: []emulator.Run{draining}},
		want:     []string{"I8"},
	}, {
		name: "takeout, also when the target refused, and after the restoration",
		evidence: Evidence{
			Runs: []emulator.Run{
				ran("a", 1, "t1", 3000, 3000, emulator.ResultFinished),
				ran("b", 1, "t1", 3001, 3001, emulator.ResultRefused),
				ran("c", 1, "t1", 5000, 5001, emulator.ResultFinished),
			},
			Events: []Event{{DataCentre: "waw", At: at(0), Until: at(5000)}},
		},
		want: []string{"I4"},
	}, {
		name: "planned stop",
		evidence: Evidence{
			Records: []loadgenerator.Record{post("a", lost)},
			Events:  []Event{{Entry: entry, At: at(0)}},
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

// TestNumbers guards against figures that leave out idle targets or count time in which a key was served.
func TestNumbers(t *testing.T) {
	c := qt.New(t)
	record := func(ms int, a loadgenerator.Attempt) loadgenerator.Record {
		r := post("a", a)
		r.Intended = at(ms)
		r.Ended = at(ms + 10)
		return r
	}
	n := (Auditor{}).Audit(Evidence{
		Records: []loadgenerator.Record{
			record(0, ok), record(100, notRun), record(200, notRun), record(350, ok), record(400, notRun),
		},
		Runs: []emulator.Run{
			withEpoch(ran("a", 1, "t1", 0, 5, emulator.ResultFinished), 1),
			withEpoch(ran("b", 1, "t1", 6, 7, emulator.ResultFinished), 1),
			withEpoch(ran("c", 1, "t2", 8, 9, emulator.ResultFinished), 2),
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
		Records: []loadgenerator.Record{record(0, notRun), record(1991, notRun)},
		Keyed:   map[string]bool{"tally": true},
	}).Numbers
	c.Assert(late.KeysLate, qt.Equals, 1)
	c.Assert(n.Outcomes["tally"].Served, qt.Equals, 2)
}
