package granter

// The reasons for which a slot has no owner that takes new requests, as operators see them.
const (
	// waitRelease: the owner finishes its requests in progress, or its lease has still to lapse.
	waitRelease = "release"
	// waitUnchecked: the last owner does not check epochs, and uncheckedWait has not passed.
	waitUnchecked = "uncheckedWait"
	// waitTarget: no target is in service that could take the slot.
	waitTarget = "target"
	// waitLog: the assignment is on its way to the log.
	waitLog = "log"
	// waitInSync: in isolated mode, a host of the in-sync set has not acknowledged the assignment.
	waitInSync = "inSync"
	// waitDelegation: the slot was given back and waits for the control leader.
	waitDelegation = "delegation"
	// waitTakeOver: the authority is new and has not opened its table.
	waitTakeOver = "takeOver"
	// waitLease: the authority holds neither its lease nor the promises of its in-sync set.
	waitLease = "authorityLease"
)

// Waits counts the slots by service and by the reason for which they have no owner that takes new requests.
func (g *Granter) Waits() map[string]map[string]int {
	if g.index == 0 || g.config == nil {
		return nil
	}
	waits := make(map[string]map[string]int, len(g.tables))
	for name, tab := range g.tables {
		counts := make(map[string]int)
		for i := range tab.slots {
			if reason := g.wait(&tab.slots[i]); reason != "" {
				counts[reason]++
			}
		}
		waits[name] = counts
	}
	return waits
}

func (g *Granter) wait(s *slot) string {
	switch {
	case s.phase == elsewhere:
		return ""
	case !g.granting():
		return waitLease
	case !g.opened:
		return waitTakeOver
	}
	switch s.phase {
	case releasing:
		return waitRelease
	case proposing:
		return waitLog
	case prepared:
		return waitInSync
	case yielded:
		return waitDelegation
	case free:
		if g.now.Before(s.freeAt) {
			return waitUnchecked
		}
		return waitTarget
	}
	return ""
}
