// Package journaler keeps the replicated log, its snapshots and the hard state of a voter on disk.
package journaler

import (
	"net/netip"
	"slices"
	"strings"
)

// Kind says what an Entry holds.
type Kind uint8

// The kinds of entries.
const (
	// KindCommand holds an encoded command of the state machine.
	KindCommand Kind = iota
	// KindEmpty is the entry with which a leader starts its term.
	KindEmpty
	// KindMembers holds an encoded member list.
	KindMembers
)

// Entry is one record of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  Kind
	Data  []byte
}

// HardState is what a voter must not forget: the newest term it saw and whom it voted for in that term.
type HardState struct {
	Term uint64
	Vote string
	// Recovering says that the member lost its disk and has not caught up since.
	Recovering bool
}

// Snapshot replaces the log up to Index. Members is the member list in force at Index.
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
