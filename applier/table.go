package applier

import (
	"iter"
	"maps"
	"slices"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// pageSlots is the number of slots of a page, the unit that a change copies. A page of 256 slots takes 4.6 KB, about as
// much as the list of pages of a table of 131,072 slots, which every change copies too.
const pageSlots = 256

// minNamesToCompact is the smallest number of target names in a table at which unused names are dropped.
const minNamesToCompact = 64

// SlotTable is a copy-on-write array with one entry of 18 bytes for each slot of a keyed service. A published table is
// immutable; its versions share unchanged pages. A nil SlotTable has no slots.
type SlotTable struct {
	size  int
	pages []*page
	// Entries refer to data centres and targets by number, which is the index of the name in dataCentreNames or
	// targetNames. Number 0 is the empty name. targetNumbers maps the name of a target to its number.
	dataCentreNames []string
	targetNames     []string
	targetNumbers   map[string]uint32
	// namesKept is the length of targetNames after unused names were last dropped.
	namesKept int
	hotKeys   map[string]SlotEntry
}

// page holds the entries of pageSlots slots, field by field, with targets and data centres by number.
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
		DataCentre:  t.dataCentreNames[p.dataCentres[i]],
		DelegatedAt: uint64(p.delegatedAt[i]),
		Target:      t.targetNames[p.targets[i]],
		Epoch:       p.epochs[i],
	}, true
}

// All returns an iterator over the entries of all slots in ascending order.
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

// HotKeys returns an iterator over the entries of all hot keys, in unspecified order.
func (t *SlotTable) HotKeys() iter.Seq2[string, SlotEntry] {
	if t == nil {
		return maps.All(map[string]SlotEntry(nil))
	}
	return maps.All(t.hotKeys)
}

// tableEdit is a copy of a table that is being changed. Pages, and the names of targets, are copied at the first write.
type tableEdit struct {
	table       *SlotTable
	pagesCopied map[int]bool
	namesCopied bool
}

// editTable starts a change of t, which it leaves unchanged. A nil t is the empty table.
func editTable(t *SlotTable) *tableEdit {
	next := SlotTable{
		dataCentreNames: []string{""},
		targetNames:     []string{""},
	}
	if t != nil {
		next = *t
		next.pages = slices.Clone(t.pages)
	}
	return &tableEdit{
		table:       &next,
		pagesCopied: make(map[int]bool),
	}
}

// grow makes the table at least size slots long.
func (e *tableEdit) grow(size int) {
	t := e.table
	t.size = max(t.size, size)
	for len(t.pages)*pageSlots < t.size {
		e.pagesCopied[len(t.pages)] = true
		t.pages = append(t.pages, &page{})
	}
}

// set stores the entry of entry.Slot, which must be within the table.
func (e *tableEdit) set(entry SlotEntry) {
	n := int(entry.Slot) / pageSlots
	target, dataCentre := e.targetNumber(entry.Target), e.dataCentreNumber(entry.DataCentre)
	if !e.pagesCopied[n] {
		p := *e.table.pages[n]
		e.table.pages[n] = &p
		e.pagesCopied[n] = true
	}
	p, i := e.table.pages[n], entry.Slot%pageSlots
	p.epochs[i] = entry.Epoch
	p.delegatedAt[i] = uint32(entry.DelegatedAt)
	p.targets[i] = target
	p.dataCentres[i] = dataCentre
}

// dataCentreNumber returns the number of a data centre and adds its name if it is new. There are few data centres, so
// their names are never dropped.
func (e *tableEdit) dataCentreNumber(name string) uint16 {
	t := e.table
	if i := slices.Index(t.dataCentreNames, name); i >= 0 {
		return uint16(i)
	}
	t.dataCentreNames = append(slices.Clone(t.dataCentreNames), name)
	return uint16(len(t.dataCentreNames) - 1)
}

// targetNumber returns the number of a target and adds its name if it is new.
func (e *tableEdit) targetNumber(name string) uint32 {
	t := e.table
	if name == "" {
		return 0
	}
	if n, ok := t.targetNumbers[name]; ok {
		return n
	}
	if !e.namesCopied {
		t.targetNames = slices.Clone(t.targetNames)
		t.targetNumbers = maps.Clone(t.targetNumbers)
		if t.targetNumbers == nil {
			t.targetNumbers = make(map[string]uint32)
		}
		e.namesCopied = true
	}
	n := uint32(len(t.targetNames))
	t.targetNames = append(t.targetNames, name)
	t.targetNumbers[name] = n
	return n
}

// finish returns the changed table. As targets are replaced over time, the table collects names without an entry; they
// are dropped once the number of names has doubled.
func (e *tableEdit) finish() *SlotTable {
	t := e.table
	if len(t.targetNames) < minNamesToCompact || len(t.targetNames) < 2*t.namesKept {
		return t
	}
	compacted := editTable(nil)
	compacted.table.dataCentreNames = t.dataCentreNames
	compacted.grow(t.size)
	for _, entry := range t.All() {
		compacted.set(entry)
	}
	compacted.table.hotKeys = t.hotKeys
	compacted.table.namesKept = len(compacted.table.targetNames)
	return compacted.table
}
