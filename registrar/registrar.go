// Package registrar is the replicated registry of direct dispatch: the traffic table in force, the targets that
// announced themselves, and the key ranges that they own.
//
// All of it changes only through commands of the log, so every host that applied the same commands has the same
// registry.
package registrar

import (
	"maps"
	"net/netip"
	"time"
)

// maxDeparted bounds how many ended lives are remembered, so that a late heartbeat of one of them changes nothing.
const maxDeparted = 512

// Registry is an immutable value. The zero value is empty.
type Registry struct {
	// Table is the traffic table in force as the operator sent it.
	Table Document
	// Targets has the targets by ID.
	Targets map[string]Target
	// Departed has the last life of each target that is gone.
	Departed map[string]Departure
	// Ranges has the key ranges of each keyed service, sorted and without overlap.
	Ranges map[string][]Range
}

// Document is a stored traffic table.
type Document struct {
	// Version orders documents; the highest is in force. Zero means none.
	Version uint64
	// Index is the log index at which the document was accepted.
	Index uint64
	// Body is the compressed text.
	Body []byte
}

// Life identifies one start of a target. A target may start again under the same ID.
type Life struct {
	ID   string
	Born time.Time
}

// Target is one life of a target as it announced itself.
type Target struct {
	Life
	Service    string
	Addr       netip.AddrPort
	DataCentre string
	Slots      int
	// Seq orders the announcements of one life.
	Seq uint64
	// Cold says that the target is warming up.
	Cold bool
	// Draining says that the target takes no new work. It is final for a life.
	Draining bool
	// JoinedAt is the log index of the life's first announcement, ChangedAt that of the last change.
	JoinedAt  uint64
	ChangedAt uint64
}

// Departure is the last life of a target that is gone.
type Departure struct {
	Born time.Time
	At   uint64
}

// Announce records what a target says of itself. It returns r itself if that changes nothing: a late or repeated
// announcement, or one of a life that has ended.
func (r Registry) Announce(index uint64, t Target) Registry {
	if !r.Changes(t) {
		return r
	}
	next := r
	next.Targets = maps.Clone(r.Targets)
	if next.Targets == nil {
		next.Targets = make(map[string]Target)
	}
	old, known := r.Targets[t.ID]
	t.JoinedAt, t.ChangedAt = index, index
	if known && old.Born.Equal(t.Born) {
		t.JoinedAt = old.JoinedAt
		t.Draining = t.Draining || old.Draining
	}
	for id, other := range r.Targets {
		if id != t.ID && other.Addr == t.Addr {
			delete(next.Targets, id)
			next.Departed = next.depart(index, other.Life)
		}
	}
	next.Targets[t.ID] = t
	return next
}

// Changes reports whether an announcement would change the registry.
func (r Registry) Changes(t Target) bool {
	if d, ok := r.Departed[t.ID]; ok && !t.Born.After(d.Born) {
		return false
	}
	if old, ok := r.Targets[t.ID]; ok {
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
	for id, other := range r.Targets {
		// Whoever was born later has the address: the other's process has ended.
		if id != t.ID && other.Addr == t.Addr && other.Born.After(t.Born) {
			return false
		}
	}
	return true
}

// Leave marks a target as draining for good: it serves for a while and then ends without a further word.
func (r Registry) Leave(index uint64, id string) Registry {
	t, ok := r.Targets[id]
	if !ok || t.Draining {
		return r
	}
	next := r
	next.Targets = maps.Clone(r.Targets)
	t.Draining, t.ChangedAt = true, index
	next.Targets[id] = t
	return next
}

// Remove forgets a life whose process has ended.
func (r Registry) Remove(index uint64, life Life) Registry {
	t, ok := r.Targets[life.ID]
	if !ok || !t.Born.Equal(life.Born) {
		return r
	}
	next := r
	next.Targets = maps.Clone(r.Targets)
	delete(next.Targets, life.ID)
	next.Departed = next.depart(index, life)
	return next
}

// Alive reports whether the life is the present one of its target.
func (r Registry) Alive(life Life) bool {
	t, ok := r.Targets[life.ID]
	return ok && t.Born.Equal(life.Born)
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

// depart returns the departures with life added, without the oldest one if there are too many.
func (r Registry) depart(index uint64, life Life) map[string]Departure {
	next := maps.Clone(r.Departed)
	if next == nil {
		next = make(map[string]Departure)
	}
	next[life.ID] = Departure{
		Born: life.Born,
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
