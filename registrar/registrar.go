// Package registrar is the replicated service registry of direct dispatch: it holds the traffic table in force, the
// targets that announced themselves, and the key ranges that they own.
//
// The registry is a deterministic state machine that changes only through commands of the replicated log, so hosts that
// applied the same commands have the same registry.
package registrar

import (
	"iter"
	"maps"
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/indexer"
)

// maxTombstones bounds how many ended incarnations are remembered, so that a late announcement of one of them changes
// nothing.
const maxTombstones = 512

// Registry is an immutable value; its methods return changed copies. The zero value is empty. Copies share the structure
// that did not change, so that the cost of a change hardly depends on the number of targets and ranges.
type Registry struct {
	// Table is the traffic table in force as the operator sent it.
	Table Document
	// Tombstones holds the last ended incarnations of targets by target ID, the newest maxTombstones of them.
	Tombstones map[string]Tombstone

	// targets holds the targets by ID, and pools holds the same targets by service and ID.
	targets Pool
	pools   indexer.Map[string, Pool]
	// addrs maps an address to the ID of the target there; the key is that of addrKey.
	addrs indexer.Map[string, string]
	// changes maps a log index to the ID of the target whose ChangedAt it is.
	changes indexer.Map[uint64, string]
	// ranges holds the key ranges of each keyed service by their first keys, without overlap.
	ranges indexer.Map[string, Ranges]
	// quarantine holds the requests that are refused, by fingerprint.
	quarantine indexer.Map[uint64, Quarantined]
}

// Pool holds targets by ID. Callers must not modify the targets.
type Pool = indexer.Map[string, *Target]

// Document is a stored traffic table.
type Document struct {
	// Version orders documents; the highest is in force. Zero means that none is stored.
	Version uint64
	// Index is the log index at which the document was accepted.
	Index uint64
	// Body is the compressed text.
	Body []byte
}

// Incarnation identifies one start of a target. A target may start again under the same ID.
type Incarnation struct {
	ID string
	// Born is the time of the start, to the millisecond.
	Born time.Time
}

// Target is one incarnation of a target as it announced itself.
type Target struct {
	Incarnation
	Service    string
	Addr       netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Seq orders the announcements of one incarnation.
	Seq uint64
	// Cold says that the target is warming up.
	Cold bool
	// Draining says that the target takes no new requests. It is final for an incarnation.
	Draining bool
	// Slowness is the factor by which requests take longer at the target than usual while its neighbours do not slow it
	// down; zero if unknown.
	Slowness float64
	// Limit is the number of requests per second that the target takes from all hosts together, as it states in its
	// answers; nil if it states none.
	Limit *float64
	// JoinedAt is the log index of the incarnation's first announcement, ChangedAt that of the last change.
	JoinedAt  uint64
	ChangedAt uint64
}

// Tombstone stands for the last ended incarnation of a target. Announcements of it and of earlier ones are ignored.
type Tombstone struct {
	Born time.Time
	// At is the log index of the removal.
	At uint64
}

// Target returns the current incarnation of a target.
func (r Registry) Target(id string) (Target, bool) {
	if t, ok := r.targets.Get(id); ok {
		return *t, true
	}
	return Target{}, false
}

// Targets returns all targets.
func (r Registry) Targets() Pool {
	return r.targets
}

// Pool returns the targets of one service.
func (r Registry) Pool(service string) Pool {
	p, _ := r.pools.Get(service)
	return p
}

// ChangedSince returns the targets that changed after a log index and have not been removed.
func (r Registry) ChangedSince(index uint64) iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for _, id := range r.changes.From(index + 1) {
			if t, ok := r.targets.Get(id); ok && !yield(t) {
				return
			}
		}
	}
}

// Announce records the announcement of a target. It returns r itself if that changes nothing: the announcement is late
// or repeated, or its incarnation has ended.
func (r Registry) Announce(index uint64, t Target) Registry {
	if !r.Changes(t) {
		return r
	}
	old, known := r.Target(t.ID)
	t.JoinedAt, t.ChangedAt = index, index
	if known && old.Born.Equal(t.Born) {
		t.JoinedAt = old.JoinedAt
		t.Draining = t.Draining || old.Draining
		t.Slowness, t.Limit = old.Slowness, old.Limit
	}
	if id, ok := r.addrs.Get(addrKey(t)); ok && id != t.ID {
		if other, ok := r.Target(id); ok {
			r = r.withoutTarget(other)
			r.Tombstones = r.withTombstone(index, other.Incarnation)
		}
	}
	return r.withTarget(t)
}

// Changes reports whether an announcement would change the registry.
func (r Registry) Changes(t Target) bool {
	if ts, ok := r.Tombstones[t.ID]; ok && !t.Born.After(ts.Born) {
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
			if t.Addr == old.Addr {
				return t.Draining && !old.Draining || t.Cold != old.Cold
			}
		}
	}
	// The target that started later has the address: the process of the other has ended.
	id, ok := r.addrs.Get(addrKey(t))
	if !ok || id == t.ID {
		return true
	}
	other, ok := r.Target(id)
	return !ok || !other.Born.After(t.Born)
}

// Drain marks a target as draining for good: it serves requests for a while and then ends without another announcement.
func (r Registry) Drain(index uint64, id string) Registry {
	t, ok := r.Target(id)
	if !ok || t.Draining {
		return r
	}
	t.Draining, t.ChangedAt = true, index
	return r.withTarget(t)
}

// Rate records the slowness of targets. It leaves ChangedAt as it is, since nothing depends on when a rating arrives.
func (r Registry) Rate(ratings []Rating) Registry {
	for _, rt := range ratings {
		if t, ok := r.Target(rt.Incarnation.ID); ok && t.Born.Equal(rt.Incarnation.Born) && rt.Slowness > 0 {
			t.Slowness = rt.Slowness
			r = r.withTarget(t)
		}
	}
	return r
}

// Limit records the limits that targets state in their answers. Like Rate, it leaves ChangedAt as it is.
func (r Registry) Limit(limits []StatedLimit) Registry {
	for _, l := range limits {
		if t, ok := r.Target(l.Incarnation.ID); ok && t.Born.Equal(l.Incarnation.Born) {
			t.Limit = l.Limit
			r = r.withTarget(t)
		}
	}
	return r
}

// Remove removes an incarnation whose process has ended.
func (r Registry) Remove(index uint64, inc Incarnation) Registry {
	t, ok := r.Target(inc.ID)
	if !ok || !t.Born.Equal(inc.Born) {
		return r
	}
	r = r.withoutTarget(t)
	r.Tombstones = r.withTombstone(index, inc)
	return r
}

// Alive reports whether inc is the current incarnation of its target.
func (r Registry) Alive(inc Incarnation) bool {
	t, ok := r.targets.Get(inc.ID)
	return ok && t.Born.Equal(inc.Born)
}

// withTarget returns r with t in place of the target that has the same ID, if there is one.
func (r Registry) withTarget(t Target) Registry {
	if old, ok := r.Target(t.ID); ok {
		r = r.withoutTarget(old)
	}
	r.targets = r.targets.With(t.ID, &t)
	r.pools = r.pools.With(t.Service, r.Pool(t.Service).With(t.ID, &t))
	r.addrs = r.addrs.With(addrKey(t), t.ID)
	r.changes = r.changes.With(t.ChangedAt, t.ID)
	return r
}

func (r Registry) withoutTarget(t Target) Registry {
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

// addrKey returns the address of t as a map key. An address is so short that its encoding never fails.
func addrKey(t Target) string {
	b, _ := t.Addr.MarshalBinary()
	return string(b)
}

// PutTable stores a traffic table unless one with the same or a higher version is stored.
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

// withTombstone returns the tombstones with inc added, without the oldest one if there are more than maxTombstones.
func (r Registry) withTombstone(index uint64, inc Incarnation) map[string]Tombstone {
	next := maps.Clone(r.Tombstones)
	if next == nil {
		next = make(map[string]Tombstone)
	}
	next[inc.ID] = Tombstone{
		Born: inc.Born,
		At:   index,
	}
	if len(next) <= maxTombstones {
		return next
	}
	oldest, oldestAt := "", uint64(0)
	for id, ts := range next {
		if oldest == "" || ts.At < oldestAt || ts.At == oldestAt && id < oldest {
			oldest, oldestAt = id, ts.At
		}
	}
	delete(next, oldest)
	return next
}
