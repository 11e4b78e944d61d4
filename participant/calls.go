package participant

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/delegator"
	"bramleyline.example/bramleyline/granter"
	"bramleyline.example/bramleyline/reporter"
	"bramleyline.example/bramleyline/tracker"
)

// beat sends a heartbeat to the control leader, or asks all control hosts while the leader is unknown.
func (p *Participant) beat(now time.Time, st *applier.State) {
	timing := p.config.Timing
	if p.beating || now.Sub(p.beatAt) < timing.Heartbeat-tickInterval/2 {
		return
	}
	m := p.heartbeatMsg(now)
	if !p.leadingSince.IsZero() {
		p.beatAt = now
		p.leader = p.options.Host.Name
		p.heartbeatAnswered(now, now, p.delegator.Heartbeat(now, m))
		return
	}
	addresses := p.controlHosts(st)
	if addr, ok := addresses[p.leader]; ok {
		addresses = map[string]netip.AddrPort{p.leader: addr}
	}
	if len(addresses) == 0 {
		return
	}
	p.beating = true
	p.beatAt = now
	left := len(addresses)
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		addr := addresses[name]
		var reply delegator.HeartbeatReply
		p.transport.call(timing.AuthorityLease/3, addr, "Control.Heartbeat", &m, &reply, func(now, asked time.Time, err error) {
			left--
			p.beating = left > 0
			if err == nil && reply.Leading {
				p.leader = name
				p.heartbeatAnswered(now, asked, reply)
			} else if p.leader == name {
				p.leader = ""
				p.beatAt = time.Time{}
			}
		})
	}
}

// controlHosts returns the rpc addresses of the other control hosts.
func (p *Participant) controlHosts(st *applier.State) map[string]netip.AddrPort {
	addresses := make(map[string]netip.AddrPort)
	for name, addr := range p.options.Voters {
		addresses[name] = addr
	}
	for name, h := range st.Hosts {
		if h.Control {
			addresses[name] = h.RPC
		}
	}
	delete(addresses, p.options.Host.Name)
	return addresses
}

func (p *Participant) heartbeatMsg(now time.Time) delegator.HeartbeatMsg {
	m := delegator.HeartbeatMsg{
		Host:           p.options.Host,
		AuthorityIndex: p.granter.Index(),
		Known:          make(map[string]uint64, len(p.directories)),
	}
	if p.pledge.active(now) {
		m.Promised = p.pledge.index
	}
	for name, d := range p.directories {
		m.Known[name] = d.Version
	}
	inService, targets, version, ok := p.granter.Ready()
	m.Ready, m.InService = ok, inService
	if ok && version != p.leaderVersion {
		m.Directory = &delegator.DirectoryMsg{
			DataCentre: p.options.Host.DataCentre,
			Version:    version,
			Targets:    targets,
		}
	}
	return m
}

// heartbeatAnswered takes the leader's answer to a heartbeat that was sent at asked.
func (p *Participant) heartbeatAnswered(now, asked time.Time, r delegator.HeartbeatReply) {
	if !r.Leading {
		return
	}
	p.contact.Renewed(asked, p.config.Timing.AuthorityLease)
	p.connected = r.Connected
	p.leaderVersion = r.DirectoryVersion
	if len(r.Directories) > 0 {
		next := make(map[string]delegator.DirectoryMsg, len(p.directories)+1)
		for name, d := range p.directories {
			next[name] = d
		}
		for _, d := range r.Directories {
			next[d.DataCentre] = d
		}
		p.directories = next
	}
	if r.Lease > 0 {
		p.grant(now, granter.LeaseMsg{
			AuthorityIndex: r.AuthorityIndex,
			Asked:          asked,
			TTL:            r.Lease,
			Yield:          r.Yield,
		})
	}
}

// report sends the report of this host to the authority of its data centre.
func (p *Participant) report(now time.Time, st *applier.State) {
	timing := p.config.Timing
	if p.reporting || now.Sub(p.reportAt) < timing.Heartbeat-tickInterval/2 {
		return
	}
	authority, ok := st.Hosts[st.DataCentres[p.options.Host.DataCentre].Authority]
	if !ok {
		return
	}
	p.reportAt = now
	m := p.tracker.Report(now)
	if authority.Name == p.options.Host.Name {
		p.granted(now, now, p.answerReport(now, m))
		return
	}
	p.reporting = true
	var g reporter.GrantMsg
	p.transport.call(timing.DispatchLease/2, authority.RPC, "Authority.Report", &m, &g, func(now, asked time.Time, err error) {
		p.reporting = false
		if err == nil {
			p.granted(now, asked, g)
		}
	})
}

// granted takes the authority's answer. A new table is acknowledged at once, because moves wait for that.
func (p *Participant) granted(now, asked time.Time, g reporter.GrantMsg) {
	if len(g.Targets)+len(g.Slots) > 0 {
		p.reportNow()
	}
	p.tracker.Update(now, tracker.GrantedMsg{
		Asked: asked,
		Grant: g,
	})
	p.releaseHeartbeats()
}

// grant passes a message to the granter and carries its effects out; answers to reports are returned.
func (p *Participant) grant(now time.Time, msg any) []any {
	effects := p.granter.Update(now, msg)
	for _, e := range effects {
		switch e := e.(type) {
		case granter.ProposeMsg:
			p.propose(e)
		case granter.PromiseMsg:
			p.askPromise(e)
		}
	}
	return effects
}

func (p *Participant) propose(m granter.ProposeMsg) {
	p.transport.propose(proposeLimit, []applier.Command{m.Command}, func(now time.Time, r applier.Result, err error) {
		p.grant(now, granter.ProposedMsg{
			RequestID: m.Command.RequestID,
			Result:    r,
			Err:       err,
		})
		p.notifyHosts()
	})
}

func (p *Participant) askPromise(m granter.PromiseMsg) {
	st := p.options.Source.State()
	if st == nil {
		return
	}
	var answer granter.PromiseMsg
	limit := p.config.Timing.DispatchLease
	p.transport.call(limit, st.Hosts[m.Host].RPC, "Authority.Promise", &m, &answer, func(now, _ time.Time, err error) {
		if err == nil && m.Hold > 0 {
			// The time does not survive the wire as a monotonic one.
			answer.Asked = m.Asked
			p.grant(now, answer)
		}
	})
}
