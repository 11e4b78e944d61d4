package locator

import (
	"sync/atomic"

	"bramleyline.example/bramleyline/keyer"
)

// Locator is an immutable routing table. It may be stale: the dispatching host of a target checks lease and epoch again.
type Locator struct {
	// Version is the version of the data centre's table from which the Locator was made.
	Version uint64
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64

	tables map[string]*Table
}

// New returns a Locator. It takes over tables, which must not be changed any more.
func New(version, configVersion uint64, tables []*Table) *Locator {
	l := Locator{
		Version:       version,
		ConfigVersion: configVersion,
		tables:        make(map[string]*Table, len(tables)),
	}
	for _, t := range tables {
		l.tables[t.Service] = t
	}
	return &l
}

// Table returns the table of a service.
func (l *Locator) Table(service string) (*Table, bool) {
	if l == nil {
		return nil, false
	}
	t, ok := l.tables[service]
	return t, ok
}

// Owner returns the route of slot. The pointer refers to the immutable table; it is nil if the slot has no owner.
func (t *Table) Owner(slot keyer.Slot) *Route {
	if int(slot) >= len(t.Owners) {
		return nil
	}
	return t.route(t.Owners[slot])
}

// OwnerOf returns the slot of key and the route of the key: that of its entry in Hot, if there is one, otherwise that of
// the slot.
func (t *Table) OwnerOf(key string) (keyer.Slot, *Route) {
	slot := t.Keyer.Slot(key)
	if i, ok := t.Hot[key]; ok {
		return slot, t.route(i)
	}
	return slot, t.Owner(slot)
}

func (t *Table) route(i int32) *Route {
	if i < 0 || int(i) >= len(t.Routes) {
		return nil
	}
	return &t.Routes[i]
}

// Current publishes the newest Locator to the goroutines that serve traffic. The zero value has none.
type Current struct {
	p atomic.Pointer[Locator]
}

// Load returns the newest Locator, nil if there is none yet.
func (c *Current) Load() *Locator {
	return c.p.Load()
}

// Store publishes l.
func (c *Current) Store(l *Locator) {
	c.p.Store(l)
}
