package viewer

import (
	"maps"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/cacher"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/timekeeper"
)

// Builder builds views from successive states. It reuses the parts of the previous view that did not change, so that
// the cost of a change of owners hardly depends on the number of targets and ranges. It is not safe for concurrent use.
type Builder struct {
	// Host is the name of this host.
	Host string
	// Cacher decodes stored traffic tables.
	cacher.Cacher
	// LastCurrent returns the latest time, of timekeeper, at which the last view certainly had every committed change. Nil means
	// that it had until now.
	LastCurrent func() time.Time

	last View
	// hostsAt is the log index of the last change of hosts in the last view, as in applier.State.
	hostsAt uint64
}

// Build returns the view of s, a state that reached this host at now. An error says that the stored table cannot be
// decoded; the view then contains the last table that could.
func (b *Builder) Build(s *applier.State, now time.Time) (*View, error) {
	last := b.last
	v := View{
		Index: s.Index,
		Hosts: last.Hosts,
		Rank:  last.Rank,
		pools: make(map[string]*Pool),
	}
	var err error
	v.Table, err = b.Cacher.Table(s.Registry.Table)
	if last.snapshot == nil || s.HostsIndex != b.hostsAt {
		v.Hosts, v.Rank = b.rank(s)
		b.hostsAt = s.HostsIndex
	}
	if v.Table != nil {
		b.addPools(&v, s, now)
	}
	b.last = v
	return &v, err
}

func (b *Builder) addPools(v *View, s *applier.State, now time.Time) {
	last := b.last
	change := learned{
		at:    now,
		after: timekeeper.Now(),
	}
	if b.LastCurrent != nil {
		change.after = b.LastCurrent()
	}
	v.snapshot = &snapshot{
		registry:      s.Registry,
		outSince:      outSince(last.snapshot, s, change),
		drainingSince: drainingSince(last.snapshot, last.Index, s.Registry, change),
	}
	sameOut := last.snapshot != nil && maps.Equal(last.snapshot.outSince, v.snapshot.outSince)
	for name, svc := range v.Table.Services {
		p := &Pool{
			Service:  svc,
			snapshot: v.snapshot,
			capacity: &capacityCache{},
		}
		v.pools[name] = p
		old, ok := last.Pool(name)
		same := ok && sameOut && s.Registry.Pool(name).Same(last.snapshot.registry.Pool(name))
		if same {
			p.capacity = old.capacity
		}
		if svc.Keyed {
			continue
		}
		if same && !old.Service.Keyed {
			p.Targets = old.Targets
			continue
		}
		for _, t := range s.Registry.Pool(name).All() {
			if t.Addr.IsValid() {
				p.Targets = append(p.Targets, v.snapshot.target(t))
			}
		}
	}
}

// outSince returns the data centres that operators have taken out. change tells when this host learned of those that the last snapshot
// lacks.
func outSince(last *snapshot, s *applier.State, change learned) map[string]learned {
	out := make(map[string]learned)
	for name, dc := range s.DataCentres {
		if !dc.Out {
			continue
		}
		out[name] = change
		if last != nil {
			if at, ok := last.outSince[name]; ok {
				out[name] = at
			}
		}
	}
	return out
}

// drainingSince returns the incarnations that drain. change tells when this host learned of those that last, the snapshot at log index
// lastIndex, lacks.
func drainingSince(last *snapshot, lastIndex uint64, reg registrar.Registry, change learned) map[registrar.Incarnation]learned {
	var draining map[registrar.Incarnation]learned
	if last == nil {
		lastIndex = 0
	} else {
		draining = last.drainingSince
		if last.registry.Targets().Same(reg.Targets()) {
			return draining
		}
	}
	next := make(map[registrar.Incarnation]learned, len(draining))
	for inc, at := range draining {
		if reg.Alive(inc) {
			next[inc] = at
		}
	}
	for t := range reg.ChangedSince(lastIndex) {
		if _, ok := next[t.Incarnation]; t.Draining && !ok {
			next[t.Incarnation] = change
		}
	}
	return next
}

// rank returns the number of entry hosts, and the number of those before this host by name.
func (b *Builder) rank(s *applier.State) (hosts, rank int) {
	for name, h := range s.Hosts {
		if h.Control {
			continue
		}
		hosts++
		if name < b.Host {
			rank++
		}
	}
	return hosts, rank
}
