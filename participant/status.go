package participant

import (
	"expvar"
	"time"
)

// Status is the state of the ownership protocol on one host, as shown to operators.
type Status struct {
	// AuthorityIndex is not zero while this host is the authority of its data centre.
	AuthorityIndex uint64
	// LeaderContact is true if the control leader answered within the authority lease.
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

// statusInterval is the least time between two updates of the Status. Counting the waiting slots scans all slots, and
// on each tick would cost more than the rest of the tick.
const statusInterval = time.Second

// Status returns the last published status, which is about a second old at most.
func (p *Participant) Status() Status {
	if s := p.status.Load(); s != nil {
		return *s
	}
	return Status{}
}

func (p *Participant) publishStatus(now time.Time) {
	if now.Sub(p.statusPublishedAt) < statusInterval {
		return
	}
	p.statusPublishedAt = now
	s := &Status{
		AuthorityIndex: p.granter.Index(),
		LeaderContact:  p.leaderContact.Valid(now),
		Waits:          p.granter.Waits(),
	}
	if p.promise.active(now) {
		s.PromisedIndex = p.promise.index
	}
	s.InService, _, _, _ = p.granter.Ready()
	p.status.Store(s)
}
