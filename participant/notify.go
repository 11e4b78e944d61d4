package participant

import (
	"context"
	"time"

	"bramleyline.example/bramleyline/tracker"
)

// Changes are pushed, since a hand-over in which each step waits for the next heartbeat or report, 150 ms each by
// default, takes 600 ms. So the authority notifies its hosts of a new table, a host reports urgent changes at once, and
// heartbeats of targets are long polls: the answer is delayed until the table changes.

// longPollDivisor bounds the delay of an answer to a heartbeat to this fraction of the dispatch lease: a quarter. A
// target counts its lease from before it sent the heartbeat, so a delay uses up the lease.
const longPollDivisor = 4

// TableChangedMsg notifies a host that the authority of its data centre has a newer table.
type TableChangedMsg struct {
	AuthorityIndex uint64
	Version        uint64
}

// TableChangedReply is empty; the host gets the table in answer to its next report.
type TableChangedReply struct{}

// News is the RPC method for the authority's notification of a new table.
func (a *Authority) News(args *TableChangedMsg, _ *TableChangedReply) error {
	ctx, cancel := context.WithTimeout(a.p.ctx, serviceTimeout)
	defer cancel()
	return a.p.postAndWait(ctx, func(time.Time) {
		a.p.handleTableChanged(*args)
	})
}

// handleTableChanged makes a report due at once if this host does not have the new table yet.
func (p *Participant) handleTableChanged(m TableChangedMsg) {
	if m.Version > p.tracker.Version() || m.AuthorityIndex > p.tracker.Index() {
		p.reportNow()
	}
}

// reportNow makes the next report due at once.
func (p *Participant) reportNow() {
	p.reportSentAt = time.Time{}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// notifyHosts notifies the other hosts of the data centre of a new table. A host with a notification in progress gets
// the next one only after that call has ended, so that a slow host gets one call at a time.
func (p *Participant) notifyHosts() {
	version := p.granter.Version()
	if version == p.notifiedVersion || p.granter.Index() == 0 {
		return
	}
	p.notifiedVersion = version
	p.reportNow()
	for name, h := range p.options.Source.State().Hosts {
		if h.DataCentre != p.options.Host.DataCentre || name == p.options.Host.Name || p.notifyInFlight[name] {
			continue
		}
		m := TableChangedMsg{
			AuthorityIndex: p.granter.Index(),
			Version:        version,
		}
		p.notifyInFlight[name] = true
		p.transport.call(p.config.Timing.Heartbeat, h.RPC, "Authority.News", &m, &TableChangedReply{}, func(_, _ time.Time, err error) {
			delete(p.notifyInFlight, name)
			if err == nil && p.granter.Version() != m.Version {
				p.notifiedVersion = 0
			}
		})
	}
}

// wakeHeartbeats ends the delay of answers to heartbeats if the table changed, and makes a report due at once if the
// tracker has an urgent change for the authority.
func (p *Participant) wakeHeartbeats() {
	if v := p.tracker.Version(); v != p.signalledVersion {
		p.signalledVersion = v
		close(p.tableChanged)
		p.tableChanged = make(chan struct{})
	}
	if p.tracker.TakeUrgent() {
		p.reportNow()
	}
}

// serveTargetHeartbeat answers the heartbeat of a target as a long poll: if the target has the newest table, the answer
// is delayed until the table changes, but for m.Wait at most.
func (p *Participant) serveTargetHeartbeat(ctx context.Context, m tracker.HeartbeatMsg) (tracker.HeartbeatReply, error) {
	var reply tracker.HeartbeatReply
	var tableChanged <-chan struct{}
	var wait time.Duration
	err := p.postAndWait(ctx, func(now time.Time) {
		reply = p.answerTargetHeartbeat(now, m)
		p.wakeHeartbeats()
		tableChanged = p.tableChanged
		if p.config != nil {
			wait = min(m.Wait, p.config.Timing.DispatchLease/longPollDivisor)
		}
	})
	if err != nil || wait <= 0 || reply.NoAuthority || reply.RedirectHost != "" || reply.Version != m.AckVersion {
		return reply, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return reply, nil
	case <-ctx.Done():
		return reply, ctx.Err()
	case <-tableChanged:
	}
	m.Reanswered = true
	err = p.postAndWait(ctx, func(now time.Time) {
		reply = p.answerTargetHeartbeat(now, m)
	})
	return reply, err
}

// SetNoLinks tells the authority whether this host has lost its links to targets, so that it gives them to other hosts.
func (p *Participant) SetNoLinks(lost bool) {
	p.post(func(time.Time) {
		p.tracker.NoLinks = lost
		p.reportNow()
	})
}

// BeginStop requests that the authority gives this host's targets to other hosts, before a planned stop.
func (p *Participant) BeginStop() {
	p.post(func(time.Time) {
		p.tracker.Leaving = true
		p.reportNow()
	})
}
