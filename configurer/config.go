// Package configurer holds the merged configuration of one deployment as domain types.
//
// The types carry no tags; packages parser, merger and checker make them from the base file and the overlays.
package configurer

import "time"

// Config is the merged configuration of one data centre: the base file with the overlay of its site. A Config is
// immutable once it is published.
type Config struct {
	// Version is the number under which the configuration was accepted, from one. Zero means none.
	Version uint64
	// Digest is the hexadecimal xxhash64 digest of the base file and all overlays.
	Digest      string
	Deployment  string
	Region      string
	Timing      Timing
	DataCentres []string
	Services    []Service
}

// Service returns the service called name.
func (c *Config) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// HoldBound returns the greatest cutOffHold of the keyed services. An authority that is cut off and the control leader
// that waits for it have to use the same bound.
func (c *Config) HoldBound() time.Duration {
	var bound time.Duration
	for i := range c.Services {
		if svc := &c.Services[i]; svc.Keyed {
			bound = max(bound, svc.Ownership.CutOffHold)
		}
	}
	return bound
}

// Timing holds the lengths of leases and the intervals of control messages.
type Timing struct {
	// Heartbeat is the interval at which targets and hosts ask for their leases.
	Heartbeat time.Duration
	// DispatchLease bounds the time for which a host may send to a target after it last heard from the authority.
	DispatchLease time.Duration
	// AuthorityLease bounds the time for which an authority may grant after it last heard from the control leader.
	AuthorityLease time.Duration
	// ElectionTimeout is the shortest election timeout; each voter adds a random share of up to the same again.
	ElectionTimeout time.Duration
	// StopWait bounds how long a host that stops waits for its requests in progress.
	StopWait time.Duration
	// BalancerWait is how long a host that stops goes on accepting after its readiness went off, so that the
	// platform's balancer sees it first.
	BalancerWait time.Duration
}

// DefaultTiming holds the default of each setting of section [timing].
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:       150 * time.Millisecond,
		DispatchLease:   600 * time.Millisecond,
		AuthorityLease:  650 * time.Millisecond,
		ElectionTimeout: 300 * time.Millisecond,
		StopWait:        30 * time.Second,
		BalancerWait:    2 * time.Second,
	}
}
