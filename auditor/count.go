package auditor

import (
	"slices"
	"time"

	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/loadgenerator"
)

// recoveryBound is the time in which a key is served again after a loss, from docs/design.md.
const recoveryBound = 2 * time.Second

func count(e Evidence, byAttempt map[attemptID][]emulator.Run) Numbers {
	n := Numbers{
		Imbalance: imbalance(e),
		Outcomes: map[string]loadgenerator.Summary{
			"": loadgenerator.Summarize(e.Records, ""),
		},
		Refused: make(map[string]int),
	}
	for service := range e.Targets {
		n.Outcomes[service] = loadgenerator.Summarize(e.Records, service)
	}
	for _, r := range e.Runs {
		switch r.Result {
		case emulator.ResultRefused:
			n.Refused[r.Reason]++
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
		ran := 0
		for _, at := range rec.Attempts {
			if slices.ContainsFunc(byAttempt[attemptID{rec.Identity, at.Number}], mayHaveRun) {
				ran++
			}
		}
		if !rec.Idempotent && ran > 1 {
			n.CallerRepeats++
		}
	}
	return n
}

// imbalance returns the maximum over the mean of finished requests for each target.
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

// slotMoves counts changes of owner in the measured time.
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
		var since, last time.Time
		failed, late := false, false
		end := func(at time.Time) {
			d := at.Sub(since)
			n.Unavailable += d
			n.WorstUnavailable = max(n.WorstUnavailable, d)
			since = time.Time{}
		}
		for _, r := range records {
			switch {
			case !r.Served():
				if since.IsZero() {
					since = r.Intended
				}
				last = r.Ended
				failed = true
				late = late || last.Sub(since) > recoveryBound
			case r.Served() && !since.IsZero():
				end(r.Intended)
			}
		}
		if !since.IsZero() {
			end(last)
		}
		if failed {
			n.KeysUnavailable++
		}
		if late {
			n.KeysLate++
		}
	}
}
