package delegator

import (
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/reporter"
)

// HeartbeatMsg is the argument of the RPC "Control.Heartbeat", by which each host calls the control leader in every
// heartbeat interval.
type HeartbeatMsg struct {
	Host applier.Host
	// AuthorityIndex is the log index of the command under which the host acts as authority of its data centre, zero if
	// it does not.
	AuthorityIndex uint64
	// Promised is the AuthorityIndex of the authority that the host has promised not to replace for the present, zero if
	// there is none.
	Promised uint64
	// Ready is true once the authority has opened its slot table. InService is then the number of targets in service in
	// the data centre, by name of their service.
	Ready     bool
	InService map[string]int
	// Directory is the directory of the host's data centre, which a ready authority sends while the last
	// HeartbeatReply.DirectoryVersion differs from its version.
	Directory *DirectoryMsg
	// Known maps the name of a data centre to the version of its directory that the host has.
	Known map[string]uint64
}

// HeartbeatReply is the control leader's answer to a HeartbeatMsg.
type HeartbeatReply struct {
	// Leading is false if the host that was called is not the leader; then no other field is set.
	Leading bool
	// Lease is the length of the authority lease that is granted under AuthorityIndex, zero if none is granted.
	// AuthorityIndex is the log index of the command that named the calling host authority, zero if it is not the
	// authority. The lease is granted once the heartbeat of the host carries this index.
	Lease          time.Duration
	AuthorityIndex uint64
	// Yield maps the name of a service to the slots that the authority has to release for another data centre.
	Yield map[string][]keyer.Slot
	// DirectoryVersion is the version of the directory of the host's data centre that the leader has.
	DirectoryVersion uint64
	// Directories lists the directories of other data centres whose versions differ from HeartbeatMsg.Known.
	Directories []DirectoryMsg
	// Connected lists the names of the hosts whose heartbeats reached the leader within the last authority lease.
	Connected []string
}

// DirectoryMsg lists the targets of a data centre with the hosts that dispatch to them. It is a hint for routes and may
// be stale.
type DirectoryMsg struct {
	DataCentre string
	Version    uint64
	Targets    []reporter.AssignedTarget
}
