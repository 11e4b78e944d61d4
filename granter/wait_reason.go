package granter

// The reasons for which a slot has no owner that takes new requests, as shown to operators.
const (
	// waitRelease: the owner finishes its requests in progress, or its lease has not expired yet.
	waitRelease = "release"
	// waitUnchecked: the last owner does not check epochs, and uncheckedWait has not passed.
	waitUnchecked = "uncheckedWait"
	// waitTarget: no target is in service that could take the slot.
	waitTarget = "target"
	// waitLog: the assignment is proposed and not yet committed in the log.
	waitLog = "log"
	// waitInSync: in isolated mode, a host of the in-sync set has not acknowledged the assignment.
	waitInSync = "inSync"
	// waitDelegation: the slot was given back and waits for the control leader.
	waitDelegation = "delegation"
	// waitTakeOver: the authority is new and has not opened its table, as leases of its predecessor may still be held.
	waitTakeOver = "takeOver"
	// waitLease: the authority has neither a valid authority lease nor valid promises of its in-sync set.
	waitLease = "authorityLease"
)

// Waits counts the slots that have no owner taking new requests, by service and by reason. It returns nil if this host
// is not the authority.
func (g *Granter) Waits() map[string]map[string]int {
	if g.index == 0 || g.config == nil {
		return nil
	}
	waits := make(map[string]map[string]int, len(g.tables))
	for name, tab := range g.tables {
		counts := make(map[string]int)
		for i := range tab.slots {
			if reason := g.waitReason(&tab.slots[i]); reason != "" {
				counts[reason]++
			}
		}
		waits[name] = counts
	}
	return waits
}

// waitReason returns the reason for which a slot has no owner that takes new requests, empty if it has one or is
// delegated to another data centre.
func (g *Granter) waitReason(s *slot) string {
	switch {
	case s.phase == phaseElsewhere:
		return ""
	case !g.mayGrant():
		return waitLease
	case !g.opened:
		return waitTakeOver
	}
	switch s.phase {
	case phaseReleasing:
		return waitRelease
	case phaseProposing:
		return waitLog
	case phasePrepared:
		return waitInSync
	case phaseYielded:
		return waitDelegation
	case phaseFree:
		if g.now.Before(s.freeAt) {
			return waitUnchecked
		}
		return waitTarget
	}
	return ""
}
