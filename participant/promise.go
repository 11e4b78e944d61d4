package participant

import (
	"time"

	"bramleyline.example/bramleyline/granter"
	"bramleyline.example/bramleyline/leaser"
)

// authorityPromise is the promise of this host to take part in no authority of its data centre but the one with index,
// until lease expires. The zero value is no promise.
type authorityPromise struct {
	index uint64
	lease leaser.Granter
}

// active reports whether the promise is in force at now.
func (a *authorityPromise) active(now time.Time) bool {
	return a.index != 0 && !a.lease.Lapsed(now)
}

// answerPromise answers a request for a promise, or releases the promise if m.Hold is zero.
func (p *Participant) answerPromise(now time.Time, m granter.PromiseMsg) granter.PromiseMsg {
	host := p.options.Host
	m.Granted = false
	if m.DataCentre != host.DataCentre || m.Host != host.Name {
		return m
	}
	if m.Hold == 0 {
		if p.promise.index == m.AuthorityIndex {
			p.promise = authorityPromise{}
		}
		return m
	}
	st := p.options.Source.State()
	switch {
	case m.Incarnation != host.Incarnation, st == nil, p.leaderContact.Valid(now):
		// A host that reaches the control leader may itself be named as the authority.
	case st.DataCentres[host.DataCentre].AuthorityIndex > m.AuthorityIndex, p.granter.Index() != 0:
	case p.promise.active(now) && p.promise.index != m.AuthorityIndex:
	default:
		p.promise.index = m.AuthorityIndex
		p.promise.lease.Granted(now, m.Hold)
		m.Granted = true
	}
	return m
}
