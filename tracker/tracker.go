// Package tracker implements the lease state machine of an entry host: it holds the dispatch lease that the authority
// of the data centre grants to the host, grants leases to the targets that the host dispatches to, reports to the
// authority, and builds the routing table of the host.
//
// A target's lease is at most what remains of the dispatch lease. A slot that its target has released, or whose
// target's lease has expired, is not granted to that target again until the authority changes the slot's entry in its
// table.
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

// Tracker is the state machine of one entry host. It performs no I/O and is not safe for concurrent use: one goroutine
// passes it messages. Any goroutine may read the routing table through Current.
type Tracker struct {
	Host        string
	Incarnation uint64
	DataCentre  string
	// Leaving says that a planned stop of this host has begun.
	Leaving bool
	// NoLinks says that this host has lost its links to targets.
	NoLinks bool
	// Traffic is the state of the host's dispatchers; nil means no traffic.
	Traffic reporter.Traffic

	now      time.Time
	lastTick TickMsg
	// authorityIndex is the log index under which the authority that answered last was named, zero before the first
	// answer. tableVersion is the version of the data centre's table that slots and targets hold.
	authorityIndex uint64
	tableVersion   uint64
	dispatchLease  leaser.Holder
	targets        map[targetKey]*target
	heartbeats     map[incarnationKey]*receivedHeartbeat
	slots          map[string][]slotEntry
	current        locator.Current
	// dirty says that slots or targets have changed since the Locator in current was built.
	dirty bool
	// urgent says that the next report must be sent at once: it has a release, an expired lease, a new target or a new
	// state of a target.
	urgent bool
	built  locatorInputs
}

type targetKey struct {
	service string
	name    string
}

type incarnationKey struct {
	targetKey

	incarnation uint64
}

// target is a target in the data centre's table.
type target struct {
	reporter.AssignedTarget

	// local says that this host is the target's dispatching host. The fields below are used only then.
	local bool
	// granter and lease are the two sides of the target's lease. The granter adds the margin for clock drift; lease is
	// what the routing table shows, so that nothing is sent to the target after its end.
	granter leaser.Granter
	lease   *leaser.SharedHolder
	// leaseExpired says that the lease has expired at the granter and has not been granted anew.
	leaseExpired bool
}

// receivedHeartbeat is the last heartbeat that one incarnation of a target sent to this host, which need not be its
// dispatching host.
type receivedHeartbeat struct {
	msg        HeartbeatMsg
	receivedAt time.Time
}

// slotEntry is one slot of the data centre's table.
type slotEntry struct {
	target    string
	epoch     fencer.Epoch
	releasing bool
	// changedVersion is the version of the table in which the entry last changed.
	changedVersion uint64
	// released says that the target confirmed the release or that its lease expired. The slot is not granted to it
	// again until the authority changes the entry.
	released bool
}

// Current returns the holder of the newest routing table. It is safe for concurrent use.
func (t *Tracker) Current() *locator.Current {
	return &t.current
}

// Version returns the version of the data centre's table that this host has, zero if it has none.
func (t *Tracker) Version() uint64 {
	return t.tableVersion
}

// Index returns the log index of the command that named the authority that answered last, zero if none has answered.
func (t *Tracker) Index() uint64 {
	return t.authorityIndex
}

// TakeUrgent reports whether the next report must be sent at once, and clears that flag.
func (t *Tracker) TakeUrgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}

// Update handles a TickMsg, HeartbeatMsg or GrantedMsg and returns its effects: one HeartbeatReply for a HeartbeatMsg,
// none for the others.
func (t *Tracker) Update(now time.Time, msg any) []any {
	t.now = now
	if t.targets == nil {
		t.targets = make(map[targetKey]*target)
		t.heartbeats = make(map[incarnationKey]*receivedHeartbeat)
		t.slots = make(map[string][]slotEntry)
	}
	t.expireLeases()
	var effects []any
	switch m := msg.(type) {
	case TickMsg:
		t.handleTick(m)
	case HeartbeatMsg:
		effects = append(effects, t.handleHeartbeat(m))
	case GrantedMsg:
		t.handleGrant(m)
	}
	t.updateLocator()
	return effects
}

func (t *Tracker) handleTick(m TickMsg) {
	t.lastTick = m
	for key, h := range t.heartbeats {
		if t.now.Sub(h.receivedAt) > heartbeatRetention {
			delete(t.heartbeats, key)
		}
	}
}

// heartbeatRetention is how long the last heartbeat of a target is kept.
const heartbeatRetention = 10 * time.Second

// expireLeases marks the slots of local targets whose lease has expired as released.
func (t *Tracker) expireLeases() {
	for key, tg := range t.targets {
		if !tg.local || tg.leaseExpired || !tg.granter.Lapsed(t.now) {
			continue
		}
		tg.leaseExpired = true
		t.dirty = true
		t.urgent = true
		slots := t.slots[key.service]
		for i := range slots {
			if slots[i].target == key.name {
				slots[i].released = true
			}
		}
		if t.Traffic != nil {
			t.Traffic.Lost(key.service, key.name, tg.Incarnation)
		}
	}
}

// Report returns the report to the authority: the targets that sent this host a heartbeat within heartbeatRetention,
// those to which it dispatches, and the traffic since the last report.
func (t *Tracker) Report(now time.Time) reporter.ReportMsg {
	t.now = now
	t.expireLeases()
	m := reporter.ReportMsg{
		Host:          t.Host,
		Incarnation:   t.Incarnation,
		TableVersion:  t.tableVersion,
		Leaving:       t.Leaving,
		NoLinks:       t.NoLinks,
		LeaderContact: t.lastTick.LeaderContact,
	}
	if t.lastTick.Config != nil {
		m.ConfigVersion = t.lastTick.Config.Version
	}
	for key, h := range t.heartbeats {
		m.Targets = append(m.Targets, t.reportTarget(key, h))
	}
	for key, tg := range t.targets {
		k := incarnationKey{
			targetKey:   key,
			incarnation: tg.Incarnation,
		}
		if _, ok := t.heartbeats[k]; !ok && tg.local {
			m.Targets = append(m.Targets, t.reportTarget(k, nil))
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

// reportTarget returns the report of one incarnation of a target, whose last heartbeat is h. If h is nil, its heartbeat
// is reported as heartbeatRetention old.
func (t *Tracker) reportTarget(key incarnationKey, h *receivedHeartbeat) reporter.TargetMsg {
	m := reporter.TargetMsg{
		Name:        key.name,
		Service:     key.service,
		Incarnation: key.incarnation,
		HeardAgo:    heartbeatRetention,
		Lapsed:      true,
	}
	if h != nil {
		m.Addr = h.msg.Addr
		m.HeardAgo = t.now.Sub(h.receivedAt)
		m.Draining = h.msg.State == stateDraining
		m.ChecksEpoch = h.msg.ChecksEpoch
		m.AckVersion = h.msg.AckVersion
	}
	tg, ok := t.targets[key.targetKey]
	if !ok || !tg.local || tg.Incarnation != key.incarnation {
		return m
	}
	m.Lapsed = tg.leaseExpired
	if h == nil {
		m.Addr = tg.Addr
	}
	for i, e := range t.slots[key.service] {
		if e.target == key.name && e.released {
			m.Released = append(m.Released, keyer.Slot(i))
		}
	}
	return m
}

// handleGrant applies the authority's answer: first the table, then the dispatch lease.
func (t *Tracker) handleGrant(m GrantedMsg) {
	g := m.Grant
	if g.AuthorityIndex == 0 || g.AuthorityIndex < t.authorityIndex {
		return
	}
	if len(g.Suspects) > 0 && t.Traffic != nil {
		t.Traffic.AddSuspects(g.Suspects)
	}
	if g.AuthorityIndex > t.authorityIndex && !g.Full && (g.TableVersion != t.tableVersion || !t.dispatchLease.Valid(t.now)) {
		// The answer is from a new authority and has no full table. The host keeps its table only while its lease from
		// the former authority is valid: after that, the former authority may have assigned the targets to another
		// host.
		return
	}
	if g.TableVersion > t.tableVersion {
		t.applyTable(g)
	}
	t.authorityIndex = g.AuthorityIndex
	t.dispatchLease.Renewed(m.Asked, g.Lease)
}
