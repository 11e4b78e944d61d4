// Package granter is the lease manager of one data centre, called its authority: it grants dispatch leases to the entry
// hosts and assigns the slots of keyed services to targets. It moves slots so that no two targets ever hold one at the
// same time.
//
// The control leader names one host of the data centre as authority in the replicated log and renews its authority
// lease. An authority that loses contact with the leader works in isolated mode for a limited time, if every other host
// of the in-sync set promises to take part in no other authority.
package granter

import (
	"strconv"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/reporter"
)

// Granter is the authority of one data centre, as a state machine without I/O: Update takes messages and returns
// effects. It is idle until the replicated state names its host, by incarnation, as the authority. It is not safe for
// concurrent use.
type Granter struct {
	DataCentre  string
	Host        string
	Incarnation uint64
	// Known returns the table that the tracker of this host has, as a full grant; nil means that it has none. A new
	// authority takes from it the changes that its predecessor made in isolated mode.
	Known func() *reporter.GrantMsg

	// now is the time of the current Update; state and config are those of the last TickMsg.
	now    time.Time
	state  *applier.State
	config *configurer.Config
	// index is the log index of the command that named this host as the authority, zero while it is not the authority.
	index     uint64
	startedAt time.Time
	// opened is false while leases of the predecessor may still be held; the table does not change until then.
	opened bool
	// lease is the authority lease, and lastContact the time at which the last heartbeat that renewed it was sent.
	lease       leaser.Holder
	lastContact time.Time
	// version is the version of the table: index in the upper 32 bits, and a counter of changes in the lower ones.
	version uint64
	// changeCounter is the lower half of the newest epoch, proposalCounter the last part of the newest request ID.
	changeCounter   uint32
	proposalCounter uint64
	hosts           map[string]*host
	targets         map[targetKey]*target
	// tables holds the slots by service, proposals the commands without a result by request ID, and promises those of
	// the in-sync set by host.
	tables    map[string]*table
	proposals map[string]*proposal
	promises  map[string]promise
	// proposedInSync is the in-sync set that was proposed last, by host and incarnation, until the state shows it;
	// inSyncAccepted is true once its command was accepted.
	proposedInSync map[string]uint64
	inSyncAccepted bool
	suspects       map[suspectKey]suspect
	// minBaseVersion is the lowest version for which an answer may list only changes; older hosts get the full table.
	minBaseVersion uint64
	effects        []any
}

// host is one incarnation of an entry host of the data centre that reports to this authority.
type host struct {
	name        string
	incarnation uint64
	reportedAt  time.Time
	// tableVersion is the newest version of the table that the host reported.
	tableVersion uint64
	// stopping is true once the host reported a planned stop.
	stopping bool
	// noLinks is true while the host reports that it has lost its links to targets.
	noLinks bool
	// lease is the dispatch lease that this authority granted.
	lease leaser.Granter
}

type targetKey struct {
	service string
	name    string
}

// target is one incarnation of a target.
type target struct {
	targetKey

	incarnation uint64
	// report is the newest report about the target, and heartbeatAt the time of the target's last heartbeat.
	report      reporter.TargetMsg
	heartbeatAt time.Time
	// preferredHost is the first choice for the next dispatching host: the one to which the target sends heartbeats, or
	// the one to which it is being moved.
	preferredHost string
	// host dispatches to the target. formerHosts are the hosts that may still do so, until they have the mapped version
	// of the table or their lease has expired.
	host        string
	formerHosts map[string]uint64
	// assignedVersion is the version of the table that gave the target to host, at hostSince. Reports of host that are
	// based on an older one are ignored.
	assignedVersion uint64
	hostSince       time.Time
	// outOfService is true while operators have taken the target out. lost is true once its lease has expired and its
	// last heartbeat is older than half a dispatch lease.
	outOfService bool
	lost         bool
	// limit is the number of requests per second that the target states to take; nil if it states none. weight is its weight
	// in the placement of slots.
	limit  *float64
	weight int
	// removed is true once the target holds no slot after it was lost or superseded; hosts drop it from their tables.
	removed bool
	// version is the version of the table in which the target's entry changed last.
	version uint64
	// successor is a newer incarnation of the target, first reported at successorSince. It replaces this one as soon as
	// this one holds no slot any more.
	successor      *target
	successorSince time.Time
}

// Update takes one message and returns its effects: reporter.GrantMsg as the answer to a reporter.ReportMsg,
// ProposeMsg and PromiseMsg.
func (g *Granter) Update(now time.Time, msg any) []any {
	g.now = now
	g.effects = nil
	switch m := msg.(type) {
	case TickMsg:
		g.state, g.config = m.State, m.Config
		g.tick()
	case LeaseMsg:
		g.renewLease(m)
	case reporter.ReportMsg:
		g.handleReport(m)
	case ProposedMsg:
		g.handleProposed(m)
	case PromiseMsg:
		g.handlePromise(m)
	}
	return g.effects
}

// Index returns the log index of the command that named this host as the authority, zero if it is not the authority.
func (g *Granter) Index() uint64 {
	return g.index
}

// Version returns the version of the table.
func (g *Granter) Version() uint64 {
	return g.version
}

func (g *Granter) emit(effect any) {
	g.effects = append(g.effects, effect)
}

// tick follows the replicated state, by which this authority starts and stops, and moves targets and slots as needed.
func (g *Granter) tick() {
	if g.state == nil || g.config == nil {
		return
	}
	dc := g.state.DataCentres[g.DataCentre]
	named := dc.Authority == g.Host && dc.AuthorityIncarnation == g.Incarnation
	if g.index != 0 && dc.AuthorityIndex >= g.index && (!named || dc.AuthorityIndex != g.index) {
		g.stop()
	}
	if !named {
		return
	}
	if g.index == 0 {
		g.start(dc.AuthorityIndex)
	}
	if !g.mayGrant() {
		g.requestPromises()
		return
	}
	if !g.opened {
		// Leases that the predecessor granted have expired after one dispatch lease plus the margin, or were renewed
		// here.
		wait := g.config.Timing.DispatchLease
		if g.now.Before(g.startedAt.Add(wait + leaser.DefaultMargin(wait))) {
			return
		}
		g.openTable()
	}
	g.requestPromises()
	g.checkHosts()
	g.checkTargets()
	g.assignHosts()
	for _, name := range sortedKeys(g.tables) {
		g.moveSlots(g.tables[name])
	}
	g.updateInSync()
	g.retryProposals()
}

// start makes this host the authority under the log index of the command that named it.
func (g *Granter) start(index uint64) {
	*g = Granter{
		DataCentre:  g.DataCentre,
		Host:        g.Host,
		Incarnation: g.Incarnation,
		Known:       g.Known,
		now:         g.now,
		state:       g.state,
		config:      g.config,
		index:       index,
		startedAt:   g.now,
		lease:       g.lease,
		lastContact: g.lastContact,
		version:     index << 32,
		hosts:       make(map[string]*host),
		targets:     make(map[targetKey]*target),
		tables:      make(map[string]*table),
		proposals:   make(map[string]*proposal),
		promises:    make(map[string]promise),
		suspects:    make(map[suspectKey]suspect),
		effects:     g.effects,
	}
	g.lease.Drop()
	g.loadTables()
}

// stop ends the work as authority, because a later command named another host, or this one again.
func (g *Granter) stop() {
	for _, name := range sortedKeys(g.promises) {
		g.releasePromise(name)
	}
	g.index = 0
	g.opened = false
	g.lease.Drop()
	g.hosts, g.targets, g.tables, g.proposals, g.promises = nil, nil, nil, nil, nil
}

// renewLease records the authority lease. The promises of isolated mode are not needed any more and are released.
func (g *Granter) renewLease(m LeaseMsg) {
	if g.index == 0 || m.AuthorityIndex != g.index {
		return
	}
	g.lease.Renewed(m.Asked, m.TTL)
	if m.Asked.After(g.lastContact) {
		g.lastContact = m.Asked
	}
	for name, t := range g.tables {
		t.setYield(m.Yield[name])
	}
	for _, name := range sortedKeys(g.promises) {
		g.releasePromise(name)
	}
}

// nextVersion advances the version of the table and returns it.
func (g *Granter) nextVersion() uint64 {
	g.version++
	return g.version
}

// openTable allows changes of the table. Until now, the hosts only renewed what the predecessor granted.
func (g *Granter) openTable() {
	g.opened = true
	g.nextVersion()
	for _, t := range g.targets {
		t.version = g.version
		t.assignedVersion = g.version
		t.hostSince = g.now
	}
	for _, t := range g.tables {
		g.confirmOwners(t)
	}
}

// handleReport records the report of an entry host and answers it.
func (g *Granter) handleReport(m reporter.ReportMsg) {
	answer := reporter.GrantMsg{
		Authority:      g.Host,
		AuthorityIndex: g.index,
		TableVersion:   m.TableVersion,
	}
	if g.index == 0 || g.config == nil {
		answer.AuthorityIndex = 0
		g.emit(answer)
		return
	}
	h, ok := g.hosts[m.Host]
	if ok && h.incarnation > m.Incarnation {
		g.emit(answer)
		return
	}
	if !ok || h.incarnation < m.Incarnation {
		h = g.replaceHost(m, h)
	}
	if g.opened && h.incarnation == m.Incarnation {
		// A report that arrives out of order must not lower the version.
		h.tableVersion = max(h.tableVersion, m.TableVersion)
	}
	h.reportedAt = g.now
	h.stopping = h.stopping || m.Leaving
	h.noLinks = m.NoLinks
	for _, t := range m.Targets {
		g.updateTarget(m, t)
	}
	g.addSuspects(m.Suspects)
	for _, l := range m.Loads {
		if t, ok := g.tables[l.Service]; ok {
			t.addLoad(l)
		}
		g.recordLimit(l)
	}
	if g.mayGrant() {
		answer.Lease = g.config.Timing.DispatchLease
		h.lease.Granted(g.now, answer.Lease)
	}
	if g.opened && answer.Lease > 0 {
		g.addChanges(&answer, m.TableVersion)
	}
	g.emit(answer)
}

// replaceHost records a new incarnation of a host. The former incarnation is kept under another name, with its targets,
// until its lease has expired.
func (g *Granter) replaceHost(m reporter.ReportMsg, old *host) *host {
	if old != nil {
		name := old.name + "#" + strconv.FormatUint(old.incarnation, 10)
		old.name = name
		old.reportedAt = time.Time{}
		g.hosts[name] = old
		for _, t := range g.targets {
			if t.host == m.Host {
				t.host = name
			}
			if v, ok := t.formerHosts[m.Host]; ok {
				delete(t.formerHosts, m.Host)
				t.formerHosts[name] = v
			}
		}
	}
	h := &host{
		name:        m.Host,
		incarnation: m.Incarnation,
	}
	g.hosts[m.Host] = h
	return h
}

// updateTarget records what a host reports about a target.
func (g *Granter) updateTarget(m reporter.ReportMsg, msg reporter.TargetMsg) {
	key := targetKey{
		service: msg.Service,
		name:    msg.Name,
	}
	t := g.targets[key]
	heartbeatAt := g.now.Add(-msg.HeardAgo)
	recent := msg.HeardAgo < g.config.Timing.DispatchLease
	if t == nil || t.removed {
		if !recent && (g.opened || msg.Lapsed) {
			return
		}
		formerHosts := make(map[string]uint64)
		if t != nil {
			formerHosts = t.formerHosts
		}
		t = &target{
			targetKey:     key,
			incarnation:   msg.Incarnation,
			report:        msg,
			heartbeatAt:   heartbeatAt,
			preferredHost: m.Host,
			formerHosts:   formerHosts,
			version:       g.bumpVersion(0),
		}
		g.targets[key] = t
	}
	if msg.Incarnation > t.incarnation && (t.successor == nil || msg.Incarnation >= t.successor.incarnation) {
		if t.successor == nil {
			t.successorSince = g.now
		}
		t.successor = &target{
			targetKey:     key,
			incarnation:   msg.Incarnation,
			report:        msg,
			heartbeatAt:   heartbeatAt,
			preferredHost: m.Host,
			formerHosts:   make(map[string]uint64),
		}
	}
	if msg.Incarnation != t.incarnation {
		return
	}
	if !heartbeatAt.Before(t.heartbeatAt) {
		t.heartbeatAt, t.preferredHost = heartbeatAt, m.Host
		if t.report.Draining != msg.Draining || t.report.Addr != msg.Addr {
			t.version = g.bumpVersion(t.version)
		}
		t.report = msg
	}
	if !g.opened {
		g.recordLeaseHolder(m, t, msg)
		return
	}
	if t.host != m.Host || m.TableVersion < t.assignedVersion {
		return
	}
	if msg.Lapsed {
		g.expireTarget(t, m.TableVersion)
	}
	if tab, ok := g.tables[t.service]; ok {
		g.freeReleased(tab, t, m.TableVersion, msg.Released)
	}
}

// bumpVersion returns the next version of the table once it is open, else old.
func (g *Granter) bumpVersion(old uint64) uint64 {
	if !g.opened {
		return old
	}
	return g.nextVersion()
}

// recordLeaseHolder records, before the table is open, which host dispatches to a target under the predecessor's lease.
func (g *Granter) recordLeaseHolder(m reporter.ReportMsg, t *target, msg reporter.TargetMsg) {
	if msg.Lapsed {
		return
	}
	if t.host == "" && len(t.formerHosts) == 0 {
		t.host = m.Host
	} else if t.host != m.Host {
		// Two hosts report a lease for the target: both give it up before one of them gets it.
		t.formerHosts[m.Host] = g.version + 1
		if t.host != "" {
			t.formerHosts[t.host] = g.version + 1
		}
		t.host = ""
	}
	if tab, ok := g.tables[t.service]; ok {
		tab.markReleased(t.name, msg.Released)
	}
}

// keepsSlots reports whether t may keep its slots: it is not lost, draining, taken out of service or superseded.
func (g *Granter) keepsSlots(t *target) bool {
	return !t.removed && !t.lost && !t.report.Draining && !t.outOfService && !g.superseded(t)
}

// superseded reports whether a newer incarnation was first reported more than two dispatch leases ago although the
// lease of t did not expire. Two processes run under the same name then, and the older one has to give up its slots.
func (g *Granter) superseded(t *target) bool {
	return t.successor != nil && g.now.Sub(t.successorSince) > 2*g.config.Timing.DispatchLease
}

// inService reports whether t may be given slots: it keeps its own, has a dispatching host and no newer incarnation,
// and sent a heartbeat within the dispatch lease.
func (g *Granter) inService(t *target) bool {
	return g.keepsSlots(t) && t.host != "" && t.successor == nil && g.now.Sub(t.heartbeatAt) < g.config.Timing.DispatchLease
}
