package tracker

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/locator"
)

// locatorInputs identifies what a Locator was built from, other than the table of this data centre.
type locatorInputs struct {
	state       *applier.State
	config      *configurer.Config
	directories string
	connected   string
}

// updateLocator publishes a new Locator if any of its inputs has changed.
func (t *Tracker) updateLocator() {
	cfg, st := t.lastTick.Config, t.lastTick.State
	if cfg == nil || st == nil {
		return
	}
	inputs := locatorInputs{
		state:  st,
		config: cfg,
	}
	for _, name := range slices.Sorted(maps.Keys(t.lastTick.Directories)) {
		inputs.directories += name + fencer.Epoch(t.lastTick.Directories[name].Version).String()
	}
	for _, name := range t.lastTick.Connected {
		inputs.connected += name + " "
	}
	if !t.dirty && inputs == t.built {
		return
	}
	t.dirty = false
	t.built = inputs
	if old := t.current.Load(); old != nil {
		asserter.Check(cfg.Version >= old.ConfigVersion, asserter.ConfigurationForward,
			"configuration %d after %d", cfg.Version, old.ConfigVersion)
	}
	var tables []*locator.Table
	for i := range cfg.Services {
		if table := t.buildTable(&cfg.Services[i]); table != nil {
			tables = append(tables, table)
		}
	}
	t.current.Store(locator.New(t.tableVersion, cfg.Version, tables))
}

// buildTable returns the routing table of one service, nil if its key source is not valid.
func (t *Tracker) buildTable(svc *configurer.Service) *locator.Table {
	table := &locator.Table{
		Service: svc.Name,
		Keyed:   svc.Keyed,
	}
	if !svc.Keyed {
		table.Routes = t.poolRoutes(svc)
		return table
	}
	k, err := keyer.New(svc.KeySource, svc.Slots)
	if err != nil {
		return nil
	}
	table.Keyer = k
	table.Owners = make([]int32, svc.Slots)
	routeIndexes := make(map[locator.Route]int32)
	for i := range table.Owners {
		r, ok := t.ownerRoute(svc, i)
		if !ok {
			table.Owners[i] = -1
			continue
		}
		n, known := routeIndexes[r]
		if !known {
			n = int32(len(table.Routes))
			routeIndexes[r] = n
			table.Routes = append(table.Routes, r)
		}
		table.Owners[i] = n
	}
	return table
}

// ownerRoute returns the route of slot i. It comes from this data centre's table if the slot is delegated to this data
// centre, else from the replicated state.
func (t *Tracker) ownerRoute(svc *configurer.Service, i int) (locator.Route, bool) {
	stateEntry, _ := t.lastTick.State.Slots[svc.Name].Entry(keyer.Slot(i))
	if stateEntry.DataCentre != t.DataCentre {
		return t.remoteRoute(svc, stateEntry)
	}
	slots := t.slots[svc.Name]
	if i >= len(slots) || slots[i].target == "" {
		return locator.Route{}, false
	}
	e := slots[i]
	tg, ok := t.targets[targetKey{
		service: svc.Name,
		name:    e.target,
	}]
	if !ok {
		return locator.Route{}, false
	}
	r := t.targetRoute(tg)
	r.Epoch = e.epoch
	// A released slot takes no new requests, just like one that is being handed over.
	r.Releasing = e.releasing || e.released
	return r, true
}

// targetRoute returns the route of a target of this data centre.
func (t *Tracker) targetRoute(tg *target) locator.Route {
	host, _ := t.hostRecord(tg.Host)
	r := locator.Route{
		Target:       tg.Name,
		Incarnation:  tg.Incarnation,
		DataCentre:   t.DataCentre,
		Host:         tg.Host,
		Peer:         host.Peer,
		OutOfService: tg.OutOfService || tg.Draining || t.lastTick.State.DataCentres[t.DataCentre].Out,
	}
	if tg.local {
		r.Addr = tg.Addr
		r.Local = true
		r.Lease = tg.lease
	}
	return r
}

// remoteRoute returns the route of a slot of another data centre. Without a directory entry for its target, the route
// leads to any connected host of that data centre, which forwards the request once more.
func (t *Tracker) remoteRoute(svc *configurer.Service, e applier.SlotEntry) (locator.Route, bool) {
	if e.DataCentre == "" || e.Target == "" {
		return locator.Route{}, false
	}
	r := locator.Route{
		Target:       e.Target,
		DataCentre:   e.DataCentre,
		Epoch:        e.Epoch,
		OutOfService: t.lastTick.State.DataCentres[e.DataCentre].Out,
	}
	for _, a := range t.lastTick.Directories[e.DataCentre].Targets {
		if a.Name == e.Target && a.Service == svc.Name {
			r.Host = a.Host
			r.Incarnation = a.Incarnation
		}
	}
	if host, ok := t.hostRecord(r.Host); ok {
		r.Peer = host.Peer
		return r, true
	}
	host, ok := t.pickHost(e.DataCentre, e.Target)
	r.Host, r.Peer = host.Name, host.Peer
	return r, ok
}

// pickHost chooses a host of data centre dc by a hash of the target's name, so that targets spread evenly. It chooses
// among the hosts that are connected to the control leader, or among all hosts if none is.
func (t *Tracker) pickHost(dc, target string) (applier.Host, bool) {
	var hosts, connected []applier.Host
	for _, h := range t.lastTick.State.Hosts {
		if h.DataCentre != dc {
			continue
		}
		hosts = append(hosts, h)
		if slices.Contains(t.lastTick.Connected, h.Name) {
			connected = append(connected, h)
		}
	}
	if len(connected) > 0 {
		hosts = connected
	}
	if len(hosts) == 0 {
		return applier.Host{}, false
	}
	slices.SortFunc(hosts, func(a, b applier.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts[xxhash.Sum64String(target)%uint64(len(hosts))], true
}

// poolRoutes returns the routes to all targets of a shared service, in all data centres.
func (t *Tracker) poolRoutes(svc *configurer.Service) []locator.Route {
	var routes []locator.Route
	for key, tg := range t.targets {
		if key.service == svc.Name && tg.Host != "" {
			routes = append(routes, t.targetRoute(tg))
		}
	}
	for _, d := range t.lastTick.Directories {
		for _, a := range d.Targets {
			host, ok := t.hostRecord(a.Host)
			if a.Service != svc.Name || d.DataCentre == t.DataCentre || !ok {
				continue
			}
			routes = append(routes, locator.Route{
				Target:       a.Name,
				Incarnation:  a.Incarnation,
				DataCentre:   d.DataCentre,
				Host:         a.Host,
				Peer:         host.Peer,
				OutOfService: a.OutOfService || a.Draining || t.lastTick.State.DataCentres[d.DataCentre].Out,
			})
		}
	}
	slices.SortFunc(routes, func(a, b locator.Route) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Target, b.Target))
	})
	return routes
}

func (t *Tracker) hostRecord(name string) (applier.Host, bool) {
	if t.lastTick.State == nil || name == "" {
		return applier.Host{}, false
	}
	h, ok := t.lastTick.State.Hosts[name]
	return h, ok
}
