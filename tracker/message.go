package tracker

import (
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/delegator"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/reporter"
)

// HeartbeatMsg is the heartbeat of a target. It announces the target's state and confirms what the last reply asked of
// it.
type HeartbeatMsg struct {
	Name        string
	Service     string
	DataCentre  string
	Incarnation uint64
	// Addr is the address at which the target takes requests.
	Addr netip.AddrPort
	// State is cold, warm or draining.
	State string
	// Slots is how many requests the target runs at once (these are not slots of keys), Connections how many
	// connections it accepts, and InFlight how many requests are in progress.
	Slots       int
	Connections int
	InFlight    int
	// Load is the load that the target reports, and LoadAge how old that figure is.
	Load    float64
	LoadAge time.Duration
	// AckVersion is the table version of the newest reply that the target has applied.
	AckVersion uint64
	// Released lists the slots that the target has released.
	Released []keyer.Slot
	// ChecksEpoch says that the target itself rejects requests with an old epoch.
	ChecksEpoch bool
	// Wait is how long the target lets the host hold the reply back while there is nothing new.
	Wait time.Duration
	// Reanswered marks a second answer to a heartbeat whose reply was held back. It grants anew but is no further
	// heartbeat.
	Reanswered bool
}

// HeartbeatReply is the answer to a HeartbeatMsg.
type HeartbeatReply struct {
	// RedirectHost is the name of the target's dispatching host, empty if that is this host or unknown. Announce is the
	// address at which it takes heartbeats.
	RedirectHost string
	Announce     netip.AddrPort
	// NoAuthority says that this host has had no answer of an authority, or holds no dispatch lease from it.
	NoAuthority bool
	// Lease is the length of the target's lease; zero grants nothing.
	Lease time.Duration
	// Fence is the fencing token of the reply: the target rejects one with a lower token than it has accepted before.
	Fence fencer.Epoch
	// Version is the version of the table from which the reply was made; the target acknowledges it in AckVersion.
	Version uint64
	// Owned lists the slots that are granted to the target, and Releasing those that it has to release.
	Owned     []Range
	Releasing []keyer.Slot
}

// Range is a range of consecutive slots with the same epoch, both ends included.
type Range struct {
	From  keyer.Slot
	To    keyer.Slot
	Epoch fencer.Epoch
}

// GrantedMsg is the authority's answer to the report that was sent at Asked.
type GrantedMsg struct {
	Asked time.Time
	Grant reporter.GrantMsg
}

// TickMsg carries the newest replicated state, the configuration in force and hints for routes.
type TickMsg struct {
	State  *applier.State
	Config *configurer.Config
	// Directories maps the names of other data centres to their directories. Connected lists the names of the hosts
	// whose heartbeats reached the control leader within the last authority lease. Both are hints for routes.
	Directories map[string]delegator.DirectoryMsg
	Connected   []string
	// LeaderContact says that the control leader answered a heartbeat of this host within the authority lease.
	LeaderContact bool
}
