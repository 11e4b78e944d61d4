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

// loadDecay is the interval at which the loads of slots are halved, so that they follow a hot set that changes within
// minutes.
const loadDecay = 10 * time.Second

// moveSlots moves the slots of one service: those of targets that left, the share of those that joined, and a few for
// balance.
func (g *Granter) moveSlots(tab *table) {
	g.readDelegations(tab)
	g.updateService(tab)
	if !g.due(tab) {
		return
	}
	targets := g.targetsOf(tab)
	out := g.state.DataCentres[g.DataCentre].Out
	number := make(map[*target]int32, len(targets))
	p := placer.Placer{
		Weights: make([]int, len(targets)),
	}
	for i, t := range targets {
		number[t] = int32(i)
		// A target whose dispatching host changes, or whose lease may lapse, keeps its slots until that is known.
		if g.keeps(t) && !out {
			p.Weights[i] = 1
		}
	}
	owners, slots := g.owners(tab, number, out)
	joining := g.joining(targets, owners)
	for _, m := range p.Place(owners) {
		forced := m.From == placer.None || p.Weights[m.From] == 0
		if g.inService(targets[m.To]) && (forced || joining) {
			g.plan(tab, slots[m.Slot], targets[m.To])
		}
	}
	g.drain(tab)
	if tab.settled() {
		g.rebalance(tab, p, targets, owners, slots)
	}
	g.assign(tab)
	g.activatePrepared(tab)
	tab.passed = pass{
		version: g.version,
		at:      g.now,
		source:  tab.source,
		out:     out,
		idle:    tab.settled(),
		lease:   g.lease.Valid(g.now),
	}
}

// passInterval is the longest time between two looks at all slots of a service; balance and the silence of targets
// need no closer one.
const passInterval = time.Second

// pass is what the last look at all slots of a service was based on.
type pass struct {
	version uint64
	at      time.Time
	source  *applier.SlotTable
	out     bool
	idle    bool
	lease   bool
}

// due reports whether the slots have to be looked at again. A look at 131,072 slots costs 20 ms, so it is left out
// while nothing changes.
func (g *Granter) due(tab *table) bool {
	last := tab.passed
	return !last.idle || last.version != g.version || last.source != tab.source ||
		last.out != g.state.DataCentres[g.DataCentre].Out || last.lease != g.lease.Valid(g.now) ||
		g.now.Sub(last.at) >= passInterval
}

// joining reports whether a target in service holds no slot. Shares are evened out by number only then: afterwards the
// loads decide, and a target with a hot slot holds fewer.
func (g *Granter) joining(targets []*target, owners []int32) bool {
	held := make([]bool, len(targets))
	for _, o := range owners {
		if o != placer.None {
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

// updateService takes the newest settings of the service; the number of slots never changes.
func (g *Granter) updateService(tab *table) {
	if svc, ok := g.config.Service(tab.service.Name); ok {
		tab.service = svc
	}
	for ; g.now.Sub(tab.loadAt) >= loadDecay; tab.loadAt = tab.loadAt.Add(loadDecay) {
		for i := range tab.loads {
			tab.loads[i] /= 2
		}
	}
}

func (g *Granter) targetsOf(tab *table) []*target {
	var targets []*target
	for _, t := range g.orderedTargets() {
		if t.service == tab.service.Name && !t.gone {
			targets = append(targets, t)
		}
	}
	return targets
}

// owners returns the present or coming owner of each slot that may be placed, and the slots in the same order. A free
// slot counts as held by its recorded owner, so that a target that returns gets back what nobody took yet.
func (g *Granter) owners(tab *table, number map[*target]int32, out bool) (owners []int32, slots []*slot) {
	for i := range tab.slots {
		s := &tab.slots[i]
		if _, yields := tab.yield[keyer.Slot(i)]; yields || out || s.phase == elsewhere || s.phase == yielded {
			continue
		}
		owner := s.owner
		if s.to != nil {
			owner = s.to
		}
		if owner == nil && s.name != "" {
			owner = g.targets[targetKey{
				service: tab.service.Name,
				name:    s.name,
			}]
			if owner != nil && owner.successor != nil {
				owner = nil
			}
		}
		n, ok := number[owner]
		if !ok {
			n = placer.None
		}
		if n >= 0 && s.owner == nil && s.to == nil && g.inService(owner) {
			s.to = owner
		}
		owners = append(owners, n)
		slots = append(slots, s)
	}
	return owners, slots
}

// plan gives a slot a new owner to come. A slot whose assignment is on its way to the log is planned again afterwards.
func (g *Granter) plan(tab *table, s *slot, to *target) {
	switch s.phase {
	case free:
		s.to = to
	case serving, releasing:
		g.release(s, to)
	}
}

// drain asks for the release of slots whose owner leaves although no other target can take them, and of slots that the
// control leader wants back.
func (g *Granter) drain(tab *table) {
	out := g.state.DataCentres[g.DataCentre].Out
	for i := range tab.slots {
		s := &tab.slots[i]
		_, yields := tab.yield[keyer.Slot(i)]
		if s.phase == serving && (yields || out || !g.keeps(s.owner)) {
			g.release(s, nil)
		}
	}
}

// settled reports whether no slot is on its way. Rebalancing waits for that, since the loads are not settled before.
func (t *table) settled() bool {
	for i := range t.slots {
		switch t.slots[i].phase {
		case serving, yielded, elsewhere:
		default:
			return false
		}
	}
	return true
}

func (g *Granter) rebalance(tab *table, p placer.Placer, targets []*target, owners []int32, slots []*slot) {
	r := tab.service.Rebalance
	budget := r.MoveBudget - tab.movedSince(g.now.Add(-r.MoveWindow))
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
		g.release(slots[m.Slot], targets[m.To])
		tab.moved = append(tab.moved, g.now)
	}
}

// movedSince counts the moves for balance after since, and forgets older ones.
func (t *table) movedSince(since time.Time) int {
	n := 0
	for n < len(t.moved) && !t.moved[n].After(since) {
		n++
	}
	t.moved = t.moved[n:]
	return len(t.moved)
}

// unassign drops the coming owner of a slot that is free or being released.
func (s *slot) unassign(t *target) {
	if s.to == t && (s.phase == free || s.phase == releasing) {
		s.to = nil
	}
}

// activate gives a slot to its next owner, if that can still take it.
func (g *Granter) activate(tab *table, n keyer.Slot) {
	s := &tab.slots[n]
	to := s.to
	s.to = nil
	s.version = g.next()
	if to == nil || !g.inService(to) {
		s.phase = free
		s.owner = nil
		return
	}
	asserter.Check(s.owner == nil && !g.now.Before(s.freeAt), asserter.SingleOwner,
		"slot %d of %s granted to %s before its last owner gave it up", n, tab.service.Name, to.name)
	asserter.Check(!to.msg.Draining && !to.outOfService, asserter.DrainedTarget,
		"slot %d of %s granted to %s, which is leaving", n, tab.service.Name, to.name)
	s.owner = to
	s.name = to.name
	s.phase = serving
}

// epochOf returns the next epoch of a slot.
func (g *Granter) epochOf(s *slot) fencer.Epoch {
	g.change++
	return fencer.NewEpoch(uint32(max(s.delegatedAt, g.index)), g.change)
}

// eligible reports whether a free slot can be assigned now.
func (g *Granter) eligible(s *slot) bool {
	return s.phase == free && !g.now.Before(s.freeAt) && s.to != nil && g.inService(s.to)
}

func (g *Granter) holdOf(svc *configurer.Service) time.Time {
	return g.contact.Add(svc.Ownership.CutOffHold)
}
