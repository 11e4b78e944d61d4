package viewer

import (
	"maps"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/cacher"
	"bramleyline.example/bramleyline/registrar"
)

// Builder makes views from successive states. What did not change since the view before is taken over from it, so that a
// change of owners costs the same whatever the number of targets and ranges. It is not safe for concurrent use.
type Builder struct {
	// Host is the name of this host.
	Host string
	// Cacher reads stored traffic tables.
	cacher.Cacher

	last View
	// hostsAt is the index of the last change of hosts that the last view knows.
	hostsAt uint64
}

// Build returns the view of s, which this host learned at now. An error says that the stored table cannot be read; the
// view then has the table before it.
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
	if last.news == nil || s.HostsAt != b.hostsAt {
		v.Hosts, v.Rank = b.rank(s)
		b.hostsAt = s.HostsAt
	}
	if v.Table != nil {
		b.addPools(&v, s, now)
	}
	b.last = v
	return &v, err
}

func (b *Builder) addPools(v *View, s *applier.State, now time.Time) {
	last := b.last
	v.news = &news{
		registry: s.Registry,
		out:      outSince(last.news, s, now),
		leaving:  leavingSince(last.news, last.Index, s.Registry, now),
	}
	sameOut := last.news != nil && maps.Equal(last.news.out, v.news.out)
	for name, svc := range v.Table.Services {
		p := &Pool{
			Service: svc,
			news:    v.news,
		}
		v.pools[name] = p
		if svc.Keyed {
			continue
		}
		old, ok := last.Pool(name)
		if ok && sameOut && !old.Service.Keyed && s.Registry.Pool(name).Same(last.news.registry.Pool(name)) {
			p.Targets = old.Targets
			continue
		}
		for _, t := range s.Registry.Pool(name).All() {
			if t.Addr.IsValid() {
				p.Targets = append(p.Targets, v.news.target(t))
			}
		}
	}
}

// outSince returns the data centres that operators have taken out, with the time at which this host learned of it.
func outSince(last *news, s *applier.State, now time.Time) map[string]time.Time {
	out := make(map[string]time.Time)
	for name, dc := range s.DataCentres {
		if !dc.Out {
			continue
		}
		out[name] = now
		if last != nil {
			if at, ok := last.out[name]; ok {
				out[name] = at
			}
		}
	}
	return out
}

// leavingSince returns the incarnations that drain, with the time at which this host learned of it. last is what was
// known at lastIndex.
func leavingSince(last *news, lastIndex uint64, reg registrar.Registry, now time.Time) map[registrar.Incarnation]time.Time {
	var leaving map[registrar.Incarnation]time.Time
	if last == nil {
		lastIndex = 0
	} else {
		leaving = last.leaving
		if last.registry.Targets().Same(reg.Targets()) {
			return leaving
		}
	}
	next := make(map[registrar.Incarnation]time.Time, len(leaving))
	for inc, at := range leaving {
		if reg.Alive(inc) {
			next[inc] = at
		}
	}
	for t := range reg.ChangedSince(lastIndex) {
		if _, ok := next[t.Incarnation]; t.Draining && !ok {
			next[t.Incarnation] = now
		}
	}
	return next
}

// rank returns how many entry hosts there are and the place of this host among them by name.
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
