// Package locator holds the routing table of an entry host: the owner of each slot and the pool of each shared service.
package locator

import (
	"net/netip"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
)

// Route says where the requests of one slot, or of one target of a shared service, go.
type Route struct {
	// Target is the name of the target; empty if the slot has no owner.
	Target      string
	Incarnation uint64
	// Addr is the target's own address. It is set only at the target's dispatching host.
	Addr       netip.AddrPort
	DataCentre string
	// Host is the dispatching host of the target and Peer the address at which it takes forwarded requests.
	Host  string
	Peer  netip.AddrPort
	Epoch fencer.Epoch
	// Local says that this host is the dispatching host, and Lease is then its target's lease: nothing is sent to the
	// target unless it is valid.
	Local bool
	Lease *leaser.Shared
	// Releasing says that the slot is being handed over: its owner takes no new request.
	Releasing bool
	// OutOfService says that operators have taken out the target or its data centre.
	OutOfService bool
}

// Table is the part of a Locator for one service.
type Table struct {
	Service string
	Keyed   bool
	Keyer   keyer.Keyer
	// Owners has the number of a route for each slot, and Routes the routes; a number of -1 means no owner.
	// One Route entry for each (target, epoch) keeps a slot at four bytes.
	Owners []int32
	Routes []Route
	// Hot has the entries of hot keys. They take precedence over the slot of the key.
	Hot map[string]int32
}
