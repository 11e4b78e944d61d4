package applier

import (
	"iter"
	"maps"
	"slices"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// pageSlots is the number of slots that are copied for one change. A page is 4.6 KB at 256 slots, about as much as the
// list of pages of a table of 131,072 slots.
const pageSlots = 256

// compactNames is the number of names of targets from which unused ones are searched for.
const compactNames = 64

// SlotTable has one entry for each slot of a keyed service, 18 bytes each. A published table is immutable. A nil
// SlotTable has no slots.
type SlotTable struct {
	size  int
	pages []*page
	// centres has the names of data centres and names those of targets, to which entries refer by number. Number 0 is
	// the empty name.
	centres []string
	names   []string
	numbers map[string]uint32
	// used is the number of names after the last search for unused ones.
	used    int
	hotKeys map[string]SlotEntry
}

type page struct {
	epochs      [pageSlots]fencer.Epoch
	delegatedAt [pageSlots]uint32
	targets     [pageSlots]uint32
	dataCentres [pageSlots]uint16
}

// Len returns the number of slots.
func (t *SlotTable) Len() int {
	if t == nil {
		return 0
	}
	return t.size
}

// Entry returns the entry of a slot.
func (t *SlotTable) Entry(slot keyer.Slot) (SlotEntry, bool) {
	if t == nil || int(slot) >= t.size {
		return SlotEntry{}, false
	}
	p, i := t.pages[slot/pageSlots], slot%pageSlots
	return SlotEntry{
		Slot:        slot,
		DataCentre:  t.centres[p.dataCentres[i]],
		DelegatedAt: uint64(p.delegatedAt[i]),
		Target:      t.names[p.targets[i]],
		Epoch:       p.epochs[i],
	}, true
}

// All returns the entries of all slots in ascending order.
func (t *SlotTable) All() iter.Seq2[keyer.Slot, SlotEntry] {
	return func(yield func(keyer.Slot, SlotEntry) bool) {
		for i := range t.Len() {
			e, _ := t.Entry(keyer.Slot(i))
			if !yield(keyer.Slot(i), e) {
				return
			}
		}
	}
}

// HotKey returns the entry of a hot key.
func (t *SlotTable) HotKey(key string) (SlotEntry, bool) {
	if t == nil {
		return SlotEntry{}, false
	}
	e, ok := t.hotKeys[key]
	return e, ok
}

// HotKeys returns the entries of all hot keys in no order.
func (t *SlotTable) HotKeys() iter.Seq2[string, SlotEntry] {
	if t == nil {
		return maps.All(map[string]SlotEntry(nil))
	}
	return maps.All(t.hotKeys)
}

// tableEdit is a copy of a table under change. Pages are copied when they are first written.
type tableEdit struct {
	table  *SlotTable
	copied map[int]bool
	named  bool
}

func editTable(t *SlotTable) *tableEdit {
	next := SlotTable{
		centres: []string{""},
		names:   []string{""},
	}
	if t != nil {
		next = *t
		next.pages = slices.Clone(t.pages)
	}
	return &tableEdit{
		table:  &next,
		copied: make(map[int]bool),
	}
}

func (e *tableEdit) grow(size int) {
	t := e.table
	t.size = max(t.size, size)
	for len(t.pages)*pageSlots < t.size {
		e.copied[len(t.pages)] = true
		t.pages = append(t.pages, &page{})
	}
}

func (e *tableEdit) set(entry SlotEntry) {
	n := int(entry.Slot) / pageSlots
	target, dataCentre := e.number(entry.Target), e.centre(entry.DataCentre)
	if !e.copied[n] {
		p := *e.table.pages[n]
		e.table.pages[n] = &p
		e.copied[n] = true
	}
	p, i := e.table.pages[n], entry.Slot%pageSlots
	p.epochs[i] = entry.Epoch
	p.delegatedAt[i] = uint32(entry.DelegatedAt)
	p.targets[i] = target
	p.dataCentres[i] = dataCentre
}

// centre returns the number of a data centre. There are few, and they are never dropped.
func (e *tableEdit) centre(name string) uint16 {
	t := e.table
	if i := slices.Index(t.centres, name); i >= 0 {
		return uint16(i)
	}
	t.centres = append(slices.Clone(t.centres), name)
	return uint16(len(t.centres) - 1)
}

// number returns the number of a name and adds the name if it is new.
func (e *tableEdit) number(name string) uint32 {
	t := e.table
	if name == "" {
		return 0
	}
	if n, ok := t.numbers[name]; ok {
		return n
	}
	if !e.named {
		t.names = slices.Clone(t.names)
		t.numbers = maps.Clone(t.numbers)
		if t.numbers == nil {
			t.numbers = make(map[string]uint32)
		}
		e.named = true
	}
	n := uint32(len(t.names))
	t.names = append(t.names, name)
	t.numbers[name] = n
	return n
}

// finish returns the changed table. Targets come and go, so names without an entry are dropped once the names have
// doubled.
func (e *tableEdit) finish() *SlotTable {
	t := e.table
	if len(t.names) < compactNames || len(t.names) < 2*t.used {
		return t
	}
	fresh := editTable(nil)
	fresh.table.centres = t.centres
	fresh.grow(t.size)
	for _, entry := range t.All() {
		fresh.set(entry)
	}
	fresh.table.hotKeys = t.hotKeys
	fresh.table.used = len(fresh.table.names)
	return fresh.table
}
