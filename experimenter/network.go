package experimenter

import (
	"time"

	"bramleyline.example/bramleyline/injector"
)

// One-way latencies and costs of the platform, from docs/design.md.
const (
	dataCentreLatency = 1500 * time.Microsecond
	callerLatency     = time.Millisecond
	connectCost       = time.Millisecond
	probeCost         = 6 * time.Millisecond
)

// callersName is the name, in the emulated network, of the callers, whose requests come through the platform's
// balancer.
const callersName = "caller/1"

// network is the emulated network: an injector with the platform's latencies. Processes are named DATACENTRE/NAME.
type network struct {
	*injector.Injector
	dataCentres []string
}

func newNetwork(dataCentres []string) (*network, error) {
	n := &network{
		Injector: &injector.Injector{
			Connect: connectCost,
		},
		dataCentres: dataCentres,
	}
	for i, a := range dataCentres {
		if err := n.Set("caller/*", a+"/*", injector.Fault{Delay: callerLatency}); err != nil {
			return nil, err
		}
		if err := n.Set(a+"/*", "caller/*", injector.Fault{Delay: callerLatency}); err != nil {
			return nil, err
		}
		for _, b := range dataCentres[i+1:] {
			if err := n.setLinks(a, b, false); err != nil {
				return nil, err
			}
		}
	}
	return n, nil
}

// setLinks sets the latency of the links between two data centres, and whether they are cut silently. Callers still
// reach both.
func (n *network) setLinks(a, b string, cut bool) error {
	f := injector.Fault{
		Delay: dataCentreLatency,
		Cut:   cut,
	}
	if err := n.Set(a+"/*", b+"/*", f); err != nil {
		return err
	}
	return n.Set(b+"/*", a+"/*", f)
}

// partition cuts a data centre off from all others, or reconnects it.
func (n *network) partition(dataCentre string, cut bool) error {
	for _, other := range n.dataCentres {
		if other == dataCentre {
			continue
		}
		if err := n.setLinks(dataCentre, other, cut); err != nil {
			return err
		}
	}
	return nil
}
