package replicator

import (
	"time"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/journaler"
)

func (r *Replicator) handleAppend(now time.Time, m Message) {
	a := m.Append
	answer := AppendAnswerMsg{
		Round: a.Round,
		Stamp: r.stamp(now),
	}
	if match, ok := r.appendEntries(a); ok {
		answer.Match = match
		r.commitTo(max(r.commit, min(a.Commit, match)))
		r.finishRecovery(a, match)
		r.recordContact(a)
	} else {
		answer.Rejected = true
		answer.Hint = r.rejectHint(a)
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
		Process: r.recovery.processID,
		At:      r.sinceStart(now),
	}
}

// recordContact dates the leader's information in a by the stamp of the last answer of this process that the leader had
// received before it sent a.
func (r *Replicator) recordContact(a *AppendMsg) {
	if a.Echo.Process != r.recovery.processID {
		return
	}
	contactAt := r.started.Add(a.Echo.At - a.MajorityAge)
	if contactAt.After(r.contactAt) {
		r.contactAt = contactAt
	}
	if a.Committed <= r.commit && contactAt.After(r.currentAt) {
		r.currentAt = contactAt
	}
}

// appendEntries adds the entries of a to the log and returns the index up to which the log equals the leader's. It
// returns false if the entry before them is missing or differs.
func (r *Replicator) appendEntries(a *AppendMsg) (uint64, bool) {
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
		if ok && !r.truncateLog(e.Index-1) {
			return 0, false
		}
		for _, e := range entries[i:] {
			if err := r.members.addEntry(e); err != nil {
				// An entry that cannot be decoded is not acknowledged.
				return e.Index - 1, true
			}
			r.log.entries = append(r.log.entries, e)
		}
		break
	}
	return prev + uint64(len(entries)), true
}

// truncateLog removes the entries after index, which conflict with the leader's. It returns false, and removes nothing,
// if one of them is committed.
func (r *Replicator) truncateLog(index uint64) bool {
	if !asserter.Check(index >= r.commit, asserter.DurableAssignment, "entries after %d are cut, but %d is committed", index, r.commit) {
		return false
	}
	r.log.truncate(index)
	r.members.truncate(index)
	r.emitted, r.durable = min(r.emitted, index), min(r.durable, index)
	return true
}

// rejectHint returns the last index of the log if that is shorter than a.PrevIndex, else an index before all entries of
// the conflicting term, so that the leader does not go back entry by entry.
func (r *Replicator) rejectHint(a *AppendMsg) uint64 {
	index := min(a.PrevIndex, r.log.last())
	if index < a.PrevIndex {
		return index
	}
	conflictTerm, ok := r.log.term(index)
	for ok && index > r.commit {
		term, known := r.log.term(index)
		if !known || term != conflictTerm {
			break
		}
		index--
	}
	return index
}

// handleSnapshot collects the parts of a snapshot in order, and replaces the state and the log when it is complete.
func (r *Replicator) handleSnapshot(m Message) {
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
	r.installSnapshot(*r.incoming)
	r.incoming = nil
	answer.Match = s.Index
}

func (r *Replicator) installSnapshot(s journaler.Snapshot) {
	term, ok := r.log.term(s.Index)
	keepsLog := ok && term == s.Term && r.emitted >= s.Index
	if ok && term == s.Term {
		r.log.compact(s.Index)
		r.members.compact(s.Index)
	} else {
		r.log.reset(s.Index, s.Term)
		r.members.reset(s.Index, s.Members)
	}
	if !keepsLog {
		r.emitted, r.durable = s.Index, s.Index
	}
	r.snapshot = s
	r.commit, r.applied = s.Index, s.Index
	r.pendingEffects.Snapshot = &s
	r.pendingEffects.KeepsLog = keepsLog
}
