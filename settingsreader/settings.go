// Package settingsreader reads the settings of one host.
package settingsreader

import (
	"net/netip"
)

// Settings are what a host process learns from its settings file.
type Settings struct {
	// File is where the settings were read from.
	File       string
	Name       string
	DataCentre string
	Roles      Roles
	// DataFolder holds the log of a control host; empty on a host without a disk.
	DataFolder string
	LogLevel   string
	LogFormat  string
	Listen     Listen
	// Voters are the control hosts that form the first control group, and Hosts the addresses of other hosts from which
	// state may be pulled; both map a name to the host's rpc address.
	Voters map[string]netip.AddrPort
	Hosts  map[string]netip.AddrPort
	// Translation maps an address that other hosts announce to the one at which this host reaches it, for networks with
	// address translation between data centres.
	Translation map[netip.AddrPort]netip.AddrPort
	Keys        Keys
	TLS         TLS
	// Direct has the settings of direct dispatch; nil on a host that dispatches through dispatching hosts.
	Direct *Direct
}

// Roles are the parts that a host plays.
type Roles struct {
	Entry   bool
	Control bool
}

// Listen has the addresses of a host. A port of zero picks a free one.
type Listen struct {
	// Caller takes callers' requests, Peer forwarded requests, RPC the system's messages, Announce targets' heartbeats
	// and Operator operators' commands and the status page.
	Caller   netip.AddrPort
	Peer     netip.AddrPort
	RPC      netip.AddrPort
	Announce netip.AddrPort
	Operator netip.AddrPort
}

// Keys are the secrets of a host. They are compared in constant time and never logged.
type Keys struct {
	System   string
	Target   string
	Operator string
}

// TLS names the files of a host's certificate; all empty means plain TCP.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}
