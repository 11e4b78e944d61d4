package delegator

import (
	"maps"
	"slices"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/placer"
)

// firstWait bounds how long the first delegation of a service waits until the authorities have counted their targets.
const firstWait = 4 * time.Second

// plan is the delegation of one service that is under way.
type plan struct {
	// yields maps a slot to the data centre that has to release it.
	yields map[keyer.Slot]string
	moved  []time.Time
	active bool
}

func (p *plan) yieldOf(dc string) []keyer.Slot {
	var slots []keyer.Slot
	for s, name := range p.yields {
		if name == dc {
			slots = append(slots, s)
		}
	}
	slices.Sort(slots)
	return slots
}

// delegate gives the slots of a service to data centres in proportion to their targets in service.
func (d *Delegator) delegate(now time.Time, st *applier.State, cfg *configurer.Config, svc *configurer.Service) []applier.Command {
	p, ok := d.plans[svc.Name]
	if !ok {
		p = &plan{}
		d.plans[svc.Name] = p
	}
	names := d.dataCentres(st)
	weights, settled := d.weights(now, st, names, svc)
	if !settled && now.Before(d.since.Add(firstWait)) {
		return nil
	}
	number := make(map[string]int32)
	for i, name := range names {
		number[name] = int32(i)
	}
	var owners []int32
	var slots []keyer.Slot
	table := st.Slots[svc.Name]
	yields := make(map[keyer.Slot]string)
	for i := range svc.Slots {
		e, _ := table.Entry(keyer.Slot(i))
		n, known := number[e.DataCentre]
		if !known {
			n = placer.None
		}
		if known && !d.movable(now, st, cfg, svc, e) && !d.reachable(now, st, e.DataCentre) {
			// The slot of a silent data centre is held.
			continue
		}
		owners = append(owners, n)
		slots = append(slots, keyer.Slot(i))
	}
	placed := placer.Placer{
		Weights: weights,
	}
	moves := placed.Place(owners)
	allowed := d.allowance(now, p, svc, weights, owners, moves)
	targets := make(map[string][]keyer.Slot)
	moving := make(map[keyer.Slot]struct{}, len(moves))
	for _, m := range moves {
		slot := slots[m.Slot]
		moving[slot] = struct{}{}
		e, _ := table.Entry(slot)
		if d.movable(now, st, cfg, svc, e) {
			targets[names[m.To]] = append(targets[names[m.To]], slot)
			continue
		}
		_, under := p.yields[slot]
		if weights[m.From] > 0 && !under {
			if allowed <= 0 {
				continue
			}
			allowed--
			p.moved = append(p.moved, now)
		}
		yields[slot] = e.DataCentre
	}
	for i, n := range owners {
		// A slot that was given back and stays where it is needs a new delegation.
		e, _ := table.Entry(slots[i])
		if _, moves := moving[slots[i]]; n >= 0 && weights[n] > 0 && given(e) && !moves {
			targets[names[n]] = append(targets[names[n]], slots[i])
		}
	}
	p.yields = yields
	return commands(svc.Name, targets)
}

func commands(service string, targets map[string][]keyer.Slot) []applier.Command {
	var out []applier.Command
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		out = append(out, applier.Command{
			Delegate: &applier.DelegateMsg{
				Service:    service,
				Slots:      targets[name],
				DataCentre: name,
			},
		})
	}
	return out
}

// weights returns the number of targets in service by data centre, zero for one that is out. It is settled when each
// data centre with an authority has counted its targets.
func (d *Delegator) weights(now time.Time, st *applier.State, names []string, svc *configurer.Service) (weights []int, settled bool) {
	settled = true
	weights = make([]int, len(names))
	for i, name := range names {
		dc := st.DataCentres[name]
		c := d.centre(now, name, dc.AuthorityIndex)
		settled = settled && (c.ready || dc.Out)
		if !dc.Out && d.reachable(now, st, name) {
			weights[i] = c.inService[svc.Name]
		}
	}
	return weights, settled
}

// reachable reports whether the authority of a data centre holds its lease from this leader.
func (d *Delegator) reachable(now time.Time, st *applier.State, name string) bool {
	dc := st.DataCentres[name]
	c := d.centre(now, name, dc.AuthorityIndex)
	return dc.AuthorityIndex != 0 && c.ready && !c.lease.Lapsed(now)
}

// movable reports whether nobody can hold the slot: it was never delegated, its authority gave it back, or its data
// centre was silent for the whole hold.
func (d *Delegator) movable(now time.Time, st *applier.State, cfg *configurer.Config, svc *configurer.Service, e applier.SlotEntry) bool {
	if e.DataCentre == "" || given(e) {
		return true
	}
	dc, ok := st.DataCentres[e.DataCentre]
	if !ok {
		return false
	}
	hold := svc.Ownership.CutOffHold
	c := d.centre(now, e.DataCentre, dc.AuthorityIndex)
	return !now.Before(c.at.Add(hold + leaser.DefaultMargin(hold) + slack(cfg)))
}

// given reports whether the authority gave the slot back and it was not delegated again since.
func given(e applier.SlotEntry) bool {
	return e.Target == "" && e.Epoch != 0 && e.DelegatedAt <= uint64(e.Epoch.Index())
}

// allowance returns how many slots may leave data centres that are in service. Moves start when the load of a target
// differs by more than ImbalanceHigh, or a data centre has less than half of its share, and go on until none is left.
func (d *Delegator) allowance(now time.Time, p *plan, svc *configurer.Service, weights []int, owners []int32, moves []placer.Move) int {
	r := svc.Rebalance
	held := make([]float64, len(weights))
	total, targets := 0.0, 0.0
	for _, o := range owners {
		if o >= 0 && weights[o] > 0 {
			held[o]++
		}
		total++
	}
	for _, w := range weights {
		targets += float64(w)
	}
	mean := total / max(1, targets)
	start := false
	for i, w := range weights {
		if w > 0 {
			each := held[i] / float64(w)
			start = start || each > r.ImbalanceHigh*mean || each < mean/2
		}
	}
	p.active = (p.active || start) && len(moves) > 0
	p.moved = slices.DeleteFunc(p.moved, func(t time.Time) bool {
		return now.Sub(t) >= r.MoveWindow
	})
	if !p.active {
		return 0
	}
	return r.MoveBudget - len(p.moved)
}
