package dispatcher

import (
	"time"

	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/reporter"
)

var _ reporter.Traffic = (*Dispatcher)(nil)

// Loads returns the traffic to each target since the last call. As the tracker calls it with each heartbeat, it also
// removes idle lanes of targets that have left the routing table, and closes connections that have been idle for long.
func (d *Dispatcher) Loads() []reporter.LoadMsg {
	lanes := *d.lanes.Load()
	loads := make([]reporter.LoadMsg, 0, len(lanes))
	var unlisted []laneID
	for id, l := range lanes {
		l.mu.Lock()
		m := reporter.LoadMsg{
			Service:  id.service,
			Target:   id.target,
			InFlight: l.inFlight,
			Requests: l.requests,

			Incarnation: id.incarnation,
			LimitHeard:  l.rate.heard,
			Limited:     l.rate.limit != nil,
		}
		if m.Limited {
			m.Limit = *l.rate.limit
		}
		idle := l.inFlight == 0 && l.queue.len() == 0 && len(l.requests) == 0
		l.requests = nil
		l.mu.Unlock()
		m.HotKeys = l.hotKeys()
		if idle && !d.listed(id) {
			unlisted = append(unlisted, id)
		}
		loads = append(loads, m)
	}
	d.removeLanes(unlisted)
	d.opts.Sender.Trim(time.Now())
	return loads
}

// listed reports whether the current routing table names this host as the dispatcher of the target's incarnation.
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

func (d *Dispatcher) removeLanes(ids []laneID) {
	if len(ids) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := *d.lanes.Load()
	lanes := make(map[laneID]*lane, len(old))
	for id, l := range old {
		lanes[id] = l
	}
	for _, id := range ids {
		delete(lanes, id)
	}
	d.lanes.Store(&lanes)
}

// Suspects returns the suspect requests known to this host.
func (d *Dispatcher) Suspects() []reporter.SuspectMsg {
	return d.opts.Quarantiner.Suspects(time.Now())
}

// AddSuspects adds the suspect requests that other hosts reported.
func (d *Dispatcher) AddSuspects(suspects []reporter.SuspectMsg) {
	d.opts.Quarantiner.AddSuspects(suspects, time.Now())
}

// Lost records that the lease of a target expired or that the target restarted as a new incarnation. Queued requests
// are refused, so that their router retries with the new owner.
func (d *Dispatcher) Lost(service, target string, incarnation uint64) {
	d.opts.Quarantiner.Lost(service, target, incarnation, time.Now())
	id := laneID{
		service:     service,
		target:      target,
		incarnation: incarnation,
	}
	if l, ok := (*d.lanes.Load())[id]; ok {
		l.refuseWaiters()
	}
}

// Load returns the number of requests that are in progress at the target of route or queued for it.
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
