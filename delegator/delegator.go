// Package delegator is the periodic work of the control leader: it names the authority of each data centre and
// delegates the slots of keyed services to data centres.
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

// Delegator works while its host is the control leader. It is not safe for concurrent use.
type Delegator struct {
	// Config returns the configuration in force, nil if there is none yet.
	Config func() *configurer.Config

	since       time.Time
	state       *applier.State
	hosts       map[string]*contact
	centres     map[string]*centre
	directories map[string]DirectoryMsg
	plans       map[string]*plan
}

// contact is what the leader heard from one host since its election.
type contact struct {
	host     applier.Host
	at       time.Time
	promised uint64
}

// centre is what the leader knows of the authority of one data centre.
type centre struct {
	index     uint64
	lease     leaser.Granter
	at        time.Time
	ready     bool
	inService map[string]int
}

// Lead starts a new term of this host as leader. Nothing that was heard in an earlier term counts.
func (d *Delegator) Lead(since time.Time) {
	d.since = since
	d.hosts = make(map[string]*contact)
	d.centres = make(map[string]*centre)
	d.directories = make(map[string]DirectoryMsg)
	d.plans = make(map[string]*plan)
}

// Resign ends the term.
func (d *Delegator) Resign() {
	d.since = time.Time{}
}

// Heartbeat answers the heartbeat of a host.
func (d *Delegator) Heartbeat(now time.Time, m HeartbeatMsg) HeartbeatReply {
	cfg := d.Config()
	if d.since.IsZero() || d.state == nil || cfg == nil {
		return HeartbeatReply{}
	}
	c, ok := d.hosts[m.Host.Name]
	if ok && c.host.Incarnation > m.Host.Incarnation {
		return HeartbeatReply{}
	}
	if !ok {
		c = &contact{}
		d.hosts[m.Host.Name] = c
	}
	c.host, c.at, c.promised = m.Host, now, m.Promised
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

// renew gives the authority its lease.
func (d *Delegator) renew(now time.Time, m HeartbeatMsg, reply *HeartbeatReply, cfg *configurer.Config) {
	c := d.centre(now, m.Host.DataCentre, m.AuthorityIndex)
	c.at = now
	c.ready = m.Ready
	if m.Ready {
		c.inService = m.InService
	}
	if m.Directory != nil {
		d.directories[m.Host.DataCentre] = *m.Directory
	}
	reply.Lease = cfg.Timing.AuthorityLease
	c.lease.Granted(now, reply.Lease)
	reply.Yield = make(map[string][]keyer.Slot)
	for name, p := range d.plans {
		if slots := p.yieldOf(m.Host.DataCentre); len(slots) > 0 {
			reply.Yield[name] = slots
		}
	}
}

// centre returns the record of a data centre under an authority index. A new one counts its contact from now.
func (d *Delegator) centre(now time.Time, name string, index uint64) *centre {
	c, ok := d.centres[name]
	if !ok || c.index != index {
		n := &centre{
			index: index,
			at:    now,
		}
		if ok {
			n.inService = c.inService
		}
		d.centres[name] = n
		return n
	}
	return c
}

func (d *Delegator) connected(now time.Time, host string) bool {
	c, ok := d.hosts[host]
	return ok && now.Sub(c.at) < d.Config().Timing.AuthorityLease
}

// Tick returns the commands that the leader has to propose, in order. Call it again only after their results are in the
// state, because each call starts from the state alone.
func (d *Delegator) Tick(now time.Time, st *applier.State) []applier.Command {
	d.state = st
	cfg := d.Config()
	if d.since.IsZero() || st == nil || cfg == nil {
		return nil
	}
	commands := d.register(st)
	// The leader before this one may have granted an authority lease just before its last contact with a majority.
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

// register records hosts that are new or were restarted.
func (d *Delegator) register(st *applier.State) []applier.Command {
	var commands []applier.Command
	for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
		c := d.hosts[name]
		if known, ok := st.Hosts[name]; ok && (known == c.host || known.Incarnation > c.host.Incarnation) {
			continue
		}
		commands = append(commands, applier.Command{
			RegisterHost: &applier.RegisterHostMsg{
				Host: c.host,
			},
		})
	}
	return commands
}

// dataCentres returns the names of all data centres that have hosts.
func (d *Delegator) dataCentres(st *applier.State) []string {
	names := make(map[string]struct{})
	for _, h := range st.Hosts {
		names[h.DataCentre] = struct{}{}
	}
	return slices.Sorted(maps.Keys(names))
}
