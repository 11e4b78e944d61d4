// Package registrar is the replicated registry of direct dispatch: the traffic table in force, the targets that
// announced themselves, and the key ranges that they own.
//
// All of it changes only through commands of the log, so every host that applied the same commands has the same
// registry.
package registrar

import (
	"iter"
	"maps"
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/indexer"
)

// maxDeparted bounds how many ended incarnations are remembered, so that a late heartbeat of one of them changes
// nothing.
const maxDeparted = 512

// Registry is an immutable value. The zero value is empty. Successive registries share what did not change, so that a
// change costs the same whatever the number of targets and ranges.
type Registry struct {
	// Table is the traffic table in force as the operator sent it.
	Table Document
	// Departed has the last incarnation of each target that is gone.
	Departed map[string]Departure

	// targets has the targets by ID, and pools the same by service.
	targets Pool
	pools   indexer.Map[string, Pool]
	// addrs has the ID of the target at each address, and changes the ID of the target that changed last at a log index.
	addrs   indexer.Map[string, string]
	changes indexer.Map[uint64, string]
	// ranges has the key ranges of each keyed service by their first keys, without overlap.
	ranges indexer.Map[string, Ranges]
}

// Pool has the targets of a service by ID. The targets must not be changed.
type Pool = indexer.Map[string, *Target]

// Document is a stored traffic table.
type Document struct {
	// Version orders documents; the highest is in force. Zero means none.
	Version uint64
	// Index is the log index at which the document was accepted.
	Index uint64
	// Body is the compressed text.
	Body []byte
}

// Incarnation identifies one start of a target. A target may start again under the same ID.
type Incarnation struct {
	ID   string
	Born time.Time
}

// Target is one incarnation of a target as it announced itself.
type Target struct {
	Incarnation
	Service    string
	Addr       netip.AddrPort
	DataCentre string
	Slots      int
	// Seq orders the announcements of one incarnation.
	Seq uint64
	// Cold says that the target is warming up.
	Cold bool
	// Draining says that the target takes no new work. It is final for an incarnation.
	Draining bool
	// Slowness is how long work takes at the target compared with usual when its neighbours are calm; zero if unknown.
	Slowness float64
	// JoinedAt is the log index of the incarnation's first announcement, ChangedAt that of the last change.
	JoinedAt  uint64
	ChangedAt uint64
}

// Departure is the last incarnation of a target that is gone.
type Departure struct {
	Born time.Time
	At   uint64
}

// Target returns the present incarnation of a target.
func (r Registry) Target(id string) (Target, bool) {
	if t, ok := r.targets.Get(id); ok {
		return *t, true
	}
	return Target{}, false
}

// Targets has all targets.
func (r Registry) Targets() Pool {
	return r.targets
}

// Pool has the targets of one service.
func (r Registry) Pool(service string) Pool {
	p, _ := r.pools.Get(service)
	return p
}

// ChangedSince returns the targets that changed after a log index and are still there.
func (r Registry) ChangedSince(index uint64) iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for _, id := range r.changes.From(index + 1) {
			if t, ok := r.targets.Get(id); ok && !yield(t) {
				return
			}
		}
	}
}

// Announce records what a target says of itself. It returns r itself if that changes nothing: a late or repeated
// announcement, or one of an incarnation that has ended.
func (r Registry) Announce(index uint64, t Target) Registry {
	if !r.Changes(t) {
		return r
	}
	old, known := r.Target(t.ID)
	t.JoinedAt, t.ChangedAt = index, index
	if known && old.Born.Equal(t.Born) {
		t.JoinedAt = old.JoinedAt
		t.Draining = t.Draining || old.Draining
		t.Slowness = old.Slowness
	}
	if id, ok := r.addrs.Get(addrKey(t)); ok && id != t.ID {
		if other, ok := r.Target(id); ok {
			r = r.without(other)
			r.Departed = r.depart(index, other.Incarnation)
		}
	}
	return r.with(t)
}

// Changes reports whether an announcement would change the registry.
func (r Registry) Changes(t Target) bool {
	if d, ok := r.Departed[t.ID]; ok && !t.Born.After(d.Born) {
		return false
	}
	if old, ok := r.Target(t.ID); ok {
		switch {
		case t.Born.Before(old.Born):
			return false
		case t.Born.Equal(old.Born):
			if t.Seq < old.Seq {
				return false
			}
			return t.Draining && !old.Draining || t.Cold != old.Cold || t.Addr != old.Addr
		}
	}
	// Whoever was born later has the address: the other's process has ended.
	id, ok := r.addrs.Get(addrKey(t))
	if !ok || id == t.ID {
		return true
	}
	other, ok := r.Target(id)
	return !ok || !other.Born.After(t.Born)
}

// Leave marks a target as draining for good: it serves for a while and then ends without a further word.
func (r Registry) Leave(index uint64, id string) Registry {
	t, ok := r.Target(id)
	if !ok || t.Draining {
		return r
	}
	t.Draining, t.ChangedAt = true, index
	return r.with(t)
}

// Rate records how fast targets are. It counts as no change of them, since nothing depends on when it is known.
func (r Registry) Rate(ratings []Rating) Registry {
	for _, rt := range ratings {
		if t, ok := r.Target(rt.Incarnation.ID); ok && t.Born.Equal(rt.Incarnation.Born) && rt.Slowness > 0 {
			t.Slowness = rt.Slowness
			r = r.with(t)
		}
	}
	return r
}

// Remove forgets an incarnation whose process has ended.
func (r Registry) Remove(index uint64, inc Incarnation) Registry {
	t, ok := r.Target(inc.ID)
	if !ok || !t.Born.Equal(inc.Born) {
		return r
	}
	r = r.without(t)
	r.Departed = r.depart(index, inc)
	return r
}

// Alive reports whether inc is the present one of its target.
func (r Registry) Alive(inc Incarnation) bool {
	t, ok := r.targets.Get(inc.ID)
	return ok && t.Born.Equal(inc.Born)
}

// with returns r with t in place of the target with its ID.
func (r Registry) with(t Target) Registry {
	if old, ok := r.Target(t.ID); ok {
		r = r.without(old)
	}
	r.targets = r.targets.With(t.ID, &t)
	r.pools = r.pools.With(t.Service, r.Pool(t.Service).With(t.ID, &t))
	r.addrs = r.addrs.With(addrKey(t), t.ID)
	r.changes = r.changes.With(t.ChangedAt, t.ID)
	return r
}

func (r Registry) without(t Target) Registry {
	r.targets = r.targets.Without(t.ID)
	r.pools = r.pools.With(t.Service, r.Pool(t.Service).Without(t.ID))
	if id, ok := r.addrs.Get(addrKey(t)); ok && id == t.ID {
		r.addrs = r.addrs.Without(addrKey(t))
	}
	if id, ok := r.changes.Get(t.ChangedAt); ok && id == t.ID {
		r.changes = r.changes.Without(t.ChangedAt)
	}
	return r
}

// addrKey is the address of t as a key. The address is short enough that it can always be encoded.
func addrKey(t Target) string {
	b, _ := t.Addr.MarshalBinary()
	return string(b)
}

// PutTable stores a document unless one with the same or a higher version is stored.
func (r Registry) PutTable(index, version uint64, body []byte) Registry {
	if version <= r.Table.Version {
		return r
	}
	r.Table = Document{
		Version: version,
		Index:   index,
		Body:    body,
	}
	return r
}

// depart returns the departures with inc added, without the oldest one if there are too many.
func (r Registry) depart(index uint64, inc Incarnation) map[string]Departure {
	next := maps.Clone(r.Departed)
	if next == nil {
		next = make(map[string]Departure)
	}
	next[inc.ID] = Departure{
		Born: inc.Born,
		At:   index,
	}
	if len(next) <= maxDeparted {
		return next
	}
	oldest, at := "", uint64(0)
	for id, d := range next {
		if oldest == "" || d.At < at || d.At == at && id < oldest {
			oldest, at = id, d.At
		}
	}
	delete(next, oldest)
	return next
}
