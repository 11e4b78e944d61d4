package participant

import (
	"expvar"
	"time"
)

// Status is what operators see of a host's part in ownership.
type Status struct {
	// AuthorityIndex is not zero while this host is the authority of its data centre.
	AuthorityIndex uint64
	// LeaderContact says that the control leader answered within the authority lease.
	LeaderContact bool
	// PromisedIndex is the authority that this host promised not to replace, zero if none.
	PromisedIndex uint64
	// InService counts the targets of the data centre that may take slots, by service.
	InService map[string]int
	// Waits counts the slots that have no owner taking new requests, by service and reason. The reasons are release,
	// uncheckedWait, target, log, inSync, delegation, takeOver and authorityLease.
	Waits map[string]map[string]int
}

var statuses = expvar.NewMap("ownership")

// statusInterval keeps the count of waiting slots, which looks at each slot, from costing more than the ticks.
const statusInterval = time.Second

// Status returns the status of at most a second ago.
func (p *Participant) Status() Status {
	if s := p.status.Load(); s != nil {
		return *s
	}
	return Status{}
}

func (p *Participant) publish(now time.Time) {
	if now.Sub(p.statusAt) < statusInterval {
		return
	}
	p.statusAt = now
	s := &Status{
		AuthorityIndex: p.granter.Index(),
		LeaderContact:  p.contact.Valid(now),
		Waits:          p.granter.Waits(),
	}
	if p.pledge.active(now) {
		s.PromisedIndex = p.pledge.index
	}
	s.InService, _, _, _ = p.granter.Ready()
	p.status.Store(s)
}
