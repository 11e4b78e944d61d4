package operator

import "time"

// Facts is the part of the status that changes too often for the replicated state: the latest reports of all hosts.
type Facts struct {
	// Leader is the control leader; empty if none is known.
	Leader  string
	Hosts   []HostFacts
	Targets []TargetFacts
	Leases  []LeaseFacts
	// Violations is the number of invariant violations that hosts reported.
	Violations int64
}

// HostFacts is the latest report of one host on itself.
type HostFacts struct {
	Name       string
	DataCentre string
	// Reachable is true if the host answered the latest call for its report.
	Reachable bool
	// ConfigVersion is the version of the configuration in force on the host, and ConfigAge the time since it came into
	// force there.
	ConfigVersion uint64
	ConfigAge     time.Duration
	// Index is the log index up to which the host has applied the replicated log.
	Index uint64
	// HeardAgo is the age of the report.
	HeardAgo time.Duration
}

// TargetFacts is the latest report on one target by its dispatching host.
type TargetFacts struct {
	Name       string
	Service    string
	DataCentre string
	// Host is the dispatching host, which sends the target its requests.
	Host string
	// State is serving, out or lost, and Reason says why it is out or lost.
	State  string
	Reason string
	// HeardAgo is the time since the target was last heard from.
	HeardAgo time.Duration
	// InFlight is the number of requests in progress at the target.
	InFlight int
}

// LeaseFacts is one lease as its holder or granter reports it.
type LeaseFacts struct {
	// Kind is leadership, authority, dispatch or hold; a hold reserves the slots of Service for a data centre that is
	// cut off.
	Kind       string
	Holder     string
	DataCentre string
	Service    string
	// Remaining is the time until the lease expires.
	Remaining time.Duration
}
