package participant

import (
	"context"
	"time"

	"bramleyline.example/bramleyline/delegator"
	"bramleyline.example/bramleyline/granter"
	"bramleyline.example/bramleyline/reporter"
)

// serviceLimit bounds how long an incoming message waits for the loop.
const serviceLimit = time.Second

// Authority is the RPC service of the authority of a data centre and of the hosts of its in-sync set.
type Authority struct {
	p *Participant
}

// Report answers the report of an entry host. A host that is not the authority answers with a zero AuthorityIndex.
func (a *Authority) Report(args *reporter.ReportMsg, reply *reporter.GrantMsg) error {
	ctx, cancel := context.WithTimeout(a.p.ctx, serviceLimit)
	defer cancel()
	return a.p.ask(ctx, func(now time.Time) {
		*reply = a.p.answerReport(now, *args)
	})
}

// Promise answers an authority that lost the control leader.
func (a *Authority) Promise(args, reply *granter.PromiseMsg) error {
	ctx, cancel := context.WithTimeout(a.p.ctx, serviceLimit)
	defer cancel()
	return a.p.ask(ctx, func(now time.Time) {
		*reply = a.p.promise(now, *args)
	})
}

// Control is the RPC service of the control leader for the heartbeats of hosts.
type Control struct {
	p *Participant
}

// Heartbeat answers a host's heartbeat. A host that is not the leader answers with Leading false.
func (c *Control) Heartbeat(args *delegator.HeartbeatMsg, reply *delegator.HeartbeatReply) error {
	ctx, cancel := context.WithTimeout(c.p.ctx, serviceLimit)
	defer cancel()
	return c.p.ask(ctx, func(now time.Time) {
		*reply = c.p.answerHeartbeat(now, *args)
	})
}

// answerReport grants nothing while this host has promised not to take part in another authority.
func (p *Participant) answerReport(now time.Time, m reporter.ReportMsg) (g reporter.GrantMsg) {
	if p.pledge.active(now) {
		return g
	}
	for _, e := range p.grant(now, m) {
		if answer, ok := e.(reporter.GrantMsg); ok {
			g = answer
		}
	}
	p.notifyHosts()
	return g
}

func (p *Participant) answerHeartbeat(now time.Time, m delegator.HeartbeatMsg) delegator.HeartbeatReply {
	if _, ok := p.options.Leading(now); !ok || p.leadingSince.IsZero() {
		return delegator.HeartbeatReply{}
	}
	return p.delegator.Heartbeat(now, m)
}
