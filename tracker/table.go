package tracker

import (
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/reporter"
)

// apply takes a newer table, or the changes to the present one.
func (t *Tracker) apply(g reporter.GrantMsg) {
	t.dirty = true
	var old map[targetKey]*target
	slots := t.slots
	if g.Full {
		old, t.targets = t.targets, make(map[targetKey]*target)
		t.slots = make(map[string][]entry)
	}
	for _, a := range g.Targets {
		key := targetKey{
			service: a.Service,
			name:    a.Name,
		}
		if tg, ok := old[key]; ok {
			t.targets[key] = tg
			delete(old, key)
		}
		t.applyTarget(key, a)
	}
	for key, tg := range old {
		t.drop(key, tg)
	}
	for _, a := range g.Slots {
		if a.HotKey == "" {
			t.applySlot(slots[a.Service], a, g.TableVersion)
		}
	}
	t.version = g.TableVersion
}

func (t *Tracker) applyTarget(key targetKey, a reporter.AssignedTarget) {
	tg, ok := t.targets[key]
	if ok && tg.Incarnation != a.Incarnation {
		t.drop(key, tg)
		ok = false
	}
	if a.Gone {
		if ok {
			t.drop(key, tg)
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
		tg.lapsed = false
		tg.lease = &leaser.Shared{}
		tg.granter = leaser.Granter{}
		// The former dispatching host may have given the target a lease just before, and the target needs time to find
		// this host.
		tg.granter.Granted(t.now, t.tick.Config.Timing.DispatchLease)
	case !local && tg.local:
		tg.local = false
		tg.lease.Drop()
	}
}

func (t *Tracker) drop(key targetKey, tg *target) {
	if tg.local {
		tg.lease.Drop()
	}
	delete(t.targets, key)
}

// applySlot takes one entry. A slot that was given up stays so until its owner, epoch or state changes.
func (t *Tracker) applySlot(before []entry, a reporter.AssignedSlot, version uint64) {
	slots := t.slots[a.Service]
	for int(a.Slot) >= len(slots) {
		slots = append(slots, entry{})
	}
	t.slots[a.Service] = slots
	next := entry{
		target:    a.Target,
		epoch:     a.Epoch,
		releasing: a.Releasing,
		version:   version,
	}
	if int(a.Slot) < len(before) {
		e := before[a.Slot]
		same := e.target == a.Target && e.epoch == a.Epoch
		if same && (e.releasing == a.Releasing || a.Releasing) {
			next.givenUp = e.givenUp
		}
		if same && e.releasing == a.Releasing {
			next.version = e.version
		}
	}
	tg, ok := t.targets[targetKey{
		service: a.Service,
		name:    a.Target,
	}]
	if ok && tg.local && tg.lapsed && a.Releasing {
		next.givenUp = true
	}
	slots[a.Slot] = next
}

// Known returns the whole table as this host has it, nil if it has none.
func (t *Tracker) Known() *reporter.GrantMsg {
	if t.version == 0 {
		return nil
	}
	m := &reporter.GrantMsg{
		AuthorityIndex: t.index,
		TableVersion:   t.version,
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
