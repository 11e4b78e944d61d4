package applier

import (
	"maps"
	"slices"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/keyer"
)

// maxSlots bounds a table against a slot number that is no slot.
const maxSlots = 1 << 20

// maxHotKeys is the number of entries of hot keys of one service.
const maxHotKeys = 256

// delegate gives slots to a data centre. A slot that is there already keeps its owner and its delegation.
func (s *State) delegate(m *DelegateMsg) Result {
	if s.Index>>32 != 0 {
		return refuse("log index %d does not fit into an epoch", s.Index)
	}
	if m.Service == "" || m.DataCentre == "" {
		return refuse("name a service and a data centre")
	}
	size := 0
	for _, slot := range m.Slots {
		if slot >= maxSlots {
			return refuse("slot %d is beyond %d", slot, maxSlots)
		}
		size = max(size, int(slot)+1)
	}
	edit := editTable(s.Slots[m.Service])
	edit.grow(size)
	moved := make(map[keyer.Slot]bool)
	for _, slot := range m.Slots {
		old, _ := edit.table.Entry(slot)
		// A slot that its authority gave back is delegated anew even to the same data centre: the authority may use it
		// again only after that.
		given := old.Target == "" && old.Epoch != 0 && old.DelegatedAt <= uint64(old.Epoch.Index())
		if old.DataCentre == m.DataCentre && !given {
			continue
		}
		// The epoch stays, so that the next owner's epoch has to be higher.
		edit.set(SlotEntry{
			Slot:        slot,
			DataCentre:  m.DataCentre,
			DelegatedAt: s.Index,
			Epoch:       old.Epoch,
		})
		moved[slot] = true
	}
	edit.dropHotKeys(func(e SlotEntry) bool { return moved[e.Slot] })
	s.Slots = with(s.Slots, m.Service, edit.finish())
	return Result{}
}

// assign records the owners that an authority chose: all of them, or none if one is refused.
func (s *State) assign(m *AssignMsg) Result {
	dc := s.dataCentre(m.DataCentre)
	if r, ok := dc.checkAuthority(m.AuthorityIndex); !ok {
		return r
	}
	t := s.Slots[m.Service]
	if t == nil {
		return refuse("service %s has no slots", m.Service)
	}
	if len(m.HotKeys) > maxHotKeys {
		return refuse("%d hot keys are more than %d", len(m.HotKeys), maxHotKeys)
	}
	edit := editTable(t)
	for _, c := range m.Owners {
		old, ok := edit.table.Entry(c.Slot)
		if r, ok := checkChange(dc, old, ok, c, "slot"); !ok {
			return r
		}
		edit.set(changed(old, c))
	}
	if m.HotKeys != nil {
		if r, ok := edit.replaceHotKeys(dc, m.HotKeys); !ok {
			return r
		}
	}
	s.Slots = with(s.Slots, m.Service, edit.finish())
	return Result{}
}

// checkChange refuses a slot that is not delegated to the data centre, and an epoch that does not rise. A change that was
// applied before is accepted again.
func checkChange(dc DataCentre, old SlotEntry, known bool, c OwnerChange, what string) (Result, bool) {
	if !known || old.DataCentre != dc.Name {
		return refuse("%s %d is not delegated to %s", what, c.Slot, dc.Name), false
	}
	if c.Epoch == old.Epoch && c.Target == old.Target {
		return Result{}, true
	}
	if c.Epoch <= old.Epoch {
		return refuse("epoch %s of %s %d is not above %s", c.Epoch, what, c.Slot, old.Epoch), false
	}
	if lowest := max(old.DelegatedAt, dc.AuthorityIndex); uint64(c.Epoch.Index()) < lowest {
		return refuse("epoch %s of %s %d is below index %d of its delegation and authority", c.Epoch, what, c.Slot, lowest), false
	}
	return Result{}, true
}

func changed(old SlotEntry, c OwnerChange) SlotEntry {
	asserter.Check(c.Epoch > old.Epoch || c.Target == old.Target, asserter.SingleOwner,
		"slot %d goes from %q to %q under epoch %s after %s", c.Slot, old.Target, c.Target, c.Epoch, old.Epoch)
	old.Target, old.Epoch = c.Target, c.Epoch
	return old
}

// replaceHotKeys replaces the hot keys whose slots are delegated to the data centre. The epoch of a hot key rises like
// that of a slot.
func (e *tableEdit) replaceHotKeys(dc DataCentre, keys map[string]OwnerChange) (Result, bool) {
	old := e.table.hotKeys
	e.dropHotKeys(func(entry SlotEntry) bool { return entry.DataCentre == dc.Name })
	next := maps.Clone(e.table.hotKeys)
	if next == nil {
		next = make(map[string]SlotEntry, len(keys))
	}
	// The order decides which refusal is given, and all hosts have to remember the same one.
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		c := keys[key]
		entry, known := e.table.Entry(c.Slot)
		if previous, ok := old[key]; ok && previous.Slot == c.Slot {
			previous.DataCentre, previous.DelegatedAt = entry.DataCentre, entry.DelegatedAt
			entry = previous
		} else {
			entry.Target, entry.Epoch = "", 0
		}
		if r, ok := checkChange(dc, entry, known, c, "hot key of slot"); !ok {
			return r, false
		}
		next[key] = changed(entry, c)
	}
	if len(next) > maxHotKeys {
		return refuse("%d hot keys are more than %d", len(next), maxHotKeys), false
	}
	e.table.hotKeys = next
	return Result{}, true
}

func (e *tableEdit) dropHotKeys(drop func(SlotEntry) bool) {
	next := maps.Clone(e.table.hotKeys)
	maps.DeleteFunc(next, func(_ string, entry SlotEntry) bool { return drop(entry) })
	e.table.hotKeys = next
}
