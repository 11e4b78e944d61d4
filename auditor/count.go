package auditor

import (
	"slices"
	"time"

	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/loadgenerator"
)

// recoveryBound is the time within which a key must be served again after a loss, from docs/design.md.
const recoveryBound = 2 * time.Second

func computeNumbers(e Evidence, byAttempt map[attemptID][]emulator.Run) Numbers {
	n := Numbers{
		Imbalance: imbalance(e),
		Outcomes: map[string]loadgenerator.Summary{
			"": loadgenerator.Summarize(e.Records, ""),
		},
		Rejected: make(map[string]int),
	}
	for service := range e.Targets {
		n.Outcomes[service] = loadgenerator.Summarize(e.Records, service)
	}
	for _, r := range e.Runs {
		switch r.Result {
		case emulator.ResultRejected:
			n.Rejected[r.Reason]++
		case emulator.ResultCrashed:
			n.Crashes++
		}
	}
	for _, runs := range runsByKey(e) {
		for i, r := range runs[1:] {
			if r.Target != runs[i].Target {
				n.KeyMoves++
			}
		}
	}
	n.SlotMoves, n.SlotsHeld = slotMoves(e)
	countUnavailable(e, &n)
	for _, rec := range e.Records {
		attemptsRun := 0
		for _, attempt := range rec.Attempts {
			if slices.ContainsFunc(byAttempt[attemptID{rec.Identity, attempt.Number}], mayHaveRun) {
				attemptsRun++
			}
		}
		if !rec.Idempotent && attemptsRun > 1 {
			n.CallerRetries++
		}
	}
	return n
}

// imbalance returns for each service the maximum of the finished requests of a target over the mean of its targets.
func imbalance(e Evidence) map[string]float64 {
	finished := make(map[string]int)
	for _, r := range e.Runs {
		if r.Result == emulator.ResultFinished {
			finished[r.Target]++
		}
	}
	imbalance := make(map[string]float64)
	for service, targets := range e.Targets {
		sum, most := 0, 0
		for _, target := range targets {
			sum += finished[target]
			most = max(most, finished[target])
		}
		if sum > 0 {
			imbalance[service] = float64(most) * float64(len(targets)) / float64(sum)
		}
	}
	return imbalance
}

// slotMoves counts the changes of a slot's owner in the measured time, and the slots that ever had an owner.
func slotMoves(e Evidence) (moves, held int) {
	type slotID struct {
		service string
		slot    uint32
	}
	holdings := slices.Clone(e.Holdings)
	slices.SortFunc(holdings, func(a, b emulator.Holding) int { return a.From.Compare(b.From) })
	owner := make(map[slotID]string)
	for _, h := range holdings {
		id := slotID{h.Service, uint32(h.Slot)}
		if last, ok := owner[id]; ok && last != h.Target && !h.From.Before(e.From) {
			moves++
		}
		owner[id] = h.Target
	}
	return moves, len(owner)
}

// countUnavailable adds up the times in which keys of keyed services were not served.
func countUnavailable(e Evidence, n *Numbers) {
	byKey := make(map[keyID][]loadgenerator.Record)
	for _, r := range e.Records {
		if e.Keyed[r.Service] && len(r.Attempts) > 0 && !r.Poison {
			id := keyID{r.Service, r.Key}
			byKey[id] = append(byKey[id], r)
		}
	}
	for _, records := range byKey {
		slices.SortFunc(records, func(a, b loadgenerator.Record) int { return a.Intended.Compare(b.Intended) })
		var outageStart, lastFailureEnd time.Time
		failed, late := false, false
		endOutage := func(outageEnd time.Time) {
			d := outageEnd.Sub(outageStart)
			n.Unavailable += d
			n.WorstUnavailable = max(n.WorstUnavailable, d)
			outageStart = time.Time{}
		}
		for _, r := range records {
			switch {
			case !r.Served():
				if outageStart.IsZero() {
					outageStart = r.Intended
				}
				lastFailureEnd = r.Ended
				failed = true
				late = late || lastFailureEnd.Sub(outageStart) > recoveryBound
			case r.Served() && !outageStart.IsZero():
				endOutage(r.Intended)
			}
		}
		if !outageStart.IsZero() {
			endOutage(lastFailureEnd)
		}
		if failed {
			n.KeysUnavailable++
		}
		if late {
			n.KeysLate++
		}
	}
}
