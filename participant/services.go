package participant

import (
	"context"
	"time"

	"bramleyline.example/bramleyline/delegator"
	"bramleyline.example/bramleyline/granter"
	"bramleyline.example/bramleyline/reporter"
)

// serviceTimeout bounds how long an incoming RPC waits for a place in the loop's inbox.
const serviceTimeout = time.Second

// Authority is the RPC service for messages between the authority of a data centre and the other hosts: reports to the
// authority, and its promise requests and notifications to hosts.
type Authority struct {
	p *Participant
}

// Report answers the report of an entry host. A host that is not the authority answers with a zero AuthorityIndex.
func (a *Authority) Report(args *reporter.ReportMsg, reply *reporter.GrantMsg) error {
	ctx, cancel := context.WithTimeout(a.p.ctx, serviceTimeout)
	defer cancel()
	return a.p.postAndWait(ctx, func(now time.Time) {
		*reply = a.p.answerReport(now, *args)
	})
}

// Promise answers the promise request of an authority that has no contact with the control leader.
func (a *Authority) Promise(args, reply *granter.PromiseMsg) error {
	ctx, cancel := context.WithTimeout(a.p.ctx, serviceTimeout)
	defer cancel()
	return a.p.postAndWait(ctx, func(now time.Time) {
		*reply = a.p.answerPromise(now, *args)
	})
}

// Control is the RPC service of the control leader for the heartbeats of hosts.
type Control struct {
	p *Participant
}

// Heartbeat answers a host's heartbeat. A host that is not the leader answers with Leading false.
func (c *Control) Heartbeat(args *delegator.HeartbeatMsg, reply *delegator.HeartbeatReply) error {
	ctx, cancel := context.WithTimeout(c.p.ctx, serviceTimeout)
	defer cancel()
	return c.p.postAndWait(ctx, func(now time.Time) {
		*reply = c.p.answerHeartbeat(now, *args)
	})
}

// answerReport answers the report of an entry host as the authority. It grants nothing while this host has promised not
// to take part in another authority.
func (p *Participant) answerReport(now time.Time, m reporter.ReportMsg) (g reporter.GrantMsg) {
	if p.promise.active(now) {
		return g
	}
	for _, e := range p.updateGranter(now, m) {
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
