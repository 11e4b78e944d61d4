package participant

import (
	"context"
	"time"

	"bramleyline.example/bramleyline/tracker"
)

// Without push, each step of a hand-over waits for the next heartbeat or report, 150 ms each by default: a planned move
// took 600 ms. So the authority tells its hosts of a new table, a host reports news at once, and the answer to a
// target's heartbeat is held back until there is something new.

// maxHold bounds how long the answer to a heartbeat is held back, as a share of the dispatch lease, since a target
// counts its lease from before it asked.
const maxHold = 4

// NewsMsg tells a host that the authority of its data centre has a newer table.
type NewsMsg struct {
	AuthorityIndex uint64
	Version        uint64
}

// NewsReply is empty; the host asks for the table with its next report.
type NewsReply struct{}

// News takes the authority's notice of a new table.
func (a *Authority) News(args *NewsMsg, _ *NewsReply) error {
	ctx, cancel := context.WithTimeout(a.p.ctx, serviceLimit)
	defer cancel()
	return a.p.ask(ctx, func(time.Time) {
		a.p.handleNews(*args)
	})
}

func (p *Participant) handleNews(m NewsMsg) {
	if m.Version > p.tracker.Version() || m.AuthorityIndex > p.tracker.Index() {
		p.reportNow()
	}
}

// reportNow makes the next report due now.
func (p *Participant) reportNow() {
	p.reportAt = time.Time{}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// notifyHosts tells the other hosts of the data centre of a new table. A host that is being told already is told again only
// when that call has ended, so that a slow host gets one call at a time.
func (p *Participant) notifyHosts() {
	version := p.granter.Version()
	if version == p.notifiedVersion || p.granter.Index() == 0 {
		return
	}
	p.notifiedVersion = version
	p.reportNow()
	for name, h := range p.options.Source.State().Hosts {
		if h.DataCentre != p.options.Host.DataCentre || name == p.options.Host.Name || p.notifying[name] {
			continue
		}
		m := NewsMsg{
			AuthorityIndex: p.granter.Index(),
			Version:        version,
		}
		p.notifying[name] = true
		p.transport.call(p.config.Timing.Heartbeat, h.RPC, "Authority.News", &m, &NewsReply{}, func(_, _ time.Time, err error) {
			delete(p.notifying, name)
			if err == nil && p.granter.Version() != m.Version {
				p.notifiedVersion = 0
			}
		})
	}
}

// releaseHeartbeats ends the wait of held heartbeats if the table changed, and reports what the authority has to know soon.
func (p *Participant) releaseHeartbeats() {
	if v := p.tracker.Version(); v != p.newsVersion {
		p.newsVersion = v
		close(p.news)
		p.news = make(chan struct{})
	}
	if p.tracker.TakeUrgent() {
		p.reportNow()
	}
}

// heartbeat answers a target. If there is nothing new for a target that is willing to wait, the answer is held back
// until there is.
func (p *Participant) heartbeat(ctx context.Context, m tracker.HeartbeatMsg) (tracker.HeartbeatReply, error) {
	var reply tracker.HeartbeatReply
	var news <-chan struct{}
	var hold time.Duration
	err := p.ask(ctx, func(now time.Time) {
		reply = p.answerTarget(now, m)
		p.releaseHeartbeats()
		news = p.news
		if p.config != nil {
			hold = min(m.Wait, p.config.Timing.DispatchLease/maxHold)
		}
	})
	if err != nil || hold <= 0 || reply.NoAuthority || reply.Elsewhere != "" || reply.Version != m.AckVersion {
		return reply, err
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-timer.C:
		return reply, nil
	case <-ctx.Done():
		return reply, ctx.Err()
	case <-news:
	}
	m.Repeated = true
	err = p.ask(ctx, func(now time.Time) {
		reply = p.answerTarget(now, m)
	})
	return reply, err
}

// Leave asks the authority to give this host's targets to other hosts, because it is about to stop.
func (p *Participant) Leave() {
	p.post(func(time.Time) {
		p.tracker.Leaving = true
		p.reportNow()
	})
}
