// Package tracker keeps the leases of the targets that a host dispatches to, reports to the authority of the data
// centre, and builds the routing table of the host.
package tracker

import (
	"cmp"
	"slices"
	"time"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/reporter"
)

// Tracker is the core of an entry host's part in ownership. One goroutine passes it messages; Current may be read by
// any.
type Tracker struct {
	Host        string
	Incarnation uint64
	DataCentre  string
	// Leaving says that this host is about to stop.
	Leaving bool
	// Traffic is what the host's dispatchers know; nil means no traffic.
	Traffic reporter.Traffic

	now      time.Time
	tick     TickMsg
	index    uint64
	version  uint64
	dispatch leaser.Holder
	targets  map[targetKey]*target
	heard    map[heardKey]*heard
	slots    map[string][]entry
	current  locator.Current
	dirty    bool
	// urgent says that the authority has to know something soon: a release, a lapsed lease or a new target.
	urgent bool
	built  buildKey
}

type targetKey struct {
	service string
	name    string
}

type heardKey struct {
	targetKey

	incarnation uint64
}

// target is a target of the data centre's table. If this host dispatches to it, lease and granter are the two sides of
// its lease.
type target struct {
	reporter.AssignedTarget

	local   bool
	granter leaser.Granter
	lease   *leaser.Shared
	lapsed  bool
}

// heard is the last heartbeat of a target that announced itself here, whether or not this host dispatches to it.
type heard struct {
	msg HeartbeatMsg
	at  time.Time
}

// entry is one slot of the data centre's table.
type entry struct {
	target    string
	epoch     fencer.Epoch
	releasing bool
	// version is the version of the table in which the entry changed last.
	version uint64
	// givenUp says that the target confirmed the release or that its lease lapsed. The slot is not granted to it again
	// until the authority changes the entry.
	givenUp bool
}

// Current returns the place where the Tracker publishes the routing table.
func (t *Tracker) Current() *locator.Current {
	return &t.current
}

// Version returns the version of the table, and Index the log index of the authority that gave it.
func (t *Tracker) Version() uint64 {
	return t.version
}

// Index returns the log index of the authority that answered last.
func (t *Tracker) Index() uint64 {
	return t.index
}

// TakeUrgent reports whether the next report should be sent at once, and forgets it.
func (t *Tracker) TakeUrgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}

// Update takes one message and returns its effects: a HeartbeatReply for each HeartbeatMsg.
func (t *Tracker) Update(now time.Time, msg any) []any {
	t.now = now
	if t.targets == nil {
		t.targets = make(map[targetKey]*target)
		t.heard = make(map[heardKey]*heard)
		t.slots = make(map[string][]entry)
	}
	t.expire()
	var effects []any
	switch m := msg.(type) {
	case TickMsg:
		t.takeTick(m)
	case HeartbeatMsg:
		effects = append(effects, t.heartbeat(m))
	case GrantedMsg:
		t.granted(m)
	}
	t.build()
	return effects
}

func (t *Tracker) takeTick(m TickMsg) {
	t.tick = m
	for key, h := range t.heard {
		if t.now.Sub(h.at) > forgetAfter {
			delete(t.heard, key)
		}
	}
}

// forgetAfter is how long a target that went silent is remembered.
const forgetAfter = 10 * time.Second

// expire gives up the slots of local targets whose lease has lapsed.
func (t *Tracker) expire() {
	for key, tg := range t.targets {
		if !tg.local || tg.lapsed || !tg.granter.Lapsed(t.now) {
			continue
		}
		tg.lapsed = true
		t.dirty = true
		t.urgent = true
		slots := t.slots[key.service]
		for i := range slots {
			if slots[i].target == key.name {
				slots[i].givenUp = true
			}
		}
		if t.Traffic != nil {
			t.Traffic.Lost(key.service, key.name, tg.Incarnation)
		}
	}
}

// Report returns the report to the authority.
func (t *Tracker) Report(now time.Time) reporter.ReportMsg {
	t.now = now
	t.expire()
	m := reporter.ReportMsg{
		Host:          t.Host,
		Incarnation:   t.Incarnation,
		TableVersion:  t.version,
		Leaving:       t.Leaving,
		LeaderContact: t.tick.LeaderContact,
	}
	if t.tick.Config != nil {
		m.ConfigVersion = t.tick.Config.Version
	}
	for key, h := range t.heard {
		m.Targets = append(m.Targets, t.reportHeard(key, h))
	}
	for key, tg := range t.targets {
		k := heardKey{
			targetKey:   key,
			incarnation: tg.Incarnation,
		}
		if _, ok := t.heard[k]; !ok && tg.local {
			m.Targets = append(m.Targets, t.reportHeard(k, nil))
		}
	}
	slices.SortFunc(m.Targets, func(a, b reporter.TargetMsg) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	if t.Traffic != nil {
		m.Loads = t.Traffic.Loads()
		m.Suspects = t.Traffic.Suspects()
	}
	return m
}

// reportHeard returns what this host knows of one incarnation of a target.
func (t *Tracker) reportHeard(key heardKey, h *heard) reporter.TargetMsg {
	m := reporter.TargetMsg{
		Name:        key.name,
		Service:     key.service,
		Incarnation: key.incarnation,
		HeardAgo:    forgetAfter,
		Lapsed:      true,
	}
	if h != nil {
		m.Addr = h.msg.Addr
		m.HeardAgo = t.now.Sub(h.at)
		m.Draining = h.msg.State == stateDraining
		m.ChecksEpoch = h.msg.ChecksEpoch
		m.AckVersion = h.msg.AckVersion
	}
	tg, ok := t.targets[key.targetKey]
	if !ok || !tg.local || tg.Incarnation != key.incarnation {
		return m
	}
	m.Lapsed = tg.lapsed
	if h == nil {
		m.Addr = tg.Addr
	}
	for i, e := range t.slots[key.service] {
		if e.target == key.name && e.givenUp {
			m.Released = append(m.Released, keyer.Slot(i))
		}
	}
	return m
}

// granted takes the authority's answer: first the table, then the lease.
func (t *Tracker) granted(m GrantedMsg) {
	g := m.Grant
	if g.AuthorityIndex == 0 || g.AuthorityIndex < t.index {
		return
	}
	if len(g.Suspects) > 0 && t.Traffic != nil {
		t.Traffic.Learn(g.Suspects)
	}
	if g.AuthorityIndex > t.index && !g.Full && (g.TableVersion != t.version || !t.dispatch.Valid(t.now)) {
		// Only a host whose lease from the former authority still holds keeps its table; that authority may have given
		// the targets to another host since.
		return
	}
	if g.TableVersion > t.version {
		t.apply(g)
	}
	t.index = g.AuthorityIndex
	t.dispatch.Renewed(m.Asked, g.Lease)
}
