// Package auditor is a history checker: it compares what callers were told in a recorded run with what targets ran. It
// reports each invariant violation with the records that show it, and computes the figures of the run.
package auditor

import (
	"fmt"
	"slices"
	"time"

	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/loadgenerator"
)

// takeoutBound is the time within which a takeout or the start of draining must take effect: after it, the targets
// affected get no new requests (I4, I8).
const takeoutBound = 3 * time.Second

// Auditor checks the evidence of one run. The zero value is ready to use.
type Auditor struct {
	// TakeoutBound replaces the bound of 3 s in I4 and I8, so that tests can use shorter runs; zero means 3 s.
	TakeoutBound time.Duration
}

// Audit checks the invariants that the records of callers and targets can show, and computes the figures of the run.
func (a Auditor) Audit(e Evidence) Report {
	if a.TakeoutBound == 0 {
		a.TakeoutBound = takeoutBound
	}
	byAttempt := make(map[attemptID][]emulator.Run)
	for _, r := range e.Runs {
		if r.Result != emulator.ResultRejected {
			id := attemptID{r.Identity, r.Attempt}
			byAttempt[id] = append(byAttempt[id], r)
		}
	}
	var findings []Finding
	for _, rec := range e.Records {
		findings = append(findings, auditRecord(rec, byAttempt)...)
	}
	findings = append(findings, auditHoldings(e.Holdings)...)
	findings = append(findings, auditOwners(e)...)
	findings = append(findings, auditCold(e.Runs)...)
	findings = append(findings, a.auditEvents(e)...)
	e.Runs = slices.DeleteFunc(slices.Clone(e.Runs), func(r emulator.Run) bool { return r.Started.Before(e.From) })
	return Report{
		Findings: findings,
		Numbers:  computeNumbers(e, byAttempt),
	}
}

// attemptID identifies one attempt of a caller by the caller's identity of the request and the number of the attempt.
type attemptID struct {
	identity string
	attempt  int
}

// mayHaveRun reports whether a run may have taken effect.
func mayHaveRun(r emulator.Run) bool {
	return r.Result != emulator.ResultRejected && r.Result != emulator.ResultStale
}

func auditRecord(rec loadgenerator.Record, byAttempt map[attemptID][]emulator.Run) []Finding {
	var findings []Finding
	add := func(invariant string, runs []emulator.Run, format string, args ...any) {
		findings = append(findings, Finding{
			Invariant: invariant,
			Message:   fmt.Sprintf(format, args...),
			Evidence:  append([]string{describeRecord(rec)}, describeRuns(runs)...),
		})
	}
	for _, attempt := range rec.Attempts {
		all := byAttempt[attemptID{rec.Identity, attempt.Number}]
		runs := slices.DeleteFunc(slices.Clone(all), func(r emulator.Run) bool { return !mayHaveRun(r) })
		finished := slices.ContainsFunc(runs, func(r emulator.Run) bool { return r.Result == emulator.ResultFinished })
		if attempt.CallerOutcome() == "notRun" && len(runs) > 0 {
			add("I6", runs, "the caller was told notRun (%s), but %s ran it", attempt.Reason, runs[0].Target)
		}
		if !rec.Idempotent && len(runs) > 1 {
			add("I7", runs, "one sending of a non-idempotent request ran %d times", len(runs))
		}
		switch {
		case attempt.Verdict == loadgenerator.VerdictForeign:
			add("I5", all, "the answer belongs to another request")
		case attempt.Verdict == loadgenerator.VerdictDamaged:
			add("I5", all, "the answer is not whole")
		case attempt.Verdict == loadgenerator.VerdictWhole && !finished:
			add("I5", all, "the caller has an answer, but no target finished the request")
		}
	}
	return findings
}

// auditHoldings checks what targets recorded of the slots that they owned: no two targets owned a slot at the same
// time, and the epoch of a slot never decreased (I1).
func auditHoldings(holdings []emulator.Holding) []Finding {
	type slotID struct {
		service string
		slot    uint32
	}
	bySlot := make(map[slotID][]emulator.Holding)
	for _, h := range holdings {
		id := slotID{h.Service, uint32(h.Slot)}
		bySlot[id] = append(bySlot[id], h)
	}
	var findings []Finding
	for id, hs := range bySlot {
		slices.SortFunc(hs, func(a, b emulator.Holding) int { return a.From.Compare(b.From) })
		last := hs[0]
		for _, h := range hs[1:] {
			if h.From.Before(last.Until) && h.Target != last.Target {
				findings = append(findings, Finding{
					Invariant: "I1",
					Message: fmt.Sprintf("slot %d of %s had two owners for %s: %s and %s",
						id.slot, id.service, earlier(last.Until, h.Until).Sub(h.From), last.Target, h.Target),
					Evidence: []string{describeHolding(last), describeHolding(h)},
				})
			}
			if h.Epoch < last.Epoch {
				findings = append(findings, Finding{
					Invariant: "I1",
					Message:   fmt.Sprintf("the epoch of slot %d of %s fell", id.slot, id.service),
					Evidence:  []string{describeHolding(last), describeHolding(h)},
				})
			}
			if h.Until.After(last.Until) {
				last = h
			}
		}
	}
	return findings
}

// auditCold checks that no cold target got more requests in progress than it can handle (I3).
func auditCold(runs []emulator.Run) []Finding {
	var findings []Finding
	for _, r := range runs {
		if r.Result != emulator.ResultRejected && r.InFlight > r.ColdLimit {
			findings = append(findings, Finding{
				Invariant: "I3",
				Message: fmt.Sprintf("%s was cold, bore %d requests in progress and got %d",
					r.Target, r.ColdLimit, r.InFlight),
				Evidence: describeRuns([]emulator.Run{r}),
			})
		}
	}
	return findings
}

// auditEvents checks that targets that drain, and targets and data centres that were taken out, get no new requests
// after the bound (I4, I8), and that a planned stop cuts off no request in progress (I9).
func (a Auditor) auditEvents(e Evidence) []Finding {
	var findings []Finding
	for _, r := range e.Runs {
		if !r.DrainingSince.IsZero() && r.Started.After(r.DrainingSince.Add(a.TakeoutBound)) {
			findings = append(findings, Finding{
				Invariant: "I8",
				Message:   fmt.Sprintf("%s got new work %s after it began to drain", r.Target, r.Started.Sub(r.DrainingSince)),
				Evidence:  describeRuns([]emulator.Run{r}),
			})
		}
	}
	for _, ev := range e.Events {
		if ev.Entry.IsValid() {
			findings = append(findings, auditStop(ev, e.Records)...)
			continue
		}
		invariant := "I4"
		if ev.Target != "" {
			invariant = "I8"
		}
		for _, r := range e.Runs {
			affected := r.Target == ev.Target || ev.Target == "" && r.DataCentre == ev.DataCentre
			if affected && r.Started.After(ev.At.Add(a.TakeoutBound)) && (ev.Until.IsZero() || r.Started.Before(ev.Until)) {
				findings = append(findings, Finding{
					Invariant: invariant,
					Message: fmt.Sprintf("%s got new work %s after the takeout of %s%s", r.Target, r.Started.Sub(ev.At),
						ev.DataCentre, ev.Target),
					Evidence: describeRuns([]emulator.Run{r}),
				})
			}
		}
	}
	return findings
}

func auditStop(ev Event, records []loadgenerator.Record) []Finding {
	var findings []Finding
	for _, rec := range records {
		for _, a := range rec.Attempts {
			if a.Entry == ev.Entry && a.Started.Before(ev.At) && a.Ended.After(ev.At) && a.CallerOutcome() == "lost" {
				findings = append(findings, Finding{
					Invariant: "I9",
					Message:   fmt.Sprintf("the planned stop of %s cut a request in progress", ev.Entry),
					Evidence:  []string{describeRecord(rec)},
				})
			}
		}
	}
	return findings
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
