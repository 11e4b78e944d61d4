package granter

import (
	"strconv"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/keyer"
)

// proposeRetryDelay is the time after which a command with an unknown outcome is proposed again.
const proposeRetryDelay = 100 * time.Millisecond

// proposal is a proposed command without a result.
type proposal struct {
	command applier.Command
	// attemptAt is the time at which the last attempt started or, if it ended without a result, ended.
	attemptAt time.Time
	// inFlight is true while an attempt is in progress.
	inFlight bool
}

// propose proposes a command under a new request ID.
func (g *Granter) propose(cmd applier.Command) {
	g.proposalCounter++
	cmd.RequestID = g.DataCentre + "-" + strconv.FormatUint(g.index, 10) + "-" + strconv.FormatUint(g.proposalCounter, 10)
	g.proposals[cmd.RequestID] = &proposal{
		command:   cmd,
		attemptAt: g.now,
		inFlight:  true,
	}
	g.emit(ProposeMsg{
		Command: cmd,
	})
}

// assignSlots proposes next owners for the slots that nobody holds, and gives back to the control leader the slots that
// have to leave the data centre. In isolated mode it prepares assignments instead and gives nothing back.
func (g *Granter) assignSlots(tab *table) {
	var changes []applier.OwnerChange
	isolated := !g.lease.Valid(g.now)
	for i := range tab.slots {
		s := &tab.slots[i]
		if isolated && s.phase == phaseProposing && s.next != nil {
			// The control leader is unreachable; the same assignment is sent to the in-sync set instead.
			s.phase = phasePrepared
			s.version = g.nextVersion()
			s.uncommitted = true
		}
		_, leaves := tab.yield[keyer.Slot(i)]
		leaves = leaves || g.state.DataCentres[g.DataCentre].Out
		if leaves && s.phase == phaseFree && !g.now.Before(s.freeAt) && !isolated {
			s.next = nil
			s.epoch = g.nextEpoch(s)
			s.phase = phaseProposing
			changes = append(changes, ownerChange(i, s))
			continue
		}
		if leaves || !g.eligible(s) || isolated && !g.now.Before(g.holdEnd(tab.service)) {
			continue
		}
		s.epoch = g.nextEpoch(s)
		if isolated {
			s.phase = phasePrepared
			s.version = g.nextVersion()
			s.uncommitted = true
			continue
		}
		s.phase = phaseProposing
		changes = append(changes, ownerChange(i, s))
	}
	if !isolated {
		changes = append(changes, g.uncommittedChanges(tab)...)
	}
	if len(changes) > 0 {
		g.propose(applier.Command{
			Assign: &applier.AssignMsg{
				DataCentre:     g.DataCentre,
				AuthorityIndex: g.index,
				Service:        tab.service.Name,
				Owners:         changes,
			},
		})
	}
}

// uncommittedChanges returns the assignments that were made in isolated mode, so that they are committed once the
// authority lease is valid again.
func (g *Granter) uncommittedChanges(tab *table) []applier.OwnerChange {
	var changes []applier.OwnerChange
	for i := range tab.slots {
		s := &tab.slots[i]
		if !s.uncommitted {
			continue
		}
		s.uncommitted = false
		if s.phase == phasePrepared {
			s.phase = phaseProposing
		}
		c := ownerChange(i, s)
		if s.owner != nil {
			c.Target = s.owner.name
		}
		changes = append(changes, c)
	}
	return changes
}

// ownerChange returns the change that records the epoch and the next owner of slot n.
func ownerChange(n int, s *slot) applier.OwnerChange {
	c := applier.OwnerChange{
		Slot:  keyer.Slot(n),
		Epoch: s.epoch,
	}
	if s.next != nil {
		c.Target = s.next.name
	}
	return c
}

// handleProposed takes the result of a command. Without a result the command is proposed again later, under the same
// request ID since it may have been committed.
func (g *Granter) handleProposed(m ProposedMsg) {
	p, ok := g.proposals[m.RequestID]
	if !ok {
		return
	}
	p.inFlight = false
	p.attemptAt = g.now
	if m.Err != nil {
		return
	}
	delete(g.proposals, m.RequestID)
	switch {
	case p.command.SetInSync != nil:
		g.handleInSyncResult(m.Result.Rejection == "")
	case p.command.Assign != nil:
		g.handleAssigned(p.command.Assign, m.Result.Rejection == "")
	}
}

// handleAssigned takes the result of an assignment. Accepted slots are activated or, without a target, given back to
// the control leader; refused ones become free.
func (g *Granter) handleAssigned(m *applier.AssignMsg, accepted bool) {
	tab := g.tables[m.Service]
	tab.committed = nil
	for _, c := range m.Owners {
		s := &tab.slots[c.Slot]
		if !accepted && s.epoch == c.Epoch && s.phase != phaseProposing && s.owner != nil {
			// The assignment of isolated mode is in force but not committed yet.
			s.uncommitted = true
		}
		if s.phase != phaseProposing || s.epoch != c.Epoch {
			continue
		}
		switch {
		case !accepted:
			// The authority or the delegation changed in the meantime; the state shows it at the next tick.
			s.phase = phaseFree
			s.next = nil
		case c.Target == "":
			s.phase = phaseYielded
			s.recordedOwner = ""
			s.version = g.nextVersion()
		default:
			g.activate(tab, c.Slot)
		}
	}
}

// retryProposals proposes commands with an unknown outcome again.
func (g *Granter) retryProposals() {
	if !g.lease.Valid(g.now) {
		return
	}
	for _, id := range sortedKeys(g.proposals) {
		if p := g.proposals[id]; !p.inFlight && g.now.Sub(p.attemptAt) >= proposeRetryDelay {
			p.inFlight, p.attemptAt = true, g.now
			g.emit(ProposeMsg{
				Command: p.command,
			})
		}
	}
}
