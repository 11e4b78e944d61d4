package replicator

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/journaler"
)

// trailingEntries and trailingBytes bound the entries that stay in memory behind a snapshot, so that a member that is a
// little late does not need the whole snapshot.
const (
	trailingEntries = 1024
	trailingBytes   = 4 << 20
)

// Effects is what the driver has to do, in the order of the fields, before it calls Saved. If something cannot be made
// durable, nothing of what follows may be done.
type Effects struct {
	// Early are messages that may leave before anything is made durable: a leader's entries, because it counts itself
	// only when it has saved them.
	Early []Message
	// HardState goes first, so that no entry or snapshot on disk is of a later term.
	HardState *journaler.HardState
	// Snapshot was received and replaces the state. KeepsLog says that the log continues it.
	Snapshot *journaler.Snapshot
	KeepsLog bool
	// Entries are to be appended; an entry replaces an earlier one with its index and all after that.
	Entries  []journaler.Entry
	Messages []Message
	// Committed are the entries to apply.
	Committed []journaler.Entry
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return len(e.Early) == 0 && e.Snapshot == nil && e.HardState == nil && len(e.Entries) == 0 &&
		len(e.Messages) == 0 && len(e.Committed) == 0
}

// Effects returns what is to be done since the last call.
func (r *Replicator) Effects() Effects {
	e := r.pending
	r.pending = Effects{}
	hard := journaler.HardState{
		Term:       r.term,
		Vote:       r.vote,
		Recovering: r.recovery.recovering,
	}
	if hard != r.savedHard {
		e.HardState = &hard
		r.savedHard = hard
	}
	e.Entries = slices.Clone(r.log.slice(r.saved, r.log.last()))
	r.saved = r.log.last()
	if e.HardState == nil && r.role == leader {
		late := e.Messages
		e.Messages = nil
		for _, m := range late {
			if m.Append != nil || m.Snapshot != nil {
				e.Early = append(e.Early, m)
			} else {
				e.Messages = append(e.Messages, m)
			}
		}
	}
	e.Committed = slices.Clone(r.log.slice(r.applied, r.commit))
	r.applied = r.commit
	return e
}

// Saved tells that the effects were carried out. A leader then counts its own entries.
func (r *Replicator) Saved(now time.Time, e Effects) {
	if len(e.Entries) == 0 {
		return
	}
	r.durable = e.Entries[len(e.Entries)-1].Index
	if r.role == leader {
		r.advance(now)
	}
}

// SnapshotAt returns the snapshot that has data as the state after the entry at index, which must be applied.
func (r *Replicator) SnapshotAt(index uint64, data []byte) (journaler.Snapshot, error) {
	term, ok := r.log.term(index)
	if !ok || index > r.applied {
		return journaler.Snapshot{}, errors.Errorf("no snapshot can be made at %d", index)
	}
	return journaler.Snapshot{
		Index:   index,
		Term:    term,
		Members: r.members.at(index),
		Data:    data,
	}, nil
}

// Compact removes from memory what s, which is durable, replaces.
func (r *Replicator) Compact(s journaler.Snapshot) {
	if s.Index <= r.snapshot.Index {
		return
	}
	r.snapshot = s
	r.log.compact(r.log.trailing(s.Index, trailingEntries, trailingBytes))
	r.members.compact(s.Index)
}
