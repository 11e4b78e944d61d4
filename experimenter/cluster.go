package experimenter

import (
	"context"
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/injector"
)

// Cluster is the system under test: its entry and control hosts. Hosts are named DATACENTRE/NUMBER.
type Cluster interface {
	// Start starts all hosts. The experimenter itself waits until callers are served.
	Start(ctx context.Context) error
	// Close ends all hosts.
	Close() error
	// Hosts lists all hosts, running or not. Their addresses never change.
	Hosts() []Host
	// Leader names the host that leads the control group; empty if the system has none.
	Leader() string
	// Ready reports whether a host takes callers' requests, as the platform's balancer sees it.
	Ready(ctx context.Context, host string) bool

	StartHost(ctx context.Context, host string) error
	// StopHost makes a planned stop; KillHost ends the host as if its process were lost.
	StopHost(ctx context.Context, host string) error
	KillHost(host string) error
	// PauseHost pauses a host while its connections stay open, or resumes it.
	PauseHost(host string, paused bool) error

	// Takeout takes a data centre or a target out of service, and Restore brings it back; exactly one of the two is
	// named. They return when the system has accepted the change.
	Takeout(ctx context.Context, dataCentre, target string) error
	Restore(ctx context.Context, dataCentre, target string) error
	// Apply submits the configuration with the content of the given variant, provided that expect is the version in
	// force. It returns the version under which this content was accepted, or ErrConflict if another configuration was.
	Apply(ctx context.Context, expect uint64, variant int) (uint64, error)
	// Versions returns the version in force at each running host.
	Versions(ctx context.Context) map[string]uint64
	// Violations counts the invariant violations that the program's own assertions found.
	Violations() int64
}

// Host is one host of a Cluster.
type Host struct {
	Name       string
	DataCentre string
	Control    bool
	Entry      netip.AddrPort
	Announce   netip.AddrPort
}

// Setup describes the deployment that a Cluster runs, with its network, data folder and seed.
type Setup struct {
	Deployment  string
	DataCentres []string
	// HostsEach is the number of hosts of each data centre.
	HostsEach int
	Services  []configurer.Service
	// Token is the targets' bearer token.
	Token string
	// Network is the emulated network, with a link for each pair of processes. Hosts dial through it under their own
	// names.
	Network *injector.Injector
	// Folder is an empty folder for the hosts' data.
	Folder string
	Seed   uint64
}

// deployments returns the users' deployments by name, with the services of their base files.
func deployments() map[string]Setup {
	tally := configurer.DefaultService("tally")
	tally.Keyed = true
	tally.Ownership.CutOffHold = time.Hour
	tally.Rebalance = configurer.Rebalance{
		MoveBudget:    4,
		MoveWindow:    time.Minute,
		ImbalanceHigh: 2,
		ImbalanceLow:  1.3,
		ChurnWeight:   0.02,
	}
	payroll := configurer.DefaultService("payroll")
	payroll.Deadline = 5 * time.Second
	dealer := configurer.DefaultService("dealerDesk")
	dealer.Keyed = true
	dealer.KeySource = "path:1"
	dealer.Deadline = time.Second
	dealer.Ownership.CutOffHold = 2 * time.Minute
	dealer.Ownership.HandoverWait = 250 * time.Millisecond
	dealer.Rebalance = configurer.Rebalance{
		MoveBudget:    32,
		MoveWindow:    time.Minute,
		ImbalanceHigh: 1.3,
		ImbalanceLow:  1.1,
		ChurnWeight:   0.002,
	}
	workshop := configurer.DefaultService("workshopDesk")
	workshop.Deadline = time.Second
	return map[string]Setup{
		"zbiorka": {
			Deployment:  "zbiorka",
			DataCentres: []string{"krakow", "katowice", "rzeszow", "bielsko"},
			HostsEach:   2,
			Services:    []configurer.Service{tally, payroll},
		},
		"aebischer": {
			Deployment:  "aebischer",
			DataCentres: []string{"luzern", "zug", "schwyz", "altdorf"},
			HostsEach:   2,
			Services:    []configurer.Service{dealer, workshop},
		},
	}
}
