// Package delegator is the reconciliation loop of the control leader. From the heartbeats of hosts and the replicated
// state it derives the commands that register hosts, name the authority of each data centre, and delegate the slots of
// keyed services to data centres in proportion to their targets in service.
//
// An authority is replaced only after its lease has expired. A slot changes its data centre only after the authority
// there has released it, or after that authority has been unreachable for so long that no target there can own it.
package delegator

import (
	"maps"
	"slices"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
)

// Delegator does the work of the control leader from Lead to Resign. It is not safe for concurrent use.
type Delegator struct {
	// Config returns the configuration in force, nil if there is none yet.
	Config func() *configurer.Config

	// since is the start of the present term as leader, zero while this host is not the leader.
	since time.Time
	// state is the state of the last Tick.
	state *applier.State
	// hosts is keyed by the name of the host, authorities and directories by that of the data centre, and plans by that
	// of the service. All four start empty in each term.
	hosts       map[string]*lastHeartbeat
	authorities map[string]*authorityStatus
	directories map[string]DirectoryMsg
	plans       map[string]*plan
}

// lastHeartbeat is the last heartbeat of one host since the election of this leader.
type lastHeartbeat struct {
	host       applier.Host
	receivedAt time.Time
	// promised is HeartbeatMsg.Promised.
	promised uint64
}

// authorityStatus is the status of the authority of one data centre, as its heartbeats report it to this leader.
type authorityStatus struct {
	// index is the log index of the command that named the authority.
	index uint64
	lease leaser.Granter
	// contactAt is the time of the authority's last heartbeat, or of the creation of this record if there was none yet.
	contactAt time.Time
	// ready and inService are those of the last HeartbeatMsg; until ready, inService is the previous authority's.
	ready     bool
	inService map[string]int
}

// Lead starts a new term of this host as leader, at since. Heartbeats of earlier terms are forgotten.
func (d *Delegator) Lead(since time.Time) {
	d.since = since
	d.hosts = make(map[string]*lastHeartbeat)
	d.authorities = make(map[string]*authorityStatus)
	d.directories = make(map[string]DirectoryMsg)
	d.plans = make(map[string]*plan)
}

// Resign ends the term of this host as leader.
func (d *Delegator) Resign() {
	d.since = time.Time{}
}

// Heartbeat records the heartbeat of a host and returns the answer, which renews the lease of an authority. The answer
// is the zero value if this host is not the leader, has no state or configuration yet, or has received a heartbeat from
// a later incarnation of the sender.
func (d *Delegator) Heartbeat(now time.Time, m HeartbeatMsg) HeartbeatReply {
	cfg := d.Config()
	if d.since.IsZero() || d.state == nil || cfg == nil {
		return HeartbeatReply{}
	}
	last, ok := d.hosts[m.Host.Name]
	if ok && last.host.Incarnation > m.Host.Incarnation {
		return HeartbeatReply{}
	}
	if !ok {
		last = &lastHeartbeat{}
		d.hosts[m.Host.Name] = last
	}
	last.host, last.receivedAt, last.promised = m.Host, now, m.Promised
	reply := HeartbeatReply{
		Leading: true,
	}
	dc := d.state.DataCentres[m.Host.DataCentre]
	if dc.Authority == m.Host.Name && dc.AuthorityIncarnation == m.Host.Incarnation && dc.AuthorityIndex != 0 {
		reply.AuthorityIndex = dc.AuthorityIndex
		if m.AuthorityIndex == dc.AuthorityIndex {
			d.renew(now, m, &reply, cfg)
		}
	}
	reply.DirectoryVersion = d.directories[m.Host.DataCentre].Version
	for _, name := range slices.Sorted(maps.Keys(d.directories)) {
		if dir := d.directories[name]; name != m.Host.DataCentre && m.Known[name] != dir.Version {
			reply.Directories = append(reply.Directories, dir)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
		if d.connected(now, name) {
			reply.Connected = append(reply.Connected, name)
		}
	}
	return reply
}

// renew renews the lease of an authority, records its report, and adds the slots that it has to release to the reply.
func (d *Delegator) renew(now time.Time, m HeartbeatMsg, reply *HeartbeatReply, cfg *configurer.Config) {
	a := d.authority(now, m.Host.DataCentre, m.AuthorityIndex)
	a.contactAt = now
	a.ready = m.Ready
	if m.Ready {
		a.inService = m.InService
	}
	if m.Directory != nil {
		d.directories[m.Host.DataCentre] = *m.Directory
	}
	reply.Lease = cfg.Timing.AuthorityLease
	a.lease.Granted(now, reply.Lease)
	reply.Yield = make(map[string][]keyer.Slot)
	for name, p := range d.plans {
		if slots := p.slotsToRelease(m.Host.DataCentre); len(slots) > 0 {
			reply.Yield[name] = slots
		}
	}
}

// authority returns the status of the authority with an index in a data centre. A new status starts with a contact at
// now, and with the targets in service that the previous authority reported.
func (d *Delegator) authority(now time.Time, name string, index uint64) *authorityStatus {
	a, ok := d.authorities[name]
	if !ok || a.index != index {
		next := &authorityStatus{
			index:     index,
			contactAt: now,
		}
		if ok {
			next.inService = a.inService
		}
		d.authorities[name] = next
		return next
	}
	return a
}

// connected reports whether a heartbeat of the host arrived within the last authority lease.
func (d *Delegator) connected(now time.Time, host string) bool {
	last, ok := d.hosts[host]
	return ok && now.Sub(last.receivedAt) < d.Config().Timing.AuthorityLease
}

// Tick returns the commands that the leader has to propose, in order. It does not remember them, so it must be called
// again only when st contains their results.
func (d *Delegator) Tick(now time.Time, st *applier.State) []applier.Command {
	d.state = st
	cfg := d.Config()
	if d.since.IsZero() || st == nil || cfg == nil {
		return nil
	}
	commands := d.register(st)
	// The previous leader may have granted an authority lease as late as just before its last contact with a majority. No
	// authority is named and no slot delegated until such a lease has expired.
	lease := cfg.Timing.AuthorityLease
	if now.Before(d.since.Add(lease + leaser.DefaultMargin(lease))) {
		return commands
	}
	for _, name := range d.dataCentres(st) {
		if cmd, ok := d.nameAuthority(now, st, cfg, name); ok {
			commands = append(commands, cmd)
		}
	}
	for i := range cfg.Services {
		if svc := &cfg.Services[i]; svc.Keyed {
			commands = append(commands, d.delegate(now, st, cfg, svc)...)
		}
	}
	return commands
}

// register returns the commands that record new and restarted hosts, and hosts whose addresses or role have changed.
func (d *Delegator) register(st *applier.State) []applier.Command {
	var commands []applier.Command
	for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
		last := d.hosts[name]
		if known, ok := st.Hosts[name]; ok && (known == last.host || known.Incarnation > last.host.Incarnation) {
			continue
		}
		commands = append(commands, applier.Command{
			RegisterHost: &applier.RegisterHostMsg{
				Host: last.host,
			},
		})
	}
	return commands
}

// dataCentres returns the names of all data centres that have registered hosts, in ascending order.
func (d *Delegator) dataCentres(st *applier.State) []string {
	names := make(map[string]struct{})
	for _, h := range st.Hosts {
		names[h.DataCentre] = struct{}{}
	}
	return slices.Sorted(maps.Keys(names))
}
