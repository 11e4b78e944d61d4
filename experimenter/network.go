package experimenter

import (
	"time"

	"bramleyline.example/bramleyline/injector"
)

// One-way latencies and costs of the platform, from docs/design.md.
const (
	betweenDataCentres = 1500 * time.Microsecond
	toCallers          = time.Millisecond
	connectCost        = time.Millisecond
	probeCost          = 6 * time.Millisecond
)

// callers is the name of the callers and the balancer in the network.
const callers = "caller/1"

// network is the injector with the platform's latencies. Processes are named DATACENTRE/NAME.
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
		if err := n.Set("caller/*", a+"/*", injector.Fault{Delay: toCallers}); err != nil {
			return nil, err
		}
		if err := n.Set(a+"/*", "caller/*", injector.Fault{Delay: toCallers}); err != nil {
			return nil, err
		}
		for _, b := range dataCentres[i+1:] {
			if err := n.between(a, b, false); err != nil {
				return nil, err
			}
		}
	}
	return n, nil
}

// between sets the links of two data centres, which are cut silently or not. Callers still reach both.
func (n *network) between(a, b string, cut bool) error {
	f := injector.Fault{
		Delay: betweenDataCentres,
		Cut:   cut,
	}
	if err := n.Set(a+"/*", b+"/*", f); err != nil {
		return err
	}
	return n.Set(b+"/*", a+"/*", f)
}

// partition cuts a data centre off from all others, or ends that.
func (n *network) partition(dataCentre string, cut bool) error {
	for _, other := range n.dataCentres {
		if other == dataCentre {
			continue
		}
		if err := n.between(dataCentre, other, cut); err != nil {
			return err
		}
	}
	return nil
}
