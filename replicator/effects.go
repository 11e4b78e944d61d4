package replicator

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/journaler"
)

// maxTrailingEntries and maxTrailingBytes bound the entries before the index of a snapshot that stay in memory, so that
// a member that is slightly behind does not need the whole snapshot.
const (
	maxTrailingEntries = 1024
	maxTrailingBytes   = 4 << 20
)

// Effects lists what the driver has to do, in the order of the fields, before it calls Saved. If a step cannot make its
// data durable, none of the later steps may be carried out.
type Effects struct {
	// EarlyMessages are messages that may be sent before anything is made durable: a leader's entries and snapshots,
	// because it counts itself towards a majority only when it has saved the entries.
	EarlyMessages []Message
	// HardState is saved first, so that no entry or snapshot on disk has a later term.
	HardState *journaler.HardState
	// Snapshot was received from the leader and replaces the state. KeepsLog reports that the saved log continues the
	// snapshot, so that its later entries stay.
	Snapshot *journaler.Snapshot
	KeepsLog bool
	// Entries are to be appended; an entry replaces an earlier one with its index and all after that.
	Entries []journaler.Entry
	// Messages may be sent only when all of the above is durable.
	Messages []Message
	// Committed are the entries to apply.
	Committed []journaler.Entry
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return len(e.EarlyMessages) == 0 && e.Snapshot == nil && e.HardState == nil && len(e.Entries) == 0 &&
		len(e.Messages) == 0 && len(e.Committed) == 0
}

// Effects returns the effects that have accumulated since the last call.
func (r *Replicator) Effects() Effects {
	e := r.pendingEffects
	r.pendingEffects = Effects{}
	hardState := journaler.HardState{
		Term:       r.term,
		Vote:       r.vote,
		Recovering: r.recovery.recovering,
	}
	if hardState != r.emittedHardState {
		e.HardState = &hardState
		r.emittedHardState = hardState
	}
	e.Entries = slices.Clone(r.log.slice(r.emitted, r.log.last()))
	r.emitted = r.log.last()
	if e.HardState == nil && r.role == leader {
		messages := e.Messages
		e.Messages = nil
		for _, m := range messages {
			if m.Append != nil || m.Snapshot != nil {
				e.EarlyMessages = append(e.EarlyMessages, m)
			} else {
				e.Messages = append(e.Messages, m)
			}
		}
	}
	e.Committed = slices.Clone(r.log.slice(r.applied, r.commit))
	r.applied = r.commit
	return e
}

// Saved reports that the driver has carried out e. A leader then counts its own entries towards a majority.
func (r *Replicator) Saved(now time.Time, e Effects) {
	if len(e.Entries) == 0 {
		return
	}
	r.durable = e.Entries[len(e.Entries)-1].Index
	if r.role == leader {
		r.advanceCommit(now)
	}
}

// SnapshotAt returns a snapshot with data as the state after the entry at index, which must have been applied.
func (r *Replicator) SnapshotAt(index uint64, data []byte) (journaler.Snapshot, error) {
	term, ok := r.log.term(index)
	if !ok || index > r.applied {
		return journaler.Snapshot{}, errors.Errorf("cannot take a snapshot at index %d: not applied or already compacted", index)
	}
	return journaler.Snapshot{
		Index:   index,
		Term:    term,
		Members: r.members.listAt(index),
		Data:    data,
	}, nil
}

// Compact removes from memory the entries and member lists that s replaces, except for the trailing entries. s must be
// durable.
func (r *Replicator) Compact(s journaler.Snapshot) {
	if s.Index <= r.snapshot.Index {
		return
	}
	r.snapshot = s
	r.log.compact(r.log.trailingOffset(s.Index, maxTrailingEntries, maxTrailingBytes))
	r.members.compact(s.Index)
}
