// Package reporter defines the messages of the lease protocol between an entry host and the authority of its data
// centre: the host sends a ReportMsg every heartbeat interval, and the authority answers with a GrantMsg, which grants
// the dispatch lease and updates the host's table of targets and slots. It also defines the interface between the
// tracker of a host and its dispatcher.
package reporter

import (
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// ReportMsg is the report of an entry host to the authority of its data centre, sent every heartbeat interval.
type ReportMsg struct {
	Host        string
	Incarnation uint64
	// TableVersion is the version of the table that the host has, ConfigVersion that of its configuration in force.
	TableVersion  uint64
	ConfigVersion uint64
	// Leaving is true if the host has a planned stop and its targets should be moved to other hosts.
	Leaving bool
	// NoLinks is true while the host has lost its links to targets, so that others should dispatch to its own.
	NoLinks bool
	// LeaderContact is true if the host got an answer from the control leader within the authority lease.
	LeaderContact bool
	Targets       []TargetMsg
	Loads         []LoadMsg
	Suspects      []SuspectMsg
}

// TargetMsg is the report on one incarnation of a target, by a host to which it sends heartbeats or which dispatches to
// it.
type TargetMsg struct {
	Name        string
	Service     string
	Incarnation uint64
	Addr        netip.AddrPort
	// HeardAgo is the time since the target's last heartbeat.
	HeardAgo time.Duration
	// Lapsed is true if the target's lease has expired on this host's clock, margin included, or if this host holds no
	// lease for it.
	Lapsed bool
	// Draining is true if the target asked to get no new requests.
	Draining bool
	// ChecksEpoch is true if the target announced that it checks epochs; the service's setting takes precedence.
	ChecksEpoch bool
	// AckVersion is the newest table version that the target acknowledged.
	AckVersion uint64
	// Released lists the slots that the target gave up: it confirmed their release, or its lease expired.
	Released []keyer.Slot
}

// LoadMsg is the traffic that a dispatching host sent to one target since its last report.
type LoadMsg struct {
	Service  string
	Target   string
	InFlight int
	// Incarnation is that of the target. LimitHeard says that it has answered this host; Limited that its last answer stated
	// a limit, and Limit the number of requests per second in it.
	Incarnation uint64
	LimitHeard  bool
	Limited     bool
	Limit       float64
	// Requests counts requests by slot. HotKeys maps the hot keys that the heavy-hitter sketch found to their counts.
	Requests map[keyer.Slot]uint32
	HotKeys  map[string]uint32
}

// SuspectMsg identifies a request that was in flight when its target was lost, and so may have crashed it.
type SuspectMsg struct {
	Service string
	// Request is the ID that the caller or the router gave the request, and Fingerprint a hash of its method, path and
	// body.
	Request     string
	Fingerprint uint64
	// Crashes counts the targets that were lost while they ran the request.
	Crashes int
	// Lost is the name of the last such target, and Incarnation its incarnation.
	Lost        string
	Incarnation uint64
}

// GrantMsg is the authority's answer to a ReportMsg.
type GrantMsg struct {
	// Authority is the host that answers. AuthorityIndex is the log index of the command that named it as the
	// authority, zero if it is not the authority.
	Authority      string
	AuthorityIndex uint64
	// Lease is the length of the dispatch lease, which covers all targets that the host dispatches to; the host counts
	// it from before it sent its report. Zero means that nothing is granted.
	Lease time.Duration
	// TableVersion is the version of the host's table after it applied Targets and Slots. If Full is true they replace
	// the table, else they are changes since the version in the report.
	TableVersion uint64
	Full         bool
	Targets      []AssignedTarget
	Slots        []AssignedSlot
	// Suspects are delivered with the slots, so that the next owner's host has them before it dispatches requests.
	Suspects []SuspectMsg
}

// AssignedTarget is a target in the table of a data centre.
type AssignedTarget struct {
	Name        string
	Service     string
	Incarnation uint64
	Addr        netip.AddrPort
	// Host is the dispatching host, empty if the target has none.
	Host     string
	Draining bool
	// OutOfService is true while operators have taken the target out.
	OutOfService bool
	// Gone is true if the target is to be removed from the table.
	Gone bool
}

// AssignedSlot is the assignment of one slot in the table of a data centre.
type AssignedSlot struct {
	Service string
	Slot    keyer.Slot
	// HotKey is a hot key that has an entry of its own; empty for the slot itself.
	HotKey string
	// Target is the owner, empty if the slot has none.
	Target string
	Epoch  fencer.Epoch
	// Releasing is true if the owner has to finish its requests in progress and gets no new ones, or if Target is the
	// next owner and may not own the slot yet.
	Releasing bool
}

// Traffic is the interface of a host's dispatcher to the tracker.
type Traffic interface {
	// Loads returns the traffic since the last call.
	Loads() []LoadMsg
	// Suspects returns the suspect requests that this host has records of.
	Suspects() []SuspectMsg
	// AddSuspects adds the suspect requests of other hosts.
	AddSuspects(suspects []SuspectMsg)
	// Lost reports that a target's lease expired or that the target returned with a new incarnation.
	Lost(service, target string, incarnation uint64)
}
