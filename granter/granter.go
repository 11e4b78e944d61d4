// Package granter is the core of the authority of one data centre: it grants dispatch leases to the entry hosts and
// slots to the targets, and moves slots so that no two targets ever hold one at the same time.
package granter

import (
	"strconv"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/reporter"
)

// Granter is the authority of one data centre. It is idle until the state names its host, by incarnation. It is not
// safe for concurrent use: one goroutine passes it messages.
type Granter struct {
	DataCentre  string
	Host        string
	Incarnation uint64
	// Known returns the table that the tracker of this host has, as a full grant; nil means that it has none. A new
	// authority takes from it the changes that its predecessor made in isolated mode.
	Known func() *reporter.GrantMsg

	now       time.Time
	state     *applier.State
	config    *configurer.Config
	index     uint64
	started   time.Time
	opened    bool
	lease     leaser.Holder
	contact   time.Time
	version   uint64
	change    uint32
	requests  uint64
	hosts     map[string]*host
	targets   map[targetKey]*target
	tables    map[string]*table
	proposals map[string]*proposal
	promises  map[string]promise
	syncing   map[string]uint64
	syncDone  bool
	suspects  map[suspectKey]suspect
	goneFloor uint64
	effects   []any
}

// host is an entry host of the data centre that reports to this authority.
type host struct {
	name         string
	incarnation  uint64
	reportedAt   time.Time
	tableVersion uint64
	leaving      bool
	lease        leaser.Granter
}

type targetKey struct {
	service string
	name    string
}

// target is one incarnation of a target.
type target struct {
	targetKey

	incarnation uint64
	msg         reporter.TargetMsg
	heardAt     time.Time
	heardBy     string
	// host dispatches to the target; former are the hosts that may still do so, until they have the named version of
	// the table or their lease has lapsed.
	host         string
	former       map[string]uint64
	assignedAt   uint64
	hostSince    time.Time
	outOfService bool
	lost         bool
	gone         bool
	version      uint64
	// successor is a newer process with the same name, first heard at succeededAt. It takes the place of this one when
	// this one holds nothing any more.
	successor   *target
	succeededAt time.Time
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
		g.renew(m)
	case reporter.ReportMsg:
		g.report(m)
	case ProposedMsg:
		g.proposed(m)
	case PromiseMsg:
		g.promised(m)
	}
	return g.effects
}

// Index returns the log index under which this host is the authority, zero if it is not.
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
	if !g.granting() {
		g.askPromises()
		return
	}
	if !g.opened {
		// Leases that the predecessor gave have lapsed after one dispatch lease plus the margin, or were renewed here.
		wait := g.config.Timing.DispatchLease
		if g.now.Before(g.started.Add(wait + leaser.DefaultMargin(wait))) {
			return
		}
		g.open()
	}
	g.askPromises()
	g.checkHosts()
	g.checkTargets()
	g.assignHosts()
	for _, name := range sortedKeys(g.tables) {
		g.moveSlots(g.tables[name])
	}
	g.syncHosts()
	g.repeatProposals()
}

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
		started:     g.now,
		lease:       g.lease,
		contact:     g.contact,
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

// stop gives up the authority: another host was named, or this one anew.
func (g *Granter) stop() {
	for _, name := range sortedKeys(g.promises) {
		g.releasePromise(name)
	}
	g.index = 0
	g.opened = false
	g.lease.Drop()
	g.hosts, g.targets, g.tables, g.proposals, g.promises = nil, nil, nil, nil, nil
}

func (g *Granter) renew(m LeaseMsg) {
	if g.index == 0 || m.AuthorityIndex != g.index {
		return
	}
	g.lease.Renewed(m.Asked, m.TTL)
	if m.Asked.After(g.contact) {
		g.contact = m.Asked
	}
	for name, t := range g.tables {
		t.setYield(m.Yield[name])
	}
	for _, name := range sortedKeys(g.promises) {
		g.releasePromise(name)
	}
}

// next returns the next version of the table.
func (g *Granter) next() uint64 {
	g.version++
	return g.version
}

// open begins to change the table. Until now the hosts renewed what the predecessor gave them.
func (g *Granter) open() {
	g.opened = true
	g.next()
	for _, t := range g.targets {
		t.version = g.version
		t.assignedAt = g.version
		t.hostSince = g.now
	}
	for _, t := range g.tables {
		g.confirm(t)
	}
}

// report takes the report of an entry host and answers it.
func (g *Granter) report(m reporter.ReportMsg) {
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
		// A report that arrives out of order must not hide a newer version.
		h.tableVersion = max(h.tableVersion, m.TableVersion)
	}
	h.reportedAt = g.now
	h.leaving = h.leaving || m.Leaving
	for _, t := range m.Targets {
		g.hear(m, t)
	}
	g.learn(m.Suspects)
	for _, l := range m.Loads {
		if t, ok := g.tables[l.Service]; ok {
			t.addLoad(l)
		}
	}
	if g.granting() {
		answer.Lease = g.config.Timing.DispatchLease
		h.lease.Granted(g.now, answer.Lease)
	}
	if g.opened && answer.Lease > 0 {
		g.fill(&answer, m.TableVersion)
	}
	g.emit(answer)
}

// replaceHost records a new process of a host. The lease of the former process runs on under another name, and its
// targets stay with that name until it has lapsed.
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
			if v, ok := t.former[m.Host]; ok {
				delete(t.former, m.Host)
				t.former[name] = v
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

// hear takes what a host reports of a target.
func (g *Granter) hear(m reporter.ReportMsg, msg reporter.TargetMsg) {
	key := targetKey{
		service: msg.Service,
		name:    msg.Name,
	}
	t := g.targets[key]
	heardAt := g.now.Add(-msg.HeardAgo)
	recent := msg.HeardAgo < g.config.Timing.DispatchLease
	if t == nil || t.gone {
		if !recent && (g.opened || msg.Lapsed) {
			return
		}
		former := make(map[string]uint64)
		if t != nil {
			former = t.former
		}
		t = &target{
			targetKey:   key,
			incarnation: msg.Incarnation,
			msg:         msg,
			heardAt:     heardAt,
			heardBy:     m.Host,
			former:      former,
			version:     g.bump(0),
		}
		g.targets[key] = t
	}
	if msg.Incarnation > t.incarnation && (t.successor == nil || msg.Incarnation >= t.successor.incarnation) {
		if t.successor == nil {
			t.succeededAt = g.now
		}
		t.successor = &target{
			targetKey:   key,
			incarnation: msg.Incarnation,
			msg:         msg,
			heardAt:     heardAt,
			heardBy:     m.Host,
			former:      make(map[string]uint64),
		}
	}
	if msg.Incarnation != t.incarnation {
		return
	}
	if !heardAt.Before(t.heardAt) {
		t.heardAt, t.heardBy = heardAt, m.Host
		if t.msg.Draining != msg.Draining || t.msg.Addr != msg.Addr {
			t.version = g.bump(t.version)
		}
		t.msg = msg
	}
	if !g.opened {
		g.hearTakeOver(m, t, msg)
		return
	}
	if t.host != m.Host || m.TableVersion < t.assignedAt {
		return
	}
	if msg.Lapsed {
		g.lapse(t, m.TableVersion)
	}
	if tab, ok := g.tables[t.service]; ok {
		g.released(tab, t, m.TableVersion, msg.Released)
	}
}

// bump returns a new version once the table is open, else the old one.
func (g *Granter) bump(old uint64) uint64 {
	if !g.opened {
		return old
	}
	return g.next()
}

// hearTakeOver records which host holds the predecessor's lease for a target.
func (g *Granter) hearTakeOver(m reporter.ReportMsg, t *target, msg reporter.TargetMsg) {
	if msg.Lapsed {
		return
	}
	if t.host == "" && len(t.former) == 0 {
		t.host = m.Host
	} else if t.host != m.Host {
		// Two hosts say that they hold it: both give it up before one gets it.
		t.former[m.Host] = g.version + 1
		if t.host != "" {
			t.former[t.host] = g.version + 1
		}
		t.host = ""
	}
	if tab, ok := g.tables[t.service]; ok {
		tab.released(t.name, msg.Released)
	}
}

// keeps reports whether t may keep its slots: it is neither lost nor drained nor taken out.
func (g *Granter) keeps(t *target) bool {
	return !t.gone && !t.lost && !t.msg.Draining && !t.outOfService && !g.superseded(t)
}

// superseded reports whether a newer process with the same name is there although the lease of t did not lapse. Two
// processes run under one name then, and the older one gives way.
func (g *Granter) superseded(t *target) bool {
	return t.successor != nil && g.now.Sub(t.succeededAt) > 2*g.config.Timing.DispatchLease
}

// inService reports whether t may be given slots: it keeps its own, has a dispatching host and is heard from.
func (g *Granter) inService(t *target) bool {
	return g.keeps(t) && t.host != "" && t.successor == nil && g.now.Sub(t.heardAt) < g.config.Timing.DispatchLease
}
