package tracker

import (
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/reporter"
)

// applyTable replaces the table by the one in g if g.Full is set, else it applies the changes in g to the table.
func (t *Tracker) applyTable(g reporter.GrantMsg) {
	t.dirty = true
	var oldTargets map[targetKey]*target
	oldSlots := t.slots
	if g.Full {
		oldTargets, t.targets = t.targets, make(map[targetKey]*target)
		t.slots = make(map[string][]slotEntry)
	}
	for _, a := range g.Targets {
		key := targetKey{
			service: a.Service,
			name:    a.Name,
		}
		if tg, ok := oldTargets[key]; ok {
			t.targets[key] = tg
			delete(oldTargets, key)
		}
		t.applyTarget(key, a)
	}
	for key, tg := range oldTargets {
		t.removeTarget(key, tg)
	}
	for _, a := range g.Slots {
		if a.HotKey == "" {
			t.applySlot(oldSlots[a.Service], a, g.TableVersion)
		}
	}
	t.tableVersion = g.TableVersion
}

func (t *Tracker) applyTarget(key targetKey, a reporter.AssignedTarget) {
	tg, ok := t.targets[key]
	if ok && tg.Incarnation != a.Incarnation {
		t.removeTarget(key, tg)
		ok = false
	}
	if a.Gone {
		if ok {
			t.removeTarget(key, tg)
		}
		return
	}
	if !ok {
		tg = &target{}
		t.targets[key] = tg
	}
	tg.AssignedTarget = a
	local := a.Host == t.Host
	switch {
	case local && !tg.local:
		tg.local = true
		tg.leaseExpired = false
		tg.lease = &leaser.SharedHolder{}
		tg.granter = leaser.Granter{}
		// The former dispatching host may have granted the target a lease just before, and the target needs time to
		// find this host. So the lease is assumed to be granted now, for a whole dispatch lease.
		tg.granter.Granted(t.now, t.lastTick.Config.Timing.DispatchLease)
	case !local && tg.local:
		tg.local = false
		tg.lease.Drop()
	}
}

func (t *Tracker) removeTarget(key targetKey, tg *target) {
	if tg.local {
		tg.lease.Drop()
	}
	delete(t.targets, key)
}

// applySlot applies entry a of the given table version. oldSlots holds the entries of the service before this update.
// A released slot stays released until its owner or epoch changes or the authority cancels its release.
func (t *Tracker) applySlot(oldSlots []slotEntry, a reporter.AssignedSlot, version uint64) {
	slots := t.slots[a.Service]
	for int(a.Slot) >= len(slots) {
		slots = append(slots, slotEntry{})
	}
	t.slots[a.Service] = slots
	next := slotEntry{
		target:         a.Target,
		epoch:          a.Epoch,
		releasing:      a.Releasing,
		changedVersion: version,
	}
	if int(a.Slot) < len(oldSlots) {
		old := oldSlots[a.Slot]
		sameAssignment := old.target == a.Target && old.epoch == a.Epoch
		if sameAssignment && (old.releasing == a.Releasing || a.Releasing) {
			next.released = old.released
		}
		if sameAssignment && old.releasing == a.Releasing {
			next.changedVersion = old.changedVersion
		}
	}
	tg, ok := t.targets[targetKey{
		service: a.Service,
		name:    a.Target,
	}]
	if ok && tg.local && tg.leaseExpired && a.Releasing {
		next.released = true
	}
	slots[a.Slot] = next
}

// Known returns the whole table of this host as a full grant without a lease, nil if it has none.
func (t *Tracker) Known() *reporter.GrantMsg {
	if t.tableVersion == 0 {
		return nil
	}
	m := &reporter.GrantMsg{
		AuthorityIndex: t.authorityIndex,
		TableVersion:   t.tableVersion,
		Full:           true,
	}
	for service, slots := range t.slots {
		for i, e := range slots {
			m.Slots = append(m.Slots, reporter.AssignedSlot{
				Service:   service,
				Slot:      keyer.Slot(i),
				Target:    e.target,
				Epoch:     e.epoch,
				Releasing: e.releasing,
			})
		}
	}
	for _, tg := range t.targets {
		m.Targets = append(m.Targets, tg.AssignedTarget)
	}
	return m
}
