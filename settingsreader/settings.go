// Package settingsreader reads and validates the settings file of one host, which is an INI file. It reports each fault
// with its file and line as a finding; the settings are usable only if there are no findings.
package settingsreader

import (
	"net/netip"
)

// Settings are the content of the settings file of a host.
type Settings struct {
	// File is the path of the settings file.
	File       string
	Name       string
	DataCentre string
	Roles      Roles
	// DataFolder holds the log of a control host; empty on a host without a disk.
	DataFolder string
	LogLevel   string
	LogFormat  string
	Listen     Listen
	// Voters are the control hosts that form the first control group, and Hosts are other hosts from which the state may
	// be pulled. Both map the name of a host to its rpc address.
	Voters map[string]netip.AddrPort
	Hosts  map[string]netip.AddrPort
	// Translation maps an address that another host announces to the address at which this host reaches it, for networks
	// with address translation between data centres.
	Translation map[netip.AddrPort]netip.AddrPort
	Keys        Keys
	TLS         TLS
	// Direct are the settings of direct dispatch; nil on a host that dispatches through dispatching hosts.
	Direct *Direct
}

// Roles are the roles of a host. An entry host takes requests of callers, a control host keeps the replicated log.
type Roles struct {
	Entry   bool
	Control bool
}

// Listen are the addresses on which a host listens. Port zero picks a free port.
type Listen struct {
	// Caller is for requests of callers, Peer for requests that other hosts forward, RPC for calls between hosts, Announce
	// for heartbeats of targets, and Operator for commands of operators and the status page.
	Caller   netip.AddrPort
	Peer     netip.AddrPort
	RPC      netip.AddrPort
	Announce netip.AddrPort
	Operator netip.AddrPort
}

// Keys are the shared secrets of a host. They are compared in constant time and never logged.
type Keys struct {
	System   string
	Target   string
	Operator string
}

// TLS holds the paths of the certificate, the private key and the certificate authority of a host; all empty means
// plain TCP.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}
