package dispatcher

import (
	"time"

	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/reporter"
)

var _ reporter.Traffic = (*Dispatcher)(nil)

// Loads returns what was sent since the last call, and forgets idle lanes of targets that the table no longer has.
func (d *Dispatcher) Loads() []reporter.LoadMsg {
	lanes := *d.lanes.Load()
	loads := make([]reporter.LoadMsg, 0, len(lanes))
	var gone []laneID
	for id, l := range lanes {
		l.mu.Lock()
		m := reporter.LoadMsg{
			Service:  id.service,
			Target:   id.target,
			InFlight: l.inFlight,
			Requests: l.requests,
		}
		idle := l.inFlight == 0 && l.queue.len() == 0 && len(l.requests) == 0
		l.requests = nil
		l.mu.Unlock()
		m.HotKeys = l.hot()
		if idle && !d.listed(id) {
			gone = append(gone, id)
		}
		loads = append(loads, m)
	}
	d.forget(gone)
	return loads
}

// listed reports whether the current table has the target at this host.
func (d *Dispatcher) listed(id laneID) bool {
	table, ok := d.opts.Locator.Load().Table(id.service)
	if !ok {
		return false
	}
	for i := range table.Routes {
		if r := &table.Routes[i]; r.Local && r.Target == id.target && r.Incarnation == id.incarnation {
			return true
		}
	}
	return false
}

func (d *Dispatcher) forget(gone []laneID) {
	if len(gone) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := *d.lanes.Load()
	lanes := make(map[laneID]*lane, len(old))
	for id, l := range old {
		lanes[id] = l
	}
	for _, id := range gone {
		delete(lanes, id)
	}
	d.lanes.Store(&lanes)
}

// Suspects returns the suspect requests known to this host.
func (d *Dispatcher) Suspects() []reporter.SuspectMsg {
	return d.opts.Quarantiner.Suspects(time.Now())
}

// Learn adds the suspect requests of other hosts.
func (d *Dispatcher) Learn(suspects []reporter.SuspectMsg) {
	d.opts.Quarantiner.Learn(suspects, time.Now())
}

// Lost says that a target's lease lapsed or that it returned with a new incarnation. Requests that wait for it are
// turned away, so that their router finds the new owner.
func (d *Dispatcher) Lost(service, target string, incarnation uint64) {
	d.opts.Quarantiner.Lost(service, target, incarnation, time.Now())
	id := laneID{
		service:     service,
		target:      target,
		incarnation: incarnation,
	}
	if l, ok := (*d.lanes.Load())[id]; ok {
		l.abandon()
	}
}

// Load returns the number of requests in progress at the target of route and waiting for it.
func (d *Dispatcher) Load(service string, route *locator.Route) int {
	id := laneID{
		service:     service,
		target:      route.Target,
		incarnation: route.Incarnation,
	}
	if l, ok := (*d.lanes.Load())[id]; ok {
		return l.load()
	}
	return 0
}
