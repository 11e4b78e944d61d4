package replicator

import "bramleyline.example/bramleyline/journaler"

// entryLog is the part of the log that is in memory: the entries after offset.
type entryLog struct {
	offset     uint64
	offsetTerm uint64
	entries    []journaler.Entry
}

func (l *entryLog) last() uint64 {
	return l.offset + uint64(len(l.entries))
}

// term returns the term of the entry at index, and false if the entry is not in memory.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// slice returns the entries after index up to and including to.
func (l *entryLog) slice(index, to uint64) []journaler.Entry {
	if index >= to {
		return nil
	}
	return l.entries[index-l.offset : to-l.offset]
}

// EntriesAfter returns the entries of the log after index, whether they are committed or not. It returns false if some of them
// were replaced by a snapshot.
func (r *Replicator) EntriesAfter(index uint64) ([]journaler.Entry, bool) {
	if index < r.log.offset {
		return nil, false
	}
	return r.log.slice(index, r.log.last()), true
}

// batch returns the entries after index, limited to maxEntries and to maxBytes of data, but at least one if there is
// one.
func (l *entryLog) batch(index uint64, maxEntries, maxBytes int) []journaler.Entry {
	all := l.slice(index, l.last())
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if i > 0 && (size > maxBytes || i >= maxEntries) {
			return all[:i]
		}
	}
	return all
}

// trailingOffset returns the lowest offset at which the entries after it, up to index, are in memory and within both
// bounds.
func (l *entryLog) trailingOffset(index uint64, maxEntries, maxBytes int) uint64 {
	offset, size := index, 0
	for offset > l.offset && index-offset < uint64(maxEntries) {
		if size += len(l.entries[offset-l.offset-1].Data); size > maxBytes {
			break
		}
		offset--
	}
	return offset
}

// truncate removes the entries after index. It limits the capacity of the rest, so that the next append copies it to a
// new array: effects and messages still refer to the old one.
func (l *entryLog) truncate(index uint64) {
	n := index - l.offset
	l.entries = l.entries[:n:n]
}

// compact removes the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]journaler.Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, term
}

func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{
		offset:     index,
		offsetTerm: term,
	}
}
