// Package presenter defines the JSON types of the operators' HTTP API, which hosts serve and the command line calls.
package presenter

import "time"

// Status is the state of a deployment as reported by one host.
type Status struct {
	// AnsweredBy is the name of the host that answered.
	AnsweredBy string `json:"answeredBy"`
	Deployment string `json:"deployment"`
	Region     string `json:"region"`
	// Config is the version in force, without its texts.
	Config Version `json:"config"`
	// Index is the log index up to which the answering host has applied the replicated log.
	Index uint64 `json:"index"`
	// Leader is the control leader; empty if none is known.
	Leader      string       `json:"leader"`
	DataCentres []DataCentre `json:"dataCentres"`
	Hosts       []Host       `json:"hosts"`
	Services    []Service    `json:"services"`
	Targets     []Target     `json:"targets"`
	Leases      []Lease      `json:"leases"`
	// Violations is the number of invariant violations that the reachable hosts reported.
	Violations int64 `json:"violations"`
	// Alarms are the conditions that need an operator's attention, sorted by name and message; docs/OPERATING.md says
	// what to do about each.
	Alarms []Alarm `json:"alarms"`
}

// DataCentre is the status of one data centre.
type DataCentre struct {
	Name string `json:"name"`
	// Out is true while operators have taken the data centre out of service. ChangedBy is the operator who changed Out
	// last, at ChangedAt.
	Out       bool      `json:"out"`
	ChangedBy string    `json:"changedBy,omitempty"`
	ChangedAt time.Time `json:"changedAt,omitzero"`
	// Authority is the host that grants the slots of the data centre to targets; empty if none was named yet.
	Authority string `json:"authority"`
	// InSync lists the hosts of the in-sync set: those that have the authority's current table.
	InSync []string `json:"inSync"`
	// Targets is the number of targets that are not lost.
	Targets int `json:"targets"`
}

// Host is the status of one host.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Role is voter, learner or entry; an entry host is no member of the control group.
	Role string `json:"role"`
	// Reachable is true if the host answered the call for its report.
	Reachable bool `json:"reachable"`
	// Version is the version of the configuration in force on the host, and VersionAgeMs the time in milliseconds since
	// it came into force there.
	Version      uint64 `json:"configVersion"`
	VersionAgeMs int64  `json:"configAgeMs"`
	// Index is the log index up to which the host has applied the replicated log.
	Index uint64 `json:"index"`
	// HeardAgoMs is the age of the host's report in milliseconds.
	HeardAgoMs int64 `json:"heardAgoMs"`
}

// Service is the status of one service.
type Service struct {
	Name string `json:"name"`
	// Kind is shared or keyed. Slots, Unowned, HotKeys and Delegated are set only for a keyed service.
	Kind  string `json:"kind"`
	Slots int    `json:"slots"`
	// Unowned is the number of slots that no target owns.
	Unowned int `json:"unowned"`
	// HotKeys is the number of keys with an owner of their own, apart from the owner of their slot.
	HotKeys int `json:"hotKeys"`
	// Targets is the number of targets that may get requests.
	Targets int `json:"targets"`
	// Delegated is the number of slots that are delegated to each data centre.
	Delegated map[string]int `json:"delegated,omitempty"`
}

// Target is the status of one target.
type Target struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	// Host is the dispatching host, which sends the target its requests.
	Host string `json:"host"`
	// State is serving, lost or out, and Reason says why it is lost or out.
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	// HeardAgoMs is the time in milliseconds since the target was last heard from.
	HeardAgoMs int64 `json:"heardAgoMs"`
	// InFlight is the number of requests in progress at the target.
	InFlight int `json:"inFlight"`
	// Slots is the number of slots that the target owns.
	Slots int `json:"slots"`
	// ChangedBy is the operator who took the target out of service, at ChangedAt.
	ChangedBy string    `json:"changedBy,omitempty"`
	ChangedAt time.Time `json:"changedAt,omitzero"`
}

// Lease is the status of one lease.
type Lease struct {
	// Kind is leadership, authority, dispatch or hold. A hold reserves the slots of Service for a data centre that is
	// cut off.
	Kind       string `json:"kind"`
	Holder     string `json:"holder"`
	DataCentre string `json:"dataCentre,omitempty"`
	Service    string `json:"service,omitempty"`
	// RemainingMs is the time in milliseconds until the lease expires.
	RemainingMs int64 `json:"remainingMs"`
}

// Alarm is a condition that needs an operator's attention.
type Alarm struct {
	// Name is one of the alarms of docs/OPERATING.md.
	Name    string `json:"name"`
	Message string `json:"message"`
}

// KeyStatus is the owner of one key according to the replicated state, with the state of that target.
type KeyStatus struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Slot    uint32 `json:"slot"`
	// HotKey is true if the key has an owner of its own, apart from the owner of its slot.
	HotKey bool `json:"hotKey"`
	// DataCentre is the data centre that the slot or hot key is delegated to.
	DataCentre string `json:"dataCentre"`
	// DataCentreOut is true while operators have taken the data centre out of service.
	DataCentreOut bool `json:"dataCentreOut"`
	// Target is the owner; empty if there is none. TargetState, TargetReason and Host are the State, Reason and Host of
	// its status.
	Target       string `json:"target"`
	TargetState  string `json:"targetState,omitempty"`
	TargetReason string `json:"targetReason,omitempty"`
	Host         string `json:"host,omitempty"`
	// Epoch is the epoch of the latest grant of the slot or hot key.
	Epoch string `json:"epoch"`
	// HeldMs is the time in milliseconds for which the slot remains reserved for its data centre, which is cut off.
	HeldMs int64 `json:"heldMs,omitempty"`
	// Index is the log index up to which the answering host has applied the replicated log.
	Index uint64 `json:"index"`
}
