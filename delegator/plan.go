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

// maxInitialWait bounds how long, from the start of a leader's term, the delegation of a service waits until all
// authorities have reported their targets in service.
const maxInitialWait = 4 * time.Second

// plan is the state of the slot moves of one service between data centres.
type plan struct {
	// toRelease maps each slot that has to move to the data centre whose authority must release it first.
	toRelease map[keyer.Slot]string
	// moveTimes lists the times of the moves that count against the MoveBudget of the service, the oldest first.
	moveTimes []time.Time
	// rebalancing is true from the detection of an imbalance until no move is left.
	rebalancing bool
}

// slotsToRelease returns the slots that a data centre has to release, in ascending order.
func (p *plan) slotsToRelease(dc string) []keyer.Slot {
	var slots []keyer.Slot
	for s, name := range p.toRelease {
		if name == dc {
			slots = append(slots, s)
		}
	}
	slices.Sort(slots)
	return slots
}

// delegate returns the commands that delegate the slots of a service to data centres in proportion to their targets in
// service. It delegates slots that no target can own any more; for each other slot that should move, it first asks the
// present data centre, by plan.toRelease, to release it.
func (d *Delegator) delegate(now time.Time, st *applier.State, cfg *configurer.Config, svc *configurer.Service) []applier.Command {
	p, ok := d.plans[svc.Name]
	if !ok {
		p = &plan{}
		d.plans[svc.Name] = p
	}
	names := d.dataCentres(st)
	weights, complete := d.weights(now, st, names, svc)
	if !complete && now.Before(d.since.Add(maxInitialWait)) {
		return nil
	}
	ownerNumbers := make(map[string]int32)
	for i, name := range names {
		ownerNumbers[name] = int32(i)
	}
	var owners []int32
	var slots []keyer.Slot
	table := st.Slots[svc.Name]
	toRelease := make(map[keyer.Slot]string)
	for i := range svc.Slots {
		e, _ := table.Entry(keyer.Slot(i))
		n, known := ownerNumbers[e.DataCentre]
		if !known {
			n = placer.NoOwner
		}
		if known && !d.movable(now, st, cfg, svc, e) && !d.reachable(now, st, e.DataCentre) {
			// An unreachable data centre keeps its slots until they are movable.
			continue
		}
		owners = append(owners, n)
		slots = append(slots, keyer.Slot(i))
	}
	slotPlacer := placer.Placer{
		Weights: weights,
	}
	moves := slotPlacer.Place(owners)
	movesLeft := d.moveAllowance(now, p, svc, weights, owners, moves)
	delegations := make(map[string][]keyer.Slot)
	moving := make(map[keyer.Slot]struct{}, len(moves))
	for _, m := range moves {
		slot := slots[m.Slot]
		moving[slot] = struct{}{}
		e, _ := table.Entry(slot)
		if d.movable(now, st, cfg, svc, e) {
			delegations[names[m.To]] = append(delegations[names[m.To]], slot)
			continue
		}
		_, requested := p.toRelease[slot]
		if m.From != placer.NoOwner && weights[m.From] > 0 && !requested {
			if movesLeft <= 0 {
				continue
			}
			movesLeft--
			p.moveTimes = append(p.moveTimes, now)
		}
		toRelease[slot] = e.DataCentre
	}
	for i, n := range owners {
		// A released slot that stays in its data centre needs a new delegation.
		e, _ := table.Entry(slots[i])
		if _, isMoving := moving[slots[i]]; n >= 0 && weights[n] > 0 && released(e) && !isMoving {
			delegations[names[n]] = append(delegations[names[n]], slots[i])
		}
	}
	p.toRelease = toRelease
	return delegateCommands(svc.Name, delegations)
}

// delegateCommands returns one command for each data centre in delegations, in the order of their names. delegations
// maps the name of a data centre to the slots that it gets.
func delegateCommands(service string, delegations map[string][]keyer.Slot) []applier.Command {
	var out []applier.Command
	for _, name := range slices.Sorted(maps.Keys(delegations)) {
		out = append(out, applier.Command{
			Delegate: &applier.DelegateMsg{
				Service:    service,
				Slots:      delegations[name],
				DataCentre: name,
			},
		})
	}
	return out
}

// weights returns the number of targets in service of each named data centre, zero for one that is out of service or
// unreachable. It is complete when each data centre that is not out of service has an authority that has counted its
// targets.
func (d *Delegator) weights(now time.Time, st *applier.State, names []string, svc *configurer.Service) (weights []int, complete bool) {
	complete = true
	weights = make([]int, len(names))
	for i, name := range names {
		dc := st.DataCentres[name]
		a := d.authority(now, name, dc.AuthorityIndex)
		complete = complete && (a.ready || dc.Out)
		if !dc.Out && d.reachable(now, st, name) {
			weights[i] = a.inService[svc.Name]
		}
	}
	return weights, complete
}

// reachable reports whether a data centre has an authority that has opened its slot table and holds a lease of this
// leader.
func (d *Delegator) reachable(now time.Time, st *applier.State, name string) bool {
	dc := st.DataCentres[name]
	a := d.authority(now, name, dc.AuthorityIndex)
	return dc.AuthorityIndex != 0 && a.ready && !a.lease.Lapsed(now)
}

// movable reports whether no target can own the slot: it was never delegated, its authority has released it, or the
// authority has been unreachable for the whole CutOffHold of the service and the dispatch leases granted until its end.
func (d *Delegator) movable(now time.Time, st *applier.State, cfg *configurer.Config, svc *configurer.Service, e applier.SlotEntry) bool {
	if e.DataCentre == "" || released(e) {
		return true
	}
	dc, ok := st.DataCentres[e.DataCentre]
	if !ok {
		return false
	}
	hold := svc.Ownership.CutOffHold
	a := d.authority(now, e.DataCentre, dc.AuthorityIndex)
	return !now.Before(a.contactAt.Add(hold + leaser.DefaultMargin(hold) + dispatchLeaseBound(cfg)))
}

// released reports whether the authority has released the slot and it was not delegated again since.
func released(e applier.SlotEntry) bool {
	return e.Target == "" && e.Epoch != 0 && e.DelegatedAt <= uint64(e.Epoch.Index())
}

// moveAllowance returns how many more slots may leave data centres that are in service: MoveBudget less the moves of the
// last MoveWindow, or zero unless a rebalancing is in progress. One starts when the slots per target of a data centre
// are more than ImbalanceHigh times the mean, or less than half of it, and goes on until no move is left.
func (d *Delegator) moveAllowance(now time.Time, p *plan, svc *configurer.Service, weights []int, owners []int32, moves []placer.Move) int {
	r := svc.Rebalance
	held := make([]float64, len(weights))
	total, targetCount := 0.0, 0.0
	for _, o := range owners {
		if o >= 0 && weights[o] > 0 {
			held[o]++
		}
		total++
	}
	for _, w := range weights {
		targetCount += float64(w)
	}
	mean := total / max(1, targetCount)
	imbalanced := false
	for i, w := range weights {
		if w > 0 {
			perTarget := held[i] / float64(w)
			imbalanced = imbalanced || perTarget > r.ImbalanceHigh*mean || perTarget < mean/2
		}
	}
	p.rebalancing = (p.rebalancing || imbalanced) && len(moves) > 0
	p.moveTimes = slices.DeleteFunc(p.moveTimes, func(t time.Time) bool {
		return now.Sub(t) >= r.MoveWindow
	})
	if !p.rebalancing {
		return 0
	}
	return r.MoveBudget - len(p.moveTimes)
}
