package replicator

import (
	"time"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/journaler"
)

func (r *Replicator) takeAppend(now time.Time, m Message) {
	a := m.Append
	answer := AppendAnswerMsg{
		Round: a.Round,
		Stamp: r.stamp(now),
	}
	if match, ok := r.match(a); ok {
		answer.Match = match
		r.commitTo(max(r.commit, min(a.Commit, match)))
		r.finishRecovery(a, match)
		r.noteContact(a)
	} else {
		answer.Rejected = true
		answer.Hint = r.hint(a)
	}
	answer.Recovery = r.recovery.id()
	r.send(Message{
		To:           m.From,
		AppendAnswer: &answer,
	})
}

// stamp returns now on the clock of this process.
func (r *Replicator) stamp(now time.Time) Stamp {
	return Stamp{
		Process: r.recovery.process,
		At:      r.since(now),
	}
}

// noteContact dates what the leader says by the last answer of this process that the leader had got before it.
func (r *Replicator) noteContact(a *AppendMsg) {
	if a.Echo.Process != r.recovery.process {
		return
	}
	at := r.started.Add(a.Echo.At - a.MajorityAge)
	if at.After(r.contact) {
		r.contact = at
	}
	if a.Committed <= r.commit && at.After(r.current) {
		r.current = at
	}
}

// match adds the entries of a to the log and returns the index up to which the log equals the leader's.
func (r *Replicator) match(a *AppendMsg) (uint64, bool) {
	prev, entries := a.PrevIndex, a.Entries
	if prev < r.commit {
		// Committed entries equal the leader's, and their terms may be compacted away.
		skip := min(r.commit-prev, uint64(len(entries)))
		entries = entries[skip:]
		if len(entries) == 0 {
			return min(r.commit, prev+uint64(len(a.Entries))), true
		}
		prev += skip
	} else if term, ok := r.log.term(prev); !ok || term != a.PrevTerm {
		return 0, false
	}
	for i, e := range entries {
		term, ok := r.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok && !r.cut(e.Index-1) {
			return 0, false
		}
		for _, e := range entries[i:] {
			if err := r.members.learn(e); err != nil {
				// An entry that cannot be read is not acknowledged.
				return e.Index - 1, true
			}
			r.log.entries = append(r.log.entries, e)
		}
		break
	}
	return prev + uint64(len(entries)), true
}

// cut removes the entries after index, which conflict with the leader's.
func (r *Replicator) cut(index uint64) bool {
	if !asserter.Check(index >= r.commit, asserter.DurableAssignment, "entries after %d are cut, but %d is committed", index, r.commit) {
		return false
	}
	r.log.truncate(index)
	r.members.truncate(index)
	r.saved, r.durable = min(r.saved, index), min(r.durable, index)
	return true
}

// hint returns an index before the whole term that conflicts, so that the leader does not go back entry by entry.
func (r *Replicator) hint(a *AppendMsg) uint64 {
	index := min(a.PrevIndex, r.log.last())
	if index < a.PrevIndex {
		return index
	}
	conflict, ok := r.log.term(index)
	for ok && index > r.commit {
		term, known := r.log.term(index)
		if !known || term != conflict {
			break
		}
		index--
	}
	return index
}

// takeSnapshot collects the parts of a snapshot in order, and replaces state and log when it is complete.
func (r *Replicator) takeSnapshot(m Message) {
	s := m.Snapshot
	answer := AppendAnswerMsg{
		Round:         s.Round,
		SnapshotIndex: s.Index,
		Recovery:      r.recovery.id(),
	}
	defer func() {
		r.send(Message{
			To:           m.From,
			AppendAnswer: &answer,
		})
	}()
	if s.Index <= r.commit {
		answer.Match = s.Index
		return
	}
	if r.incoming == nil || r.incoming.Index != s.Index || r.incoming.Term != s.Term || s.Offset == 0 {
		r.incoming = &journaler.Snapshot{
			Index:   s.Index,
			Term:    s.Term,
			Members: s.Members,
		}
	}
	if s.Offset == uint64(len(r.incoming.Data)) {
		r.incoming.Data = append(r.incoming.Data, s.Data...)
	}
	answer.Received = uint64(len(r.incoming.Data))
	if !s.Done || s.Offset+uint64(len(s.Data)) != answer.Received {
		return
	}
	r.install(*r.incoming)
	r.incoming = nil
	answer.Match = s.Index
}

func (r *Replicator) install(s journaler.Snapshot) {
	term, ok := r.log.term(s.Index)
	keeps := ok && term == s.Term && r.saved >= s.Index
	if ok && term == s.Term {
		r.log.compact(s.Index)
		r.members.compact(s.Index)
	} else {
		r.log.reset(s.Index, s.Term)
		r.members.reset(s.Index, s.Members)
	}
	if !keeps {
		r.saved, r.durable = s.Index, s.Index
	}
	r.snapshot = s
	r.commit, r.applied = s.Index, s.Index
	r.pending.Snapshot = &s
	r.pending.KeepsLog = keeps
}
