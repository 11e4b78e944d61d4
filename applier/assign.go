package applier

import (
	"maps"
	"slices"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/keyer"
)

// maxSlots bounds the size of a table, which an invalid slot number in a command could otherwise make huge.
const maxSlots = 1 << 20

// maxHotKeys is the greatest number of hot keys of one service.
const maxHotKeys = 256

// delegate gives slots to a data centre. A slot that this data centre has already keeps its owner and its delegation,
// unless its authority has released it.
func (s *State) delegate(m *DelegateMsg) Result {
	if s.Index>>32 != 0 {
		return reject("log index %d does not fit into an epoch", s.Index)
	}
	if m.Service == "" || m.DataCentre == "" {
		return reject("name a service and a data centre")
	}
	size := 0
	for _, slot := range m.Slots {
		if slot >= maxSlots {
			return reject("slot %d is beyond %d", slot, maxSlots)
		}
		size = max(size, int(slot)+1)
	}
	edit := editTable(s.Slots[m.Service])
	edit.grow(size)
	redelegated := make(map[keyer.Slot]bool)
	for _, slot := range m.Slots {
		old, _ := edit.table.Entry(slot)
		// A slot that its authority released is delegated anew even to the same data centre, because the authority may
		// assign it again only under a new delegation.
		released := old.Target == "" && old.Epoch != 0 && old.DelegatedAt <= uint64(old.Epoch.Index())
		if old.DataCentre == m.DataCentre && !released {
			continue
		}
		// The epoch is kept, so that checkChange demands a higher one for the next owner.
		edit.set(SlotEntry{
			Slot:        slot,
			DataCentre:  m.DataCentre,
			DelegatedAt: s.Index,
			Epoch:       old.Epoch,
		})
		redelegated[slot] = true
	}
	edit.dropHotKeys(func(e SlotEntry) bool { return redelegated[e.Slot] })
	s.Slots = cloneWith(s.Slots, m.Service, edit.finish())
	return Result{}
}

// assign records the owners that an authority chose: all of them, or none if one is rejected.
func (s *State) assign(m *AssignMsg) Result {
	dc := s.dataCentre(m.DataCentre)
	if r, ok := dc.checkAuthority(m.AuthorityIndex); !ok {
		return r
	}
	t := s.Slots[m.Service]
	if t == nil {
		return reject("service %s has no slots", m.Service)
	}
	if len(m.HotKeys) > maxHotKeys {
		return reject("%d hot keys are more than %d", len(m.HotKeys), maxHotKeys)
	}
	edit := editTable(t)
	for _, c := range m.Owners {
		old, ok := edit.table.Entry(c.Slot)
		if r, ok := checkChange(dc, old, ok, c, "slot"); !ok {
			return r
		}
		edit.set(withOwner(old, c))
	}
	if m.HotKeys != nil {
		if r, ok := edit.replaceHotKeys(dc, m.HotKeys); !ok {
			return r
		}
	}
	s.Slots = cloneWith(s.Slots, m.Service, edit.finish())
	return Result{}
}

// checkChange rejects a change of a slot that is not delegated to the data centre, and a change whose epoch does not
// rise or is older than the delegation or the authority. A change that was already applied is accepted again.
func checkChange(dc DataCentre, old SlotEntry, found bool, c OwnerChange, kind string) (Result, bool) {
	if !found || old.DataCentre != dc.Name {
		return reject("%s %d is not delegated to %s", kind, c.Slot, dc.Name), false
	}
	if c.Epoch == old.Epoch && c.Target == old.Target {
		return Result{}, true
	}
	if c.Epoch <= old.Epoch {
		return reject("epoch %s of %s %d is not above %s", c.Epoch, kind, c.Slot, old.Epoch), false
	}
	if lowest := max(old.DelegatedAt, dc.AuthorityIndex); uint64(c.Epoch.Index()) < lowest {
		return reject("epoch %s of %s %d is below index %d of its delegation and authority", c.Epoch, kind, c.Slot, lowest), false
	}
	return Result{}, true
}

// withOwner returns the entry with the target and epoch of a change.
func withOwner(old SlotEntry, c OwnerChange) SlotEntry {
	asserter.Check(c.Epoch > old.Epoch || c.Target == old.Target, asserter.SingleOwner,
		"slot %d goes from %q to %q under epoch %s after %s", c.Slot, old.Target, c.Target, c.Epoch, old.Epoch)
	old.Target, old.Epoch = c.Target, c.Epoch
	return old
}

// replaceHotKeys replaces the hot keys whose slots are delegated to the data centre. The epoch of a hot key may only
// rise, like that of a slot.
func (e *tableEdit) replaceHotKeys(dc DataCentre, keys map[string]OwnerChange) (Result, bool) {
	old := e.table.hotKeys
	e.dropHotKeys(func(entry SlotEntry) bool { return entry.DataCentre == dc.Name })
	next := maps.Clone(e.table.hotKeys)
	if next == nil {
		next = make(map[string]SlotEntry, len(keys))
	}
	// The order decides which rejection is returned, and all hosts must remember the same one.
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		c := keys[key]
		entry, found := e.table.Entry(c.Slot)
		if previous, ok := old[key]; ok && previous.Slot == c.Slot {
			previous.DataCentre, previous.DelegatedAt = entry.DataCentre, entry.DelegatedAt
			entry = previous
		} else {
			entry.Target, entry.Epoch = "", 0
		}
		if r, ok := checkChange(dc, entry, found, c, "hot key of slot"); !ok {
			return r, false
		}
		next[key] = withOwner(entry, c)
	}
	if len(next) > maxHotKeys {
		return reject("%d hot keys are more than %d", len(next), maxHotKeys), false
	}
	e.table.hotKeys = next
	return Result{}, true
}

// dropHotKeys removes the hot keys whose entries satisfy drop.
func (e *tableEdit) dropHotKeys(drop func(SlotEntry) bool) {
	next := maps.Clone(e.table.hotKeys)
	maps.DeleteFunc(next, func(_ string, entry SlotEntry) bool { return drop(entry) })
	e.table.hotKeys = next
}
