// Package viewer turns the replicated registry into what a host needs to route a request: routes, pools of targets and
// owners of keys, in one immutable view.
package viewer

import (
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
)

// View is what a host knows at one log index. It is immutable.
type View struct {
	// Index is the log index of the view.
	Index uint64
	// Table is the traffic table in force, nil if there is none yet.
	Table *matcher.Table
	// Hosts is the number of hosts that share the limits of a cold target, Rank the place of this host among them.
	Hosts int
	Rank  int

	pools map[string]*Pool
	news  *news
}

// news is what the targets of all pools of a view have in common.
type news struct {
	registry registrar.Registry
	// out has the data centres that operators have taken out, and leaving the incarnations that drain, with the time at
	// which this host learned of it.
	out     map[string]time.Time
	leaving map[registrar.Incarnation]time.Time
}

// Pool has the targets of one service.
type Pool struct {
	Service matcher.Service
	// Targets has the targets of a service without keys.
	Targets []Target

	news *news
}

// Target is one target as a host may use it.
type Target struct {
	registrar.Incarnation
	Addr       netip.AddrPort
	DataCentre string
	Slots      int
	// Slowness is how long work takes there compared with usual when its neighbours are calm, zero if unknown.
	Slowness float64
	Cold     bool
	// Draining says that the target is leaving, Out that operators have taken its data centre out. Since is when this
	// host learned the earlier of them.
	Draining bool
	Out      bool
	Since    time.Time
}

// Pool returns the pool of a service.
func (v *View) Pool(service string) (*Pool, bool) {
	if v == nil {
		return nil, false
	}
	p, ok := v.pools[service]
	return p, ok
}

// Owner returns the target that owns key. It is nil if nobody does; releasing says that the key is being moved.
func (p *Pool) Owner(key uint16) (t *Target, releasing bool) {
	if p.news == nil {
		return nil, false
	}
	r, ok := p.news.registry.Owner(p.Service.Name, key)
	if !ok {
		return nil, false
	}
	owner, ok := p.news.registry.Pool(p.Service.Name).Get(r.Owner.ID)
	if !ok || !owner.Born.Equal(r.Owner.Born) || !owner.Addr.IsValid() {
		return nil, r.Releasing
	}
	target := p.news.target(owner)
	return &target, r.Releasing
}

// target returns t as this host may use it.
func (n *news) target(t *registrar.Target) Target {
	v := Target{
		Incarnation: t.Incarnation,
		Addr:        t.Addr,
		DataCentre:  t.DataCentre,
		Slots:       t.Slots,
		Slowness:    t.Slowness,
		Cold:        t.Cold,
		Draining:    t.Draining,
	}
	v.Since, v.Out = n.out[t.DataCentre]
	if at, ok := n.leaving[t.Incarnation]; t.Draining && ok && (!v.Out || at.Before(v.Since)) {
		v.Since = at
	}
	return v
}
