package participant

import (
	"time"

	"bramleyline.example/bramleyline/granter"
	"bramleyline.example/bramleyline/leaser"
)

// pledge is the promise of this host to take part in no other authority of its data centre than the one with index.
type pledge struct {
	index uint64
	lease leaser.Granter
}

// active reports whether the promise holds at now.
func (g *pledge) active(now time.Time) bool {
	return g.index != 0 && !g.lease.Lapsed(now)
}

// promise answers a question for a promise, or a release.
func (p *Participant) promise(now time.Time, m granter.PromiseMsg) granter.PromiseMsg {
	host := p.options.Host
	m.Granted = false
	if m.DataCentre != host.DataCentre || m.Host != host.Name {
		return m
	}
	if m.Hold == 0 {
		if p.pledge.index == m.AuthorityIndex {
			p.pledge = pledge{}
		}
		return m
	}
	st := p.options.Source.State()
	switch {
	case m.Incarnation != host.Incarnation, st == nil, p.contact.Valid(now):
		// A host that reaches the leader may be named itself.
	case st.DataCentres[host.DataCentre].AuthorityIndex > m.AuthorityIndex, p.granter.Index() != 0:
	case p.pledge.active(now) && p.pledge.index != m.AuthorityIndex:
	default:
		p.pledge.index = m.AuthorityIndex
		p.pledge.lease.Granted(now, m.Hold)
		m.Granted = true
	}
	return m
}
