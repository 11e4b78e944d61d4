// Package configurer defines the merged configuration of a deployment as plain Go types, with the default of each
// setting.
//
// The types carry no struct tags; packages parser, merger and checker build them from the base file and the overlays.
package configurer

import "time"

// Config is the merged configuration of one data centre: the base file with the overlay of its site. A Config is
// immutable once it is published.
type Config struct {
	// Version is the number under which the configuration was accepted, counted from one. Zero means none.
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

// MaxCutOffHold returns the longest CutOffHold of the keyed services. An authority that is cut off grants for at most
// this time, and the control leader waits for at least as long before it replaces an authority that may still grant:
// both must use the same bound.
func (c *Config) MaxCutOffHold() time.Duration {
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
	// Heartbeat is the interval at which targets and hosts renew their leases.
	Heartbeat time.Duration
	// DispatchLease bounds the time for which a host may send requests to a target after its last contact with the
	// authority.
	DispatchLease time.Duration
	// AuthorityLease bounds the time for which an authority may grant after its last contact with the control leader.
	AuthorityLease time.Duration
	// ElectionTimeout is the minimum election timeout; each voter adds a random time of at most the same length.
	ElectionTimeout time.Duration
	// StopWait bounds the wait for requests in progress during a planned stop of a host.
	StopWait time.Duration
	// BalancerWait is the time for which a host in a planned stop still accepts requests after it has reported itself
	// not ready, so that the platform's load balancer notices that first.
	BalancerWait time.Duration
}

// DefaultTiming returns the default of each setting of section [timing].
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
