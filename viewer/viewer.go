// Package viewer builds the routing table of a host from the replicated state: an immutable view of the routes, the
// pools of targets and the owners of keys at one log index.
package viewer

import (
	"hash/fnv"
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
)

// View is the routing state of a host at one log index. It is immutable.
type View struct {
	// Index is the log index of the view.
	Index uint64
	// Table is the traffic table in force, nil if there is none yet.
	Table *matcher.Table
	// Hosts is the number of entry hosts, which share the limits of targets. Rank is the number of those before
	// this host by name.
	Hosts int
	Rank  int

	pools    map[string]*Pool
	snapshot *snapshot
}

// snapshot is the state that all pools of a view are read from. It is immutable.
type snapshot struct {
	registry registrar.Registry
	// outSince holds the data centres that operators have taken out, and drainingSince the incarnations that drain.
	outSince      map[string]learned
	drainingSince map[registrar.Incarnation]learned
}

// learned tells when a change was committed and became known.
type learned struct {
	// at is when this host learned of it.
	at time.Time
	// after is the latest time, of timekeeper, at which it was certainly not committed yet.
	after time.Time
}

// Pool holds the targets of one service.
type Pool struct {
	Service matcher.Service
	// Targets lists the targets of a service without keys; it is empty for a keyed one.
	Targets []Target

	snapshot *snapshot
	capacity *capacityCache
}

// Target is what a host needs to send requests to a target.
type Target struct {
	registrar.Incarnation
	Addr       netip.AddrPort
	DataCentre string
	Slots      int
	// Slowness is the factor by which requests take longer at the target than usual while its neighbours do not slow it
	// down, zero if unknown.
	Slowness float64
	// Limit is the number of requests per second that the target takes from all hosts together, nil for no limit.
	Limit *float64
	Cold  bool
	// Draining says that the target drains, Out that operators have taken its data centre out. Since is when this host
	// learned of the earlier of the two. LeavesAfter is the latest time, of timekeeper, at which neither was certainly
	// committed, so that nobody can have been promised that the target gets no more requests.
	Draining    bool
	Out         bool
	Since       time.Time
	LeavesAfter time.Time
}

// Share returns the part of total that this host may use at the target id, without communication: the parts of all entry
// hosts add up to total. Which hosts get the remainder differs from target to target.
func (v *View) Share(total int, id string) int {
	hosts := max(1, v.Hosts)
	share := total / hosts
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	if (v.Rank+int(h.Sum32()%uint32(hosts)))%hosts < total%hosts {
		share++
	}
	return share
}

// Pool returns the pool of a service.
func (v *View) Pool(service string) (*Pool, bool) {
	if v == nil {
		return nil, false
	}
	p, ok := v.pools[service]
	return p, ok
}

// Registered returns the registered targets of the service, with keys or without.
func (p *Pool) Registered() registrar.Pool {
	if p.snapshot == nil {
		return registrar.Pool{}
	}
	return p.snapshot.registry.Pool(p.Service.Name)
}

// Owner returns the target that owns key, nil if there is none. releasing says that the key moves to another owner.
func (p *Pool) Owner(key uint16) (t *Target, releasing bool) {
	if p.snapshot == nil {
		return nil, false
	}
	r, ok := p.snapshot.registry.Owner(p.Service.Name, key)
	if !ok {
		return nil, false
	}
	owner, ok := p.snapshot.registry.Pool(p.Service.Name).Get(r.Owner.ID)
	if !ok || !owner.Born.Equal(r.Owner.Born) || !owner.Addr.IsValid() {
		return nil, r.Releasing
	}
	target := p.snapshot.target(owner)
	return &target, r.Releasing
}

// Target returns a target of the pool, with keys or without.
func (p *Pool) Target(inc registrar.Incarnation) (Target, bool) {
	t, ok := p.Registered().Get(inc.ID)
	if !ok || !t.Born.Equal(inc.Born) || !t.Addr.IsValid() {
		return Target{}, false
	}
	return p.snapshot.target(t), true
}

// target returns t as part of the view.
func (s *snapshot) target(t *registrar.Target) Target {
	v := Target{
		Incarnation: t.Incarnation,
		Addr:        t.Addr,
		DataCentre:  t.DataCentre,
		Slots:       t.Slots,
		Slowness:    t.Slowness,
		Limit:       t.Limit,
		Cold:        t.Cold,
		Draining:    t.Draining,
	}
	out, ok := s.outSince[t.DataCentre]
	v.Since, v.LeavesAfter, v.Out = out.at, out.after, ok
	if draining, ok := s.drainingSince[t.Incarnation]; t.Draining && ok {
		if !v.Out || draining.at.Before(v.Since) {
			v.Since = draining.at
		}
		if !v.Out || draining.after.Before(v.LeavesAfter) {
			v.LeavesAfter = draining.after
		}
	}
	return v
}
