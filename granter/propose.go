package granter

import (
	"strconv"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/keyer"
)

// proposeAgain is the wait before a command whose result is unknown is proposed again.
const proposeAgain = 100 * time.Millisecond

// proposal is a command on its way to the log.
type proposal struct {
	command applier.Command
	at      time.Time
	// open says that a call is in progress.
	open bool
}

func (g *Granter) propose(cmd applier.Command) {
	g.requests++
	cmd.RequestID = g.DataCentre + "-" + strconv.FormatUint(g.index, 10) + "-" + strconv.FormatUint(g.requests, 10)
	g.proposals[cmd.RequestID] = &proposal{
		command: cmd,
		at:      g.now,
		open:    true,
	}
	g.emit(ProposeMsg{
		Command: cmd,
	})
}

// assign proposes new owners for the slots that nobody holds, and gives slots back that have to leave.
func (g *Granter) assign(tab *table) {
	var changes []applier.OwnerChange
	isolated := !g.lease.Valid(g.now)
	for i := range tab.slots {
		s := &tab.slots[i]
		if isolated && s.phase == proposing && s.to != nil {
			// The log does not answer; the same assignment is made known to the in-sync set instead.
			s.phase = prepared
			s.version = g.next()
			s.unlogged = true
		}
		_, leaves := tab.yield[keyer.Slot(i)]
		leaves = leaves || g.state.DataCentres[g.DataCentre].Out
		if leaves && s.phase == free && !g.now.Before(s.freeAt) && !isolated {
			s.to = nil
			s.epoch = g.epochOf(s)
			s.phase = proposing
			changes = append(changes, change(i, s))
			continue
		}
		if leaves || !g.eligible(s) || isolated && !g.now.Before(g.holdOf(tab.service)) {
			continue
		}
		s.epoch = g.epochOf(s)
		if isolated {
			s.phase = prepared
			s.version = g.next()
			s.unlogged = true
			continue
		}
		s.phase = proposing
		changes = append(changes, change(i, s))
	}
	if !isolated {
		changes = append(changes, g.unlogged(tab)...)
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

// unlogged returns the assignments that were made in isolated mode, to record them after the leader is back.
func (g *Granter) unlogged(tab *table) []applier.OwnerChange {
	var changes []applier.OwnerChange
	for i := range tab.slots {
		s := &tab.slots[i]
		if !s.unlogged {
			continue
		}
		s.unlogged = false
		if s.phase == prepared {
			s.phase = proposing
		}
		c := change(i, s)
		if s.owner != nil {
			c.Target = s.owner.name
		}
		changes = append(changes, c)
	}
	return changes
}

func change(n int, s *slot) applier.OwnerChange {
	c := applier.OwnerChange{
		Slot:  keyer.Slot(n),
		Epoch: s.epoch,
	}
	if s.to != nil {
		c.Target = s.to.name
	}
	return c
}

// proposed takes the result of a command. Without a result the command is proposed again under the same identity, since
// it may have been committed.
func (g *Granter) proposed(m ProposedMsg) {
	p, ok := g.proposals[m.RequestID]
	if !ok {
		return
	}
	p.open = false
	p.at = g.now
	if m.Err != nil {
		return
	}
	delete(g.proposals, m.RequestID)
	switch {
	case p.command.SetInSync != nil:
		g.synced(m.Result.Refusal == "")
	case p.command.Assign != nil:
		g.assigned(p.command.Assign, m.Result.Refusal == "")
	}
}

func (g *Granter) assigned(m *applier.AssignMsg, ok bool) {
	tab := g.tables[m.Service]
	tab.source = nil
	for _, c := range m.Owners {
		s := &tab.slots[c.Slot]
		if !ok && s.epoch == c.Epoch && s.phase != proposing && s.owner != nil {
			// The assignment of isolated mode is in force but not recorded yet.
			s.unlogged = true
		}
		if s.phase != proposing || s.epoch != c.Epoch {
			continue
		}
		switch {
		case !ok:
			// The authority or the delegation changed in between; the state says so at the next tick.
			s.phase = free
			s.to = nil
		case c.Target == "":
			s.phase = yielded
			s.name = ""
			s.version = g.next()
		default:
			g.activate(tab, c.Slot)
		}
	}
}

// repeatProposals proposes commands again whose result is unknown.
func (g *Granter) repeatProposals() {
	if !g.lease.Valid(g.now) {
		return
	}
	for _, id := range sortedKeys(g.proposals) {
		if p := g.proposals[id]; !p.open && g.now.Sub(p.at) >= proposeAgain {
			p.open, p.at = true, g.now
			g.emit(ProposeMsg{
				Command: p.command,
			})
		}
	}
}
