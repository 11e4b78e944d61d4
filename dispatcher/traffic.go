package dispatcher

import "bramleyline.example/bramleyline/reporter"

var _ reporter.Traffic = (*Dispatcher)(nil)

// Loads returns what was sent since the last call.
func (d *Dispatcher) Loads() []reporter.LoadMsg {
	lanes := *d.lanes.Load()
	loads := make([]reporter.LoadMsg, 0, len(lanes))
	for id, l := range lanes {
		l.mu.Lock()
		m := reporter.LoadMsg{
			Service:  id.service,
			Target:   id.target,
			InFlight: l.inFlight,
			Requests: l.requests,
		}
		l.requests = nil
		l.mu.Unlock()
		if l.sketch != nil {
			m.HotKeys = l.sketch.Top()
		}
		loads = append(loads, m)
	}
	return loads
}

// Suspects returns the suspect requests known to this host.
func (d *Dispatcher) Suspects() []reporter.SuspectMsg {
	return nil
}

// Learn adds the suspect requests of other hosts.
func (d *Dispatcher) Learn([]reporter.SuspectMsg) {}

// Lost says that a target's lease lapsed or that it returned with a new incarnation.
func (d *Dispatcher) Lost(service, target string, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := laneID{
		service:     service,
		target:      target,
		incarnation: incarnation,
	}
	old := *d.lanes.Load()
	if _, ok := old[id]; !ok {
		return
	}
	lanes := make(map[laneID]*lane, len(old))
	for k, v := range old {
		if k != id {
			lanes[k] = v
		}
	}
	d.lanes.Store(&lanes)
}
