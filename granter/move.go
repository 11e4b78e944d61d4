package granter

import (
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/placer"
)

// loadHalfLife is the interval at which the loads of slots are halved, so that they follow a set of hot slots that
// changes within minutes.
const loadHalfLife = 10 * time.Second

// moveSlots moves slots of one service: all slots of targets that may not keep them, the share of targets that joined,
// and a few slots to balance the load.
func (g *Granter) moveSlots(tab *table) {
	g.readDelegations(tab)
	g.updateService(tab)
	if !g.needsScan(tab) {
		return
	}
	targets := g.serviceTargets(tab)
	dataCentreOut := g.state.DataCentres[g.DataCentre].Out
	ownerNumbers := make(map[*target]int32, len(targets))
	p := placer.Placer{
		Weights: make([]int, len(targets)),
		Limited: make([]bool, len(targets)),
	}
	g.updateWeights(tab, targets)
	for i, t := range targets {
		ownerNumbers[t] = int32(i)
		// A target whose dispatching host changes, or whose lease may be about to expire, keeps its slots until its
		// host reports that the lease has expired.
		if g.keepsSlots(t) && !dataCentreOut {
			p.Weights[i] = t.weight
			p.Limited[i] = t.weight < fullWeight
		}
	}
	owners, slots := g.placeableSlots(tab, ownerNumbers, dataCentreOut)
	joining := g.hasEmptyTarget(targets, owners)
	for _, m := range p.Place(owners) {
		forced := m.From == placer.NoOwner || p.Weights[m.From] == 0 || p.Limited[m.From]
		if g.inService(targets[m.To]) && (forced || joining) {
			g.planOwner(tab, slots[m.Slot], targets[m.To])
		}
	}
	g.releaseLeaving(tab)
	if tab.settled() {
		g.rebalance(tab, p, targets, owners, slots)
	}
	g.assignSlots(tab)
	g.activatePrepared(tab)
	tab.lastScan = scan{
		version:       g.version,
		at:            g.now,
		committed:     tab.committed,
		dataCentreOut: dataCentreOut,
		settled:       tab.settled(),
		leaseValid:    g.lease.Valid(g.now),
	}
}

// scanInterval is the longest time between two scans of the slots of a service. It suffices for balancing, and for
// targets whose heartbeats stop: neither changes the version of the table.
const scanInterval = time.Second

// scan records the state on which the last scan of the slots of a service was based, and whether all slots were settled
// after it.
type scan struct {
	version       uint64
	at            time.Time
	committed     *applier.SlotTable
	dataCentreOut bool
	settled       bool
	leaseValid    bool
}

// needsScan reports whether the slots have to be scanned again. A scan of 131,072 slots takes 20 ms, so it is skipped
// while nothing changes.
func (g *Granter) needsScan(tab *table) bool {
	last := tab.lastScan
	return !last.settled || last.version != g.version || last.committed != tab.committed ||
		last.dataCentreOut != g.state.DataCentres[g.DataCentre].Out || last.leaseValid != g.lease.Valid(g.now) ||
		g.now.Sub(last.at) >= scanInterval
}

// hasEmptyTarget reports whether a target in service holds no slot. Only then are targets given equal numbers of slots;
// otherwise slots move by load, and a target with a hot slot holds fewer.
func (g *Granter) hasEmptyTarget(targets []*target, owners []int32) bool {
	held := make([]bool, len(targets))
	for _, o := range owners {
		if o != placer.NoOwner {
			held[o] = true
		}
	}
	for i, t := range targets {
		if !held[i] && g.inService(t) {
			return true
		}
	}
	return false
}

// updateService takes over the newest settings of the service, of which the number of slots never changes, and halves
// the loads when that is due.
func (g *Granter) updateService(tab *table) {
	if svc, ok := g.config.Service(tab.service.Name); ok {
		tab.service = svc
	}
	for ; g.now.Sub(tab.loadsHalvedAt) >= loadHalfLife; tab.loadsHalvedAt = tab.loadsHalvedAt.Add(loadHalfLife) {
		for i := range tab.loads {
			tab.loads[i] /= 2
		}
		tab.loadTime = (tab.loadTime + loadHalfLife) / 2
	}
}

// serviceTargets returns the targets of a service in a fixed order.
func (g *Granter) serviceTargets(tab *table) []*target {
	var targets []*target
	for _, t := range g.orderedTargets() {
		if t.service == tab.service.Name && !t.removed {
			targets = append(targets, t)
		}
	}
	return targets
}

// placeableSlots returns the slots that may be placed and, in the same order, the number of the next or else current
// owner of each. A free slot counts as owned by its recorded owner, so that a target that returns gets back the slots
// that no other target took in the meantime.
func (g *Granter) placeableSlots(tab *table, ownerNumbers map[*target]int32, dataCentreOut bool) (owners []int32, slots []*slot) {
	for i := range tab.slots {
		s := &tab.slots[i]
		if _, yields := tab.yield[keyer.Slot(i)]; yields || dataCentreOut || s.phase == phaseElsewhere || s.phase == phaseYielded {
			continue
		}
		owner := s.owner
		if s.next != nil {
			owner = s.next
		}
		if owner == nil && s.recordedOwner != "" {
			owner = g.targets[targetKey{
				service: tab.service.Name,
				name:    s.recordedOwner,
			}]
			if owner != nil && owner.successor != nil {
				owner = nil
			}
		}
		n, ok := ownerNumbers[owner]
		if !ok {
			n = placer.NoOwner
		}
		if n >= 0 && s.owner == nil && s.next == nil && g.inService(owner) {
			s.next = owner
		}
		owners = append(owners, n)
		slots = append(slots, s)
	}
	return owners, slots
}

// planOwner sets the next owner of a slot. A slot whose assignment is not yet committed or acknowledged is left to a
// later scan.
func (g *Granter) planOwner(tab *table, s *slot, next *target) {
	switch s.phase {
	case phaseFree:
		s.next = next
	case phaseServing, phaseReleasing:
		g.requestRelease(s, next)
	}
}

// releaseLeaving requests the release of slots whose owner may not keep them, even if no other target can take them,
// and of slots that have to leave the data centre.
func (g *Granter) releaseLeaving(tab *table) {
	dataCentreOut := g.state.DataCentres[g.DataCentre].Out
	for i := range tab.slots {
		s := &tab.slots[i]
		_, yields := tab.yield[keyer.Slot(i)]
		if s.phase == phaseServing && (yields || dataCentreOut || !g.keepsSlots(s.owner)) {
			g.requestRelease(s, nil)
		}
	}
}

// settled reports whether no slot is free or being moved. Rebalancing waits for that, since the loads of the targets
// change until then.
func (t *table) settled() bool {
	for i := range t.slots {
		switch t.slots[i].phase {
		case phaseServing, phaseYielded, phaseElsewhere:
		default:
			return false
		}
	}
	return true
}

// rebalance moves slots from overloaded targets to others, at most moveBudget of them within a moveWindow.
func (g *Granter) rebalance(tab *table, p placer.Placer, targets []*target, owners []int32, slots []*slot) {
	r := tab.service.Rebalance
	budget := r.MoveBudget - tab.countMovesSince(g.now.Add(-r.MoveWindow))
	if budget <= 0 || len(targets) < 2 {
		return
	}
	loads := make([]float64, len(slots))
	n := 0
	for i := range tab.slots {
		if n < len(slots) && &tab.slots[i] == slots[n] {
			loads[n] = tab.loads[i]
			n++
		}
	}
	moves := p.Rebalance(owners, loads, r, budget, tab.rebalancing)
	tab.rebalancing = len(moves) > 0
	for _, m := range moves {
		if !g.inService(targets[m.To]) {
			return
		}
		g.requestRelease(slots[m.Slot], targets[m.To])
		tab.moveTimes = append(tab.moveTimes, g.now)
	}
}

// countMovesSince returns the number of moves for balance after since, and deletes the older ones from moveTimes.
func (t *table) countMovesSince(since time.Time) int {
	n := 0
	for n < len(t.moveTimes) && !t.moveTimes[n].After(since) {
		n++
	}
	t.moveTimes = t.moveTimes[n:]
	return len(t.moveTimes)
}

// dropNextOwner clears the next owner of a slot that is free or being released, if it is t.
func (s *slot) dropNextOwner(t *target) {
	if s.next == t && (s.phase == phaseFree || s.phase == phaseReleasing) {
		s.next = nil
	}
}

// activate gives a slot to its next owner, or frees it if that target is not in service any more.
func (g *Granter) activate(tab *table, n keyer.Slot) {
	s := &tab.slots[n]
	next := s.next
	s.next = nil
	s.version = g.nextVersion()
	if next == nil || !g.inService(next) {
		s.phase = phaseFree
		s.owner = nil
		return
	}
	asserter.Check(s.owner == nil && !g.now.Before(s.freeAt), asserter.SingleOwner,
		"slot %d of %s granted to %s before its last owner gave it up", n, tab.service.Name, next.name)
	asserter.Check(!next.report.Draining && !next.outOfService, asserter.DrainedTarget,
		"slot %d of %s granted to %s, which is leaving", n, tab.service.Name, next.name)
	s.owner = next
	s.recordedOwner = next.name
	s.phase = phaseServing
}

// nextEpoch returns a new epoch for a slot. Its index is at least that of the slot's delegation and of this authority.
func (g *Granter) nextEpoch(s *slot) fencer.Epoch {
	g.changeCounter++
	return fencer.NewEpoch(uint32(max(s.delegatedAt, g.index)), g.changeCounter)
}

// eligible reports whether a slot is free and can be assigned to its next owner now.
func (g *Granter) eligible(s *slot) bool {
	return s.phase == phaseFree && !g.now.Before(s.freeAt) && s.next != nil && g.inService(s.next)
}

// holdEnd returns the time at which a service gives up its slots without contact to the control leader.
func (g *Granter) holdEnd(svc *configurer.Service) time.Time {
	return g.lastContact.Add(svc.Ownership.CutOffHold)
}
