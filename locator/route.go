// Package locator is the routing table of an entry host: the owner of each slot of a keyed service, and the pool of
// targets of each shared service. Tables are immutable, and a new one is published atomically.
package locator

import (
	"net/netip"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
)

// Route is the destination of the requests for one slot, or for one target of a shared service.
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
	// Local is true if this host is the dispatching host. Lease is then the lease of the target: no request is sent to
	// the target unless the lease is valid.
	Local bool
	Lease *leaser.SharedHolder
	// Releasing is true while the slot is being handed over or after it was given up: its owner accepts no new requests.
	Releasing bool
	// OutOfService is true if the target is draining, or operators have taken it or its data centre out of service.
	OutOfService bool
}

// Table is the part of a Locator for one service.
type Table struct {
	Service string
	Keyed   bool
	Keyer   keyer.Keyer
	// Owners maps each slot to the index of its route in Routes, or to -1 if the slot has no owner. Sharing one Route
	// among all slots of the same target and epoch keeps the size of a slot at four bytes.
	Owners []int32
	Routes []Route
	// Hot maps each hot key to the index of its route. It takes precedence over the owner of the key's slot.
	Hot map[string]int32
}
