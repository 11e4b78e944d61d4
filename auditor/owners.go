package auditor

import (
	"fmt"
	"slices"
	"time"

	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/fencer"
)

// ownershipInterval is the time in which a target acted as the owner of a key under one epoch: from the start of its
// first run to the end of its last. A target without leases acts under epoch zero, so that all its runs are one
// interval.
type ownershipInterval struct {
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

// auditOwners checks from the runs that no key had two owners at the same time (I1). It also finds violations that
// holdings do not show: those of targets that do not check epochs, and of routers without leases.
func auditOwners(e Evidence) []Finding {
	var findings []Finding
	for id, runs := range runsByKey(e) {
		intervals := ownershipIntervals(runs)
		for i, t := range intervals {
			for _, u := range intervals[i+1:] {
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

func ownershipIntervals(runs []emulator.Run) []ownershipInterval {
	var intervals []ownershipInterval
	for _, r := range runs {
		// A run that did not finish shows ownership only at its start: the time at which its target recorded its end
		// does not show for how long the target acted as owner.
		until := r.Started
		if r.Result == emulator.ResultFinished {
			until = r.Ended
		}
		i := slices.IndexFunc(intervals, func(t ownershipInterval) bool {
			return t.target == r.Target && t.incarnation == r.Incarnation && t.epoch == r.Epoch
		})
		if i < 0 {
			intervals = append(intervals, ownershipInterval{
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
		if until.After(intervals[i].until) {
			intervals[i].until = until
			intervals[i].last = r
		}
	}
	return intervals
}
