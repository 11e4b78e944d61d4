package granter

import (
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/reporter"
)

// phase is the phase of a slot in the hand-over from one owner to the next.
type phase uint8

const (
	// phaseFree: nobody holds the slot; it may be assigned from freeAt on.
	phaseFree phase = iota
	// phaseServing: owner holds the slot.
	phaseServing
	// phaseReleasing: owner finishes the requests in progress and takes no new one.
	phaseReleasing
	// phaseProposing: the assignment to the next owner is proposed and not yet committed in the log.
	phaseProposing
	// phasePrepared: in isolated mode, the in-sync set has not yet acknowledged the assignment to the next owner.
	phasePrepared
	// phaseYielded: the slot was given back to the control leader and waits for a new delegation.
	phaseYielded
	// phaseElsewhere: the slot is delegated to another data centre.
	phaseElsewhere
)

// slot is the authority's view of one slot of a keyed service.
type slot struct {
	phase phase
	owner *target
	next  *target
	// recordedOwner is the name of the last owner. A free slot goes to that target first, also in a new incarnation.
	recordedOwner string
	epoch         fencer.Epoch
	// version is the version of the table in which the slot's entry changed last.
	version uint64
	freeAt  time.Time
	// delegatedAt is the log index of the delegation.
	delegatedAt uint64
	// released is true if, before the table was open, a host reported that the recorded owner gave the slot up.
	released bool
	// uncommitted is true while an assignment that was made in isolated mode still has to be proposed.
	uncommitted bool
}

// table holds the slots of one service.
type table struct {
	service *configurer.Service
	slots   []slot
	// committed is the slot table of the replicated state that was read last.
	committed *applier.SlotTable
	// loads counts the requests by slot, halved every loadHalfLife.
	loads         []float64
	loadsHalvedAt time.Time
	// loadTime is the time that loads stand for as of loadsHalvedAt: a steady rate x loadTime gives them.
	loadTime time.Duration
	// yield is the set of slots to release for another data centre, as the control leader requested.
	yield map[keyer.Slot]struct{}
	// rebalancing is true if the last rebalancing moved slots, and moveTimes lists the times of recent moves for
	// balance.
	rebalancing bool
	moveTimes   []time.Time
	lastScan    scan
}

// setYield replaces the set of slots to release, and has the slots scanned again if the old or the new set has any.
func (t *table) setYield(slots []keyer.Slot) {
	if len(slots) > 0 || len(t.yield) > 0 {
		t.lastScan = scan{}
	}
	t.yield = make(map[keyer.Slot]struct{}, len(slots))
	for _, s := range slots {
		t.yield[s] = struct{}{}
	}
}

func (t *table) addLoad(l reporter.LoadMsg) {
	for s, n := range l.Requests {
		if int(s) < len(t.loads) {
			t.loads[s] += float64(n)
		}
	}
}

// markReleased marks slots that a host reported as given up by their recorded owner, before the table is open.
func (t *table) markReleased(target string, slots []keyer.Slot) {
	for _, s := range slots {
		if int(s) < len(t.slots) && t.slots[s].recordedOwner == target {
			t.slots[s].released = true
		}
	}
}

// loadTables reads the owners from the replicated state, and from this host's table what the predecessor changed in
// isolated mode.
func (g *Granter) loadTables() {
	for i := range g.config.Services {
		if svc := &g.config.Services[i]; svc.Keyed {
			g.loadTable(svc)
		}
	}
	if g.Known == nil {
		return
	}
	known := g.Known()
	if known == nil {
		return
	}
	for _, a := range known.Slots {
		t, ok := g.tables[a.Service]
		if !ok || int(a.Slot) >= len(t.slots) || a.HotKey != "" {
			continue
		}
		if s := &t.slots[a.Slot]; a.Epoch > s.epoch && s.phase != phaseElsewhere {
			s.recordedOwner, s.epoch = a.Target, a.Epoch
		}
	}
}

func (g *Granter) loadTable(svc *configurer.Service) {
	t := &table{
		service:       svc,
		slots:         make([]slot, svc.Slots),
		loads:         make([]float64, svc.Slots),
		loadsHalvedAt: g.now,
	}
	for i := range t.slots {
		t.slots[i].phase = phaseElsewhere
	}
	g.tables[svc.Name] = t
	g.readDelegations(t)
}

// readDelegations follows the log: which slots were delegated to this data centre, and which to another one.
func (g *Granter) readDelegations(t *table) {
	committed := g.state.Slots[t.service.Name]
	if committed == nil || committed == t.committed {
		return
	}
	t.committed = committed
	for i := range t.slots {
		entry, _ := committed.Entry(keyer.Slot(i))
		s := &t.slots[i]
		switch {
		case entry.DataCentre != g.DataCentre:
			if s.phase != phaseElsewhere {
				*s = slot{
					phase:   phaseElsewhere,
					version: g.bumpVersion(s.version),
				}
			}
		case s.phase == phaseElsewhere || s.phase == phaseYielded && entry.Epoch >= s.epoch && !isYielded(entry):
			*s = slot{
				phase:         phaseFree,
				recordedOwner: entry.Target,
				epoch:         entry.Epoch,
				version:       s.version,
				delegatedAt:   entry.DelegatedAt,
			}
			if isYielded(entry) {
				s.phase = phaseYielded
			}
		default:
			// A delegation that was renewed in the meantime raises the lowest epoch that the log accepts.
			s.delegatedAt = max(s.delegatedAt, entry.DelegatedAt)
			if s.phase == phaseFree && isYielded(entry) {
				s.phase = phaseYielded
			}
		}
	}
}

// isYielded reports whether the slot was given back to the control leader and not delegated again since. Only a new
// delegation makes it assignable, because the leader may be delegating it to another data centre at this moment.
func isYielded(entry applier.SlotEntry) bool {
	return entry.Target == "" && entry.Epoch != 0 && entry.DelegatedAt <= uint64(entry.Epoch.Index())
}

// confirmOwners leaves slots with their recorded owner if a host reported a valid lease for it; nobody holds the others
// any more.
func (g *Granter) confirmOwners(t *table) {
	for i := range t.slots {
		s := &t.slots[i]
		if s.phase != phaseFree || s.recordedOwner == "" {
			continue
		}
		owner := g.targets[targetKey{
			service: t.service.Name,
			name:    s.recordedOwner,
		}]
		s.version = g.version
		if owner == nil || owner.host == "" && len(owner.formerHosts) == 0 || s.released {
			s.freeAt = g.now.Add(uncheckedWait(t.service))
			continue
		}
		s.phase = phaseServing
		s.owner = owner
	}
}

// uncheckedWait returns the additional wait before a slot of a service is free: zero if its targets check epochs.
func uncheckedWait(svc *configurer.Service) time.Duration {
	if svc.Ownership.ChecksEpoch {
		return 0
	}
	return svc.Ownership.UncheckedWait
}

// freeReleased frees the slots that the dispatching host of t reported as given up. Slots whose entries changed after
// the given version of the table, which the host had then, are left as they are.
func (g *Granter) freeReleased(tab *table, t *target, version uint64, slots []keyer.Slot) {
	for _, n := range slots {
		if int(n) >= len(tab.slots) {
			continue
		}
		s := &tab.slots[n]
		if s.owner == t && s.version <= version && (s.phase == phaseServing || s.phase == phaseReleasing) {
			g.freeSlot(tab, s)
		}
	}
}

// freeSlot records that nobody holds the slot any more.
func (g *Granter) freeSlot(tab *table, s *slot) {
	s.phase = phaseFree
	s.owner = nil
	s.freeAt = g.now.Add(uncheckedWait(tab.service))
	s.version = g.nextVersion()
}

// requestRelease requests that the owner of a slot gives it up to next or, if next is nil, to any later owner.
func (g *Granter) requestRelease(s *slot, next *target) {
	s.next = next
	if s.phase == phaseServing {
		s.phase = phaseReleasing
		s.version = g.nextVersion()
	}
}
