package puller

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/timekeeper"
)

// nearerAnswers reports whether a source nearer than s has answered that it is in contact with the leader. It asks one in the background: a
// source that is off keeps a call waiting, and the pulls from s have to go on.
func (p *Puller) nearerAnswers(s Source) bool {
	select {
	case good := <-p.probed:
		p.probing = false
		if good {
			return true
		}
	default:
	}
	near := p.nearSources()
	if p.probing || len(near) == 0 || slices.ContainsFunc(near, func(n Source) bool { return n.Addr == s.Addr }) {
		return false
	}
	p.probing = true
	p.calls.Go(func() { p.probed <- p.probe(near[0]) })
	return false
}

// probe asks s for its contact with the leader, and avoids it for a while if it has none. It waits for long: a call that times out closes
// its connection, and on a congested link a new one is hard to get.
func (p *Puller) probe(s Source) bool {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	var reply controller.PullReply
	// No state is newer than this one, so the answer is empty.
	err := p.messenger.Call(ctx, s.Addr, "State.Pull", &controller.PullArgs{
		Since: math.MaxUint64,
	}, &reply)
	if err == nil && inContact(&reply) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoid(s)
	return false
}

// inContact reports whether the source of a reply is in contact with the leader, and its state is recent.
func inContact(r *controller.PullReply) bool {
	return r.Leader != "" && r.ContactAge <= maxSourceAge && r.Lag <= maxSourceAge
}

// avoid makes s no preferred source for avoidDuration. The caller holds mu.
func (p *Puller) avoid(s Source) {
	if p.avoidedUntil == nil {
		p.avoidedUntil = make(map[netip.AddrPort]time.Time)
	}
	p.avoidedUntil[s.Addr] = timekeeper.Now().Add(avoidDuration)
}
