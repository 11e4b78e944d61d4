package operator

import "time"

// Facts are what changes too often to be in the replicated state: what hosts and targets reported last.
type Facts struct {
	// Leader is the control leader; empty if none is known.
	Leader  string
	Hosts   []HostFacts
	Targets []TargetFacts
	Leases  []LeaseFacts
	// Violations counts the violations of invariants that hosts reported.
	Violations int64
}

// HostFacts is what one host reported.
type HostFacts struct {
	Name       string
	DataCentre string
	// Reachable says that the host answered within the last lease.
	Reachable bool
	// ConfigVersion is the configuration in force on the host, and ConfigAge for how long.
	ConfigVersion uint64
	ConfigAge     time.Duration
	// Index is the log index that the host has applied.
	Index    uint64
	HeardAgo time.Duration
}

// TargetFacts is what the dispatching host of a target knows.
type TargetFacts struct {
	Name       string
	Service    string
	DataCentre string
	// Host is the dispatching host.
	Host string
	// State is cold, warm, draining or lost, and Reason says why in plain words.
	State    string
	Reason   string
	HeardAgo time.Duration
	InFlight int
}

// LeaseFacts is one lease as its holder or granter knows it.
type LeaseFacts struct {
	// Kind is leadership, authority, dispatch or hold; a hold keeps the slots of Service in a data centre that is cut
	// off.
	Kind       string
	Holder     string
	DataCentre string
	Service    string
	Remaining  time.Duration
}
