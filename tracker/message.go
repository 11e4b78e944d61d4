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

// HeartbeatMsg is the heartbeat of a target.
type HeartbeatMsg struct {
	Name        string
	Service     string
	DataCentre  string
	Incarnation uint64
	Addr        netip.AddrPort
	State       string
	Slots       int
	Connections int
	InFlight    int
	Load        float64
	LoadAge     time.Duration
	AckVersion  uint64
	Released    []keyer.Slot
	ChecksEpoch bool
	// Wait is how long the target waits for the answer if there is nothing new.
	Wait time.Duration
	// Repeated says that the same heartbeat is answered again.
	Repeated bool
}

// HeartbeatReply is the effect that answers a HeartbeatMsg.
type HeartbeatReply struct {
	// Elsewhere names the target's dispatching host and its announce address, if it is another one.
	Elsewhere string
	Announce  netip.AddrPort
	// NoAuthority says that this host knows no authority, or holds no dispatch lease from it.
	NoAuthority bool
	// Lease is the length of the target's lease; zero grants nothing.
	Lease     time.Duration
	Fence     fencer.Epoch
	Version   uint64
	Owned     []Range
	Releasing []keyer.Slot
}

// Range is a row of slots, both ends included, with the same epoch.
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

// TickMsg carries the newest state, configuration and hints.
type TickMsg struct {
	State  *applier.State
	Config *configurer.Config
	// Directories are those of other data centres, and Connected the hosts that the control leader hears from; both are
	// hints for routes.
	Directories map[string]delegator.DirectoryMsg
	Connected   []string
	// LeaderContact says that the control leader answered within the authority lease.
	LeaderContact bool
}
