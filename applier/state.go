// Package applier is the replicated state machine behind the Raft log of the control group. Its state holds the
// configuration, the members of the group, the hosts, the authority of each data centre, and the delegation and owner
// of each slot of keyed services.
//
// Applying the same commands in the same order gives the same state and results on every host. A published State is
// immutable. The version of the configuration and the epoch of a slot never decrease.
package applier

import (
	"slices"
	"time"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/registrar"
)

// State is the result of applying the commands of the log up to Index to the empty state. The zero value is the empty
// state.
//
// A published State is immutable: Apply returns a copy that shares the unchanged parts.
type State struct {
	// Index is the log index of the last applied command.
	Index uint64
	// Config is the configuration in force; History lists the newest accepted ones, at most 200, the newest last.
	Config  StoredConfig
	History []StoredConfig

	// Voters and Learners are the names of the members of the control group.
	Voters   []string
	Learners []string

	// HostsIndex is the log index at which Hosts last changed. After DecodeSnapshot it is the index of the snapshot.
	HostsIndex uint64
	// Hosts and DataCentres are keyed by name.
	Hosts       map[string]Host
	DataCentres map[string]DataCentre
	// TargetsOut maps each target that operators have taken out of service to that change.
	TargetsOut map[string]ServiceChange
	// Slots maps the name of a keyed service to its slot table.
	Slots map[string]*SlotTable
	// Registry is the state of direct dispatch.
	Registry registrar.Registry

	// results holds the results of recent commands by request ID.
	results *resultPage
}

// Members returns the names of all members of the control group, the voters first. The caller may change the slice.
func (s *State) Members() []string {
	return slices.Concat(s.Voters, s.Learners)
}

// StoredConfig is an accepted configuration as text.
type StoredConfig struct {
	Version uint64
	// Index is the log index at which the configuration was accepted.
	Index    uint64
	Digest   string
	Operator string
	// At is the time of the operator's request.
	At time.Time
	// Base is the text of the base file; Overlays maps the name of a site to the text of its overlay.
	Base     string
	Overlays map[string]string
}

// DataCentre is the recorded state of one data centre.
type DataCentre struct {
	Name string
	// Out is true while operators have taken the data centre out of service; Changed is the last change of Out.
	Out     bool
	Changed ServiceChange
	// Authority is the name of the host that is the authority, AuthorityIncarnation the incarnation that was named, and
	// AuthorityIndex the log index of the command that named it, zero if none was named yet.
	Authority            string
	AuthorityIncarnation uint64
	AuthorityIndex       uint64
	// InSync maps the name of each host that has the authority's current table to its incarnation.
	InSync map[string]uint64
}

// ServiceChange records the operator who took a data centre or target out of service or restored it, and the time.
type ServiceChange struct {
	Operator string
	At       time.Time
}

// SlotEntry is the assignment of one slot, or of one hot key of a slot, to a data centre and a target.
type SlotEntry struct {
	Slot       keyer.Slot
	DataCentre string
	// DelegatedAt is the log index at which the slot was delegated to DataCentre.
	DelegatedAt uint64
	// Target is the owner, empty if there is none.
	Target string
	Epoch  fencer.Epoch
}
