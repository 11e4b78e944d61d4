// Package viewer turns the replicated registry into what a host needs to route a request: routes, pools of targets and
// owners of keys, in one immutable view.
package viewer

import (
	"net/netip"
	"sort"
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
}

// Pool has the targets of one service.
type Pool struct {
	Service matcher.Service
	Targets []Target
	// ranges has the owners of a keyed service, sorted; Target is an index into Targets or -1.
	ranges []ownedRange
}

// Target is one target as a host may use it.
type Target struct {
	registrar.Life
	Addr       netip.AddrPort
	DataCentre string
	Slots      int
	Cold       bool
	// Draining says that the target is leaving, Out that operators have taken its data centre out. Since is when this
	// host learned the earlier of them.
	Draining bool
	Out      bool
	Since    time.Time
}

type ownedRange struct {
	from, to  uint16
	target    int
	releasing bool
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
	i := sort.Search(len(p.ranges), func(i int) bool { return p.ranges[i].to >= key })
	if i == len(p.ranges) || p.ranges[i].from > key {
		return nil, false
	}
	r := p.ranges[i]
	if r.target < 0 {
		return nil, r.releasing
	}
	return &p.Targets[r.target], r.releasing
}
