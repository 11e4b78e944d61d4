package delegator

import (
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/reporter"
)

// HeartbeatMsg is what each host sends to the control leader every heartbeat interval, as RPC "Control.Heartbeat".
type HeartbeatMsg struct {
	Host applier.Host
	// AuthorityIndex is the log index under which the host acts as authority, zero if it does not.
	AuthorityIndex uint64
	// Promised is the index of the authority that the host promised not to replace, zero if none.
	Promised uint64
	// Ready says that the authority has opened its table; InService then counts its targets in service by service.
	Ready     bool
	InService map[string]int
	// Directory is the directory of the data centre, when the leader asked for it by an older DirectoryVersion.
	Directory *DirectoryMsg
	// Known has the version of each data centre's directory at the host.
	Known map[string]uint64
}

// HeartbeatReply is the control leader's answer.
type HeartbeatReply struct {
	// Leading is false if the host that was asked is not the leader; nothing else is set then.
	Leading bool
	// Lease is the authority lease under AuthorityIndex, zero if the host is not the authority.
	Lease          time.Duration
	AuthorityIndex uint64
	// Yield has the slots by service that the authority has to release for another data centre.
	Yield map[string][]keyer.Slot
	// DirectoryVersion is the version that the leader has of the directory of the host's data centre.
	DirectoryVersion uint64
	// Directories has those of other data centres that differ from Known.
	Directories []DirectoryMsg
	// Connected names the hosts that the leader hears from.
	Connected []string
}

// DirectoryMsg lists the targets of a data centre with their dispatching hosts. It is a hint for routes.
type DirectoryMsg struct {
	DataCentre string
	Version    uint64
	Targets    []reporter.AssignedTarget
}
