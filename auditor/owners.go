package auditor

import (
	"fmt"
	"slices"
	"time"

	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/fencer"
)

// tenure is the time in which a target acted as the owner of a key under one epoch: from its first run to its last. A
// target without leases acts under epoch zero, so that all its runs are one tenure.
type tenure struct {
	target      string
	incarnation uint64
	epoch       fencer.Epoch
	from, until time.Time
	first, last emulator.Run
}

type keyID struct {
	service string
	key     string
}

// auditOwners checks from the runs that no key had two owners at the same time (I1). It sees what holdings do not show:
// targets that do not check epochs, and routers without leases.
func auditOwners(e Evidence) []Finding {
	var findings []Finding
	for id, runs := range runsByKey(e) {
		tenures := tenuresOf(runs)
		for i, t := range tenures {
			for _, u := range tenures[i+1:] {
				if u.target == t.target || !u.from.Before(t.until) {
					continue
				}
				findings = append(findings, Finding{
					Invariant: "I1",
					Message:   fmt.Sprintf("key %s of %s was run by %s and %s in turn", id.key, id.service, t.target, u.target),
					Evidence:  describeRuns([]emulator.Run{t.first, u.first, t.last}),
				})
				break
			}
		}
	}
	return findings
}

// runsByKey returns the runs of keyed services that may have had an effect, by key and in the order of their start.
func runsByKey(e Evidence) map[keyID][]emulator.Run {
	byKey := make(map[keyID][]emulator.Run)
	for _, r := range e.Runs {
		if e.Keyed[r.Service] && r.Key != "" && mayHaveRun(r) {
			id := keyID{r.Service, r.Key}
			byKey[id] = append(byKey[id], r)
		}
	}
	for _, runs := range byKey {
		slices.SortFunc(runs, func(a, b emulator.Run) int { return a.Started.Compare(b.Started) })
	}
	return byKey
}

func tenuresOf(runs []emulator.Run) []tenure {
	var tenures []tenure
	for _, r := range runs {
		// A run that did not finish acted as owner at its start; when its target noticed the end says nothing.
		until := r.Started
		if r.Result == emulator.ResultFinished {
			until = r.Ended
		}
		i := slices.IndexFunc(tenures, func(t tenure) bool {
			return t.target == r.Target && t.incarnation == r.Incarnation && t.epoch == r.Epoch
		})
		if i < 0 {
			tenures = append(tenures, tenure{
				target:      r.Target,
				incarnation: r.Incarnation,
				epoch:       r.Epoch,
				from:        r.Started,
				until:       until,
				first:       r,
				last:        r,
			})
			continue
		}
		if until.After(tenures[i].until) {
			tenures[i].until = until
			tenures[i].last = r
		}
	}
	return tenures
}
