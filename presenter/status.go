// Package presenter has the wire types of the operators' API, which hosts answer and the command line reads.
package presenter

import "time"

// Status is the state of a deployment as one host knows it.
type Status struct {
	// AnsweredBy is the host that made the answer.
	AnsweredBy string `json:"answeredBy"`
	Deployment string `json:"deployment"`
	Region     string `json:"region"`
	// Config is the version in force, without texts.
	Config Version `json:"config"`
	// Index is the index of the log up to which the answering host knows the state.
	Index       uint64       `json:"index"`
	Leader      string       `json:"leader"`
	DataCentres []DataCentre `json:"dataCentres"`
	Hosts       []Host       `json:"hosts"`
	Services    []Service    `json:"services"`
	Targets     []Target     `json:"targets"`
	Leases      []Lease      `json:"leases"`
	// Violations counts the violations of invariants that reachable hosts reported.
	Violations int64 `json:"violations"`
	// Alarms are what an operator should look at, sorted; docs/OPERATING.md says what to do for each.
	Alarms []Alarm `json:"alarms"`
}

// DataCentre is one row of the status.
type DataCentre struct {
	Name      string    `json:"name"`
	Out       bool      `json:"out"`
	ChangedBy string    `json:"changedBy,omitempty"`
	ChangedAt time.Time `json:"changedAt,omitzero"`
	Authority string    `json:"authority"`
	InSync    []string  `json:"inSync"`
	Targets   int       `json:"targets"`
}

// Host is one row of the status.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Role is voter, learner or entry.
	Role      string `json:"role"`
	Reachable bool   `json:"reachable"`
	// Version is the configuration in force on the host and VersionAgeMs for how long.
	Version      uint64 `json:"configVersion"`
	VersionAgeMs int64  `json:"configAgeMs"`
	// Index is the log index that the host has applied.
	Index      uint64 `json:"index"`
	HeardAgoMs int64  `json:"heardAgoMs"`
}

// Service is one row of the status.
type Service struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Slots   int    `json:"slots"`
	Unowned int    `json:"unowned"`
	HotKeys int    `json:"hotKeys"`
	Targets int    `json:"targets"`
	// Delegated has the number of slots of each data centre.
	Delegated map[string]int `json:"delegated,omitempty"`
}

// Target is one row of the status.
type Target struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	// Host is the dispatching host.
	Host string `json:"host"`
	// State is cold, warm, draining, lost or out, and Reason says why.
	State      string    `json:"state"`
	Reason     string    `json:"reason,omitempty"`
	HeardAgoMs int64     `json:"heardAgoMs"`
	InFlight   int       `json:"inFlight"`
	Slots      int       `json:"slots"`
	ChangedBy  string    `json:"changedBy,omitempty"`
	ChangedAt  time.Time `json:"changedAt,omitzero"`
}

// Lease is one row of the status.
type Lease struct {
	// Kind is leadership, authority, dispatch or hold.
	Kind        string `json:"kind"`
	Holder      string `json:"holder"`
	DataCentre  string `json:"dataCentre,omitempty"`
	Service     string `json:"service,omitempty"`
	RemainingMs int64  `json:"remainingMs"`
}

// Alarm names something that an operator should look at.
type Alarm struct {
	// Name is one of the alarms of docs/OPERATING.md.
	Name    string `json:"name"`
	Message string `json:"message"`
}

// KeyStatus says who owns one key.
type KeyStatus struct {
	Service    string `json:"service"`
	Key        string `json:"key"`
	Slot       uint32 `json:"slot"`
	HotKey     bool   `json:"hotKey"`
	DataCentre string `json:"dataCentre"`
	// DataCentreOut says that operators have taken the data centre out.
	DataCentreOut bool   `json:"dataCentreOut"`
	Target        string `json:"target"`
	TargetState   string `json:"targetState,omitempty"`
	TargetReason  string `json:"targetReason,omitempty"`
	Host          string `json:"host,omitempty"`
	Epoch         string `json:"epoch"`
	// HeldMs is how long the slot is still held for its data centre, which is cut off.
	HeldMs int64 `json:"heldMs,omitempty"`
	// Index is the index of the log up to which the answering host knows the state.
	Index uint64 `json:"index"`
}
