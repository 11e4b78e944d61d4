// Package reporter holds the messages that an entry host and the authority of its data centre exchange, and the
// interface through which the tracker of a host reads the state of its traffic.
package reporter

import (
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// ReportMsg is what an entry host tells the authority of its data centre, every heartbeat interval.
type ReportMsg struct {
	Host        string
	Incarnation uint64
	// TableVersion is the version of the table that the host has, ConfigVersion that of its configuration in force.
	TableVersion  uint64
	ConfigVersion uint64
	// Leaving says that the host is about to stop and wants its targets to go to other hosts.
	Leaving bool
	// LeaderContact says that the host reached the control leader within the authority lease.
	LeaderContact bool
	Targets       []TargetMsg
	Loads         []LoadMsg
	Suspects      []SuspectMsg
}

// TargetMsg is what a dispatching host knows of a target that announced itself to it.
type TargetMsg struct {
	Name        string
	Service     string
	Incarnation uint64
	Addr        netip.AddrPort
	// HeardAgo is the time since the target's last heartbeat.
	HeardAgo time.Duration
	// Lapsed says that the target's lease has lapsed on this host's clock, margin included.
	Lapsed bool
	// Draining says that the target asked for no new work.
	Draining bool
	// ChecksEpoch is the target's own statement; the service's setting goes before it.
	ChecksEpoch bool
	// AckVersion is the newest table version that the target confirmed.
	AckVersion uint64
	// Released has the slots that the target confirmed to have given up.
	Released []keyer.Slot
}

// LoadMsg is the traffic that a dispatching host sent to one target since its last report.
type LoadMsg struct {
	Service  string
	Target   string
	InFlight int
	// Requests counts requests by slot; HotKeys has the keys that the sketch found, with their counts.
	Requests map[keyer.Slot]uint32
	HotKeys  map[string]uint32
}

// SuspectMsg names a request that was in flight when its target was lost.
type SuspectMsg struct {
	Service string
	// Request is the identity that the caller or the router gave, and Fingerprint a hash of method, path and body.
	Request     string
	Fingerprint uint64
	// Crashes counts the targets that were lost while they ran the request.
	Crashes int
	// Lost names the last such target by name and incarnation.
	Lost        string
	Incarnation uint64
}

// GrantMsg is the authority's answer to a ReportMsg.
type GrantMsg struct {
	Authority      string
	AuthorityIndex uint64
	// Lease is the length of the dispatch lease for all targets of Dispatch; the host counts it from before it sent
	// its report. Zero means that nothing is granted.
	Lease time.Duration
	// TableVersion is the version that Targets and Slots bring the host to. Full says that they replace the table; else
	// they are changes since the version in the report.
	TableVersion uint64
	Full         bool
	Targets      []AssignedTarget
	Slots        []AssignedSlot
	// Suspects are delivered with the slots, so that the next owner's host knows them before it takes work.
	Suspects []SuspectMsg
}

// AssignedTarget is a target of the data centre and its dispatching host.
type AssignedTarget struct {
	Name         string
	Service      string
	Incarnation  uint64
	Addr         netip.AddrPort
	Host         string
	Draining     bool
	OutOfService bool
	// Gone removes the target from the table.
	Gone bool
}

// AssignedSlot is the state of one slot in the table of a data centre.
type AssignedSlot struct {
	Service string
	Slot    keyer.Slot
	// HotKey names a hot key that has an entry of its own; empty for the slot itself.
	HotKey    string
	Target    string
	Epoch     fencer.Epoch
	Releasing bool
}

// Traffic is what the tracker reads from the dispatchers of its host, and tells them.
type Traffic interface {
	// Loads returns what was sent since the last call.
	Loads() []LoadMsg
	// Suspects returns the suspect requests known to this host.
	Suspects() []SuspectMsg
	// Learn adds the suspect requests of other hosts.
	Learn(suspects []SuspectMsg)
	// Lost says that a target's lease lapsed or that it returned with a new incarnation.
	Lost(service, target string, incarnation uint64)
}
