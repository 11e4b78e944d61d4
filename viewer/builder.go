package viewer

import (
	"slices"
	"strings"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
)

// Builder makes views from successive states. It remembers when this host learned of each drain. It is not safe for
// concurrent use.
type Builder struct {
	// Host is the name of this host.
	Host string
	// Decode reads a stored traffic table.
	Decode func(registrar.Document) (*matcher.Table, error)

	table *matcher.Table
	since map[registrar.Life]time.Time
}

// Build returns the view of s, which this host learned at now. An error says that the stored table cannot be read; the
// view then has the table before it.
func (b *Builder) Build(s *applier.State, now time.Time) (*View, error) {
	var err error
	reg := s.Registry
	if d := reg.Table; d.Version != 0 && (b.table == nil || b.table.Version != d.Version) {
		var t *matcher.Table
		if t, err = b.Decode(d); err == nil {
			b.table = t
		}
	}
	v := View{
		Index: s.Index,
		Table: b.table,
		pools: make(map[string]*Pool),
	}
	v.Hosts, v.Rank = b.rank(s)
	if b.table == nil {
		return &v, err
	}
	since := make(map[registrar.Life]time.Time)
	for name, svc := range b.table.Services {
		v.pools[name] = &Pool{
			Service: svc,
		}
	}
	for _, t := range reg.Targets {
		p, ok := v.pools[t.Service]
		if !ok || !t.Addr.IsValid() {
			continue
		}
		vt := Target{
			Life:       t.Life,
			Addr:       t.Addr,
			DataCentre: t.DataCentre,
			Slots:      t.Slots,
			Cold:       t.Cold,
			Draining:   t.Draining,
			Out:        s.DataCentres[t.DataCentre].Out,
		}
		if vt.Draining || vt.Out {
			at, ok := b.since[t.Life]
			if !ok {
				at = now
			}
			since[t.Life], vt.Since = at, at
		}
		p.Targets = append(p.Targets, vt)
	}
	b.since = since
	for name, p := range v.pools {
		slices.SortFunc(p.Targets, func(x, y Target) int { return strings.Compare(x.ID, y.ID) })
		p.ranges = owners(p.Targets, reg.Ranges[name])
	}
	return &v, err
}

func owners(targets []Target, ranges []registrar.Range) []ownedRange {
	index := make(map[registrar.Life]int, len(targets))
	for i := range targets {
		index[targets[i].Life] = i
	}
	out := make([]ownedRange, 0, len(ranges))
	for _, r := range ranges {
		o := ownedRange{
			from:      r.From,
			to:        r.To,
			target:    -1,
			releasing: r.Releasing,
		}
		if i, ok := index[r.Owner]; ok {
			o.target = i
		}
		out = append(out, o)
	}
	return out
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
