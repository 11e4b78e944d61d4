package aggregator

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxChanges bounds the changes in one update. A change takes at most 10 bytes, so the update stays below 8 KB; the others
	// follow in the next one.
	maxChanges = 800
	// compactSize is the least number of entries at which a table removes those without requests: targets that ended leave some.
	compactSize = 4096
)

// The flags of an entry in an update.
const (
	flagID = 1 << iota
	flagCount
	flagLoad
	flagBits = iota
)

// table holds the sums of each target, with the sequence number of the last change of each part. Readers know a target by its
// index after they got its hash once. The zero value is empty and ready to use.
type table struct {
	epoch   uint64
	seq     uint64
	entries []entry
	index   map[uint32]int
	// compactAt is the number of entries at which the next compaction is due, zero for compactSize.
	compactAt int
}

type entry struct {
	Observation

	addedSeq, countSeq, loadSeq uint64
}

func (t *table) entry(id uint32) *entry {
	if i, ok := t.index[id]; ok {
		return &t.entries[i]
	}
	if len(t.entries) >= max(compactSize, t.compactAt) {
		t.compact()
	}
	if t.index == nil {
		t.index = make(map[uint32]int)
		t.start()
	}
	t.seq++
	t.index[id] = len(t.entries)
	t.entries = append(t.entries, entry{
		Observation: Observation{
			Target: id,
		},
		addedSeq: t.seq,
	})
	return &t.entries[len(t.entries)-1]
}

// start draws a new epoch, so that a reader of another table, or of an earlier process, reads all of it.
func (t *table) start() {
	t.epoch, t.seq = rand.Uint64()|1, 0
}

// compact removes the entries without requests in flight. Indexes change, so readers read all again.
func (t *table) compact() {
	old := t.entries
	t.entries, t.index = nil, make(map[uint32]int)
	t.start()
	for _, e := range old {
		if e.InFlight > 0 {
			t.add(e.Target, e.InFlight)
			t.setLoad(e.Target, e.Load)
		}
	}
	t.compactAt = 2 * len(t.entries)
}

// add adds delta to the requests in flight of a target.
func (t *table) add(id uint32, delta int) {
	if delta == 0 {
		return
	}
	e := t.entry(id)
	t.seq++
	e.countSeq = t.seq
	e.InFlight = max(0, e.InFlight+delta)
}

// setLoad sets the load that a target reported, if it is newer than the last one.
func (t *table) setLoad(id uint32, l Load) {
	if l.At.IsZero() {
		return
	}
	e := t.entry(id)
	// The ages in messages are rounded, so a load that came over two control hosts may look newer by one unit.
	if l.At.Sub(e.Load.At) <= ageUnit {
		return
	}
	t.seq++
	e.Load, e.loadSeq = l, t.seq
}

// update returns the changes after a position.
func (t *table) update(now time.Time, known Position) *UpdateMsg {
	since := known.Seq
	if known.Epoch != t.epoch || since > t.seq {
		since = 0
	}
	m := UpdateMsg{
		Position: Position{
			Epoch: t.epoch,
			Seq:   t.lastSeq(since),
		},
		Since: since,
	}
	changed := func(seq uint64) bool { return seq > since && seq <= m.Seq }
	last := -1
	for i := range t.entries {
		e := &t.entries[i]
		flags := flag(changed(e.addedSeq)) * flagID
		flags |= flag(changed(e.countSeq)) * flagCount
		flags |= flag(changed(e.loadSeq) && e.Load.fresh(now)) * flagLoad
		if flags == 0 {
			continue
		}
		m.Targets = binary.AppendUvarint(m.Targets, uint64((i-last-1)<<flagBits|flags))
		last = i
		if flags&flagID != 0 {
			m.Targets = binary.LittleEndian.AppendUint32(m.Targets, e.Target)
		}
		if flags&flagCount != 0 {
			m.Targets = appendCount(m.Targets, e.InFlight)
		}
		if flags&flagLoad != 0 {
			m.Targets = e.Load.append(m.Targets, now)
		}
	}
	return &m
}

// lastSeq returns the sequence number up to which there are at most maxChanges changes after since.
func (t *table) lastSeq(since uint64) uint64 {
	if t.seq-since <= maxChanges {
		return t.seq
	}
	var changes []uint64
	for i := range t.entries {
		e := &t.entries[i]
		for _, seq := range [...]uint64{e.addedSeq, e.countSeq, e.loadSeq} {
			if seq > since {
				changes = append(changes, seq)
			}
		}
	}
	if len(changes) <= maxChanges {
		return t.seq
	}
	slices.Sort(changes)
	return changes[maxChanges-1]
}
