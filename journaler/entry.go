// Package journaler is a write-ahead log for a Raft voter. It keeps the replicated log, its snapshots and the hard
// state in one folder.
//
// What a method wrote without an error is durable: it survives a crash of the process or the machine. Open cuts off a
// torn write at the end of the log and reports damage before it as ErrCorrupt.
package journaler

import (
	"net/netip"
	"slices"
	"strings"
)

// Kind is the type of the content of an Entry.
type Kind uint8

// The kinds of entries.
const (
	// KindCommand is an entry whose Data is an encoded command of the state machine.
	KindCommand Kind = iota
	// KindEmpty is the entry without Data that a leader appends at the start of its term.
	KindEmpty
	// KindMembers is an entry whose Data is a member list, as EncodeMembers encodes it.
	KindMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  Kind
	Data  []byte
}

// HardState is the state of a voter that must survive a restart in addition to the log: the newest term that it saw and
// the member for which it voted in that term.
type HardState struct {
	Term uint64
	Vote string
	// Recovering reports whether the member lost its disk and has not yet caught up with the log since.
	Recovering bool
}

// Snapshot is the state that the log up to and including Index leads to, and replaces that part of the log. Members is
// the member list in force at Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	Data    []byte
}

// Member is a host of the control group. A learner receives the log and does not vote.
type Member struct {
	Name    string
	Addr    netip.AddrPort
	Learner bool
}

// SortMembers sorts members by name.
func SortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}
