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

// sendHeartbeat sends a heartbeat to the control leader, or to all control hosts while the leader is unknown.
func (p *Participant) sendHeartbeat(now time.Time, st *applier.State) {
	timing := p.config.Timing
	if p.heartbeatInFlight || now.Sub(p.heartbeatSentAt) < timing.Heartbeat-tickInterval/2 {
		return
	}
	m := p.newHeartbeat(now)
	if !p.leadingSince.IsZero() {
		p.heartbeatSentAt = now
		p.leader = p.options.Host.Name
		p.handleHeartbeatReply(now, now, p.delegator.Heartbeat(now, m))
		return
	}
	addresses := p.controlHosts(st)
	if addr, ok := addresses[p.leader]; ok {
		addresses = map[string]netip.AddrPort{p.leader: addr}
	}
	if len(addresses) == 0 {
		return
	}
	p.heartbeatInFlight = true
	p.heartbeatSentAt = now
	pending := len(addresses)
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		addr := addresses[name]
		var reply delegator.HeartbeatReply
		p.transport.call(timing.AuthorityLease/3, addr, "Control.Heartbeat", &m, &reply, func(now, asked time.Time, err error) {
			pending--
			p.heartbeatInFlight = pending > 0
			if err == nil && reply.Leading {
				p.leader = name
				p.handleHeartbeatReply(now, asked, reply)
			} else if p.leader == name {
				p.leader = ""
				p.heartbeatSentAt = time.Time{}
			}
		})
	}
}

// controlHosts returns the RPC addresses of the other control hosts by name.
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

// newHeartbeat returns a heartbeat for the control leader. It includes the directory of this data centre only if the
// leader has another version.
func (p *Participant) newHeartbeat(now time.Time) delegator.HeartbeatMsg {
	m := delegator.HeartbeatMsg{
		Host:           p.options.Host,
		AuthorityIndex: p.granter.Index(),
		Known:          make(map[string]uint64, len(p.directories)),
	}
	if p.promise.active(now) {
		m.Promised = p.promise.index
	}
	for name, d := range p.directories {
		m.Known[name] = d.Version
	}
	inService, targets, version, ok := p.granter.Ready()
	m.Ready, m.InService = ok, inService
	if ok && version != p.leaderDirectoryVersion {
		m.Directory = &delegator.DirectoryMsg{
			DataCentre: p.options.Host.DataCentre,
			Version:    version,
			Targets:    targets,
		}
	}
	return m
}

// handleHeartbeatReply takes the control leader's answer to a heartbeat that was sent at asked.
func (p *Participant) handleHeartbeatReply(now, asked time.Time, r delegator.HeartbeatReply) {
	if !r.Leading {
		return
	}
	p.leaderContact.Renewed(asked, p.config.Timing.AuthorityLease)
	p.connected = r.Connected
	p.leaderDirectoryVersion = r.DirectoryVersion
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
		p.updateGranter(now, granter.LeaseMsg{
			AuthorityIndex: r.AuthorityIndex,
			Asked:          asked,
			TTL:            r.Lease,
			Yield:          r.Yield,
		})
	}
}

// sendReport sends the report of this host to the authority of its data centre, when it is due.
func (p *Participant) sendReport(now time.Time, st *applier.State) {
	timing := p.config.Timing
	if p.reportInFlight || now.Sub(p.reportSentAt) < timing.Heartbeat-tickInterval/2 {
		return
	}
	authority, ok := st.Hosts[st.DataCentres[p.options.Host.DataCentre].Authority]
	if !ok {
		return
	}
	p.reportSentAt = now
	m := p.tracker.Report(now)
	if authority.Name == p.options.Host.Name {
		p.handleGrant(now, now, p.answerReport(now, m))
		return
	}
	p.reportInFlight = true
	var g reporter.GrantMsg
	p.transport.call(timing.DispatchLease/2, authority.RPC, "Authority.Report", &m, &g, func(now, asked time.Time, err error) {
		p.reportInFlight = false
		if err == nil {
			p.handleGrant(now, asked, g)
		}
	})
}

// handleGrant takes the authority's answer to a report. It makes another report due at once if the table changed,
// because moves wait until the hosts acknowledge the new version.
func (p *Participant) handleGrant(now, asked time.Time, g reporter.GrantMsg) {
	if len(g.Targets)+len(g.Slots) > 0 {
		p.reportNow()
	}
	p.tracker.Update(now, tracker.GrantedMsg{
		Asked: asked,
		Grant: g,
	})
	p.wakeHeartbeats()
}

// updateGranter passes a message to the granter and carries out its effects. It also returns them, for the answers to
// reports.
func (p *Participant) updateGranter(now time.Time, msg any) []any {
	effects := p.granter.Update(now, msg)
	for _, e := range effects {
		switch e := e.(type) {
		case granter.ProposeMsg:
			p.propose(e)
		case granter.PromiseMsg:
			p.requestPromise(e)
		}
	}
	return effects
}

// propose proposes a command of the granter, and passes the result to the granter.
func (p *Participant) propose(m granter.ProposeMsg) {
	p.transport.propose(proposeTimeout, []applier.Command{m.Command}, func(now time.Time, r applier.Result, err error) {
		p.updateGranter(now, granter.ProposedMsg{
			RequestID: m.Command.RequestID,
			Result:    r,
			Err:       err,
		})
		p.notifyHosts()
	})
}

// requestPromise sends the granter's request for a promise, or its release of one, to a host. Only the answer to a
// request is passed to the granter.
func (p *Participant) requestPromise(m granter.PromiseMsg) {
	st := p.options.Source.State()
	if st == nil {
		return
	}
	var answer granter.PromiseMsg
	timeout := p.config.Timing.DispatchLease
	p.transport.call(timeout, st.Hosts[m.Host].RPC, "Authority.Promise", &m, &answer, func(now, _ time.Time, err error) {
		if err == nil && m.Hold > 0 {
			// The monotonic clock reading of a time is lost in encoding, so the original time is used.
			answer.Asked = m.Asked
			p.updateGranter(now, answer)
		}
	})
}
