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

// buildKey identifies what the present Locator was built from.
type buildKey struct {
	state       *applier.State
	config      *configurer.Config
	directories string
	connected   string
}

// build publishes a new Locator when something that it depends on has changed.
func (t *Tracker) build() {
	cfg, st := t.tick.Config, t.tick.State
	if cfg == nil || st == nil {
		return
	}
	key := buildKey{
		state:  st,
		config: cfg,
	}
	for _, name := range slices.Sorted(maps.Keys(t.tick.Directories)) {
		key.directories += name + fencer.Epoch(t.tick.Directories[name].Version).String()
	}
	for _, name := range t.tick.Connected {
		key.connected += name + " "
	}
	if !t.dirty && key == t.built {
		return
	}
	t.dirty = false
	t.built = key
	if old := t.current.Load(); old != nil {
		asserter.Check(cfg.Version >= old.ConfigVersion, asserter.ConfigurationForward,
			"configuration %d after %d", cfg.Version, old.ConfigVersion)
	}
	var tables []*locator.Table
	for i := range cfg.Services {
		if table := t.table(&cfg.Services[i]); table != nil {
			tables = append(tables, table)
		}
	}
	t.current.Store(locator.New(t.version, cfg.Version, tables))
}

func (t *Tracker) table(svc *configurer.Service) *locator.Table {
	table := &locator.Table{
		Service: svc.Name,
		Keyed:   svc.Keyed,
	}
	if !svc.Keyed {
		table.Routes = t.pool(svc)
		return table
	}
	k, err := keyer.New(svc.KeySource, svc.Slots)
	if err != nil {
		return nil
	}
	table.Keyer = k
	table.Owners = make([]int32, svc.Slots)
	numbers := make(map[locator.Route]int32)
	for i := range table.Owners {
		r, ok := t.owner(svc, i)
		if !ok {
			table.Owners[i] = -1
			continue
		}
		n, known := numbers[r]
		if !known {
			n = int32(len(table.Routes))
			numbers[r] = n
			table.Routes = append(table.Routes, r)
		}
		table.Owners[i] = n
	}
	return table
}

// owner returns the route of one slot: from the table of this data centre, else from the replicated state.
func (t *Tracker) owner(svc *configurer.Service, i int) (locator.Route, bool) {
	recorded, _ := t.tick.State.Slots[svc.Name].Entry(keyer.Slot(i))
	if recorded.DataCentre != t.DataCentre {
		return t.remote(svc, recorded)
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
	r := t.route(tg)
	r.Epoch = e.epoch
	// A slot that was given up is closed to new requests in the same way as one that is handed over.
	r.Releasing = e.releasing || e.givenUp
	return r, true
}

// route returns the route of a target of this data centre.
func (t *Tracker) route(tg *target) locator.Route {
	host, _ := t.hostRecord(tg.Host)
	r := locator.Route{
		Target:       tg.Name,
		Incarnation:  tg.Incarnation,
		DataCentre:   t.DataCentre,
		Host:         tg.Host,
		Peer:         host.Peer,
		OutOfService: tg.OutOfService || tg.Draining || t.tick.State.DataCentres[t.DataCentre].Out,
	}
	if tg.local {
		r.Addr = tg.Addr
		r.Local = true
		r.Lease = tg.lease
	}
	return r
}

// remote returns the route of a slot of another data centre. Without a directory entry any connected host of that data
// centre takes the request and forwards it once more.
func (t *Tracker) remote(svc *configurer.Service, e applier.SlotEntry) (locator.Route, bool) {
	if e.DataCentre == "" || e.Target == "" {
		return locator.Route{}, false
	}
	r := locator.Route{
		Target:       e.Target,
		DataCentre:   e.DataCentre,
		Epoch:        e.Epoch,
		OutOfService: t.tick.State.DataCentres[e.DataCentre].Out,
	}
	for _, a := range t.tick.Directories[e.DataCentre].Targets {
		if a.Name == e.Target && a.Service == svc.Name {
			r.Host = a.Host
			r.Incarnation = a.Incarnation
		}
	}
	if host, ok := t.hostRecord(r.Host); ok {
		r.Peer = host.Peer
		return r, true
	}
	host, ok := t.anyHost(e.DataCentre, e.Target)
	r.Host, r.Peer = host.Name, host.Peer
	return r, ok
}

// anyHost picks a host of a data centre for a target, evenly by the target's name.
func (t *Tracker) anyHost(dc, target string) (applier.Host, bool) {
	var hosts, connected []applier.Host
	for _, h := range t.tick.State.Hosts {
		if h.DataCentre != dc {
			continue
		}
		hosts = append(hosts, h)
		if slices.Contains(t.tick.Connected, h.Name) {
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

// pool returns the routes of all targets of a shared service in all data centres.
func (t *Tracker) pool(svc *configurer.Service) []locator.Route {
	var routes []locator.Route
	for key, tg := range t.targets {
		if key.service == svc.Name && tg.Host != "" {
			routes = append(routes, t.route(tg))
		}
	}
	for _, d := range t.tick.Directories {
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
				OutOfService: a.OutOfService || a.Draining || t.tick.State.DataCentres[d.DataCentre].Out,
			})
		}
	}
	slices.SortFunc(routes, func(a, b locator.Route) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Target, b.Target))
	})
	return routes
}

func (t *Tracker) hostRecord(name string) (applier.Host, bool) {
	if t.tick.State == nil || name == "" {
		return applier.Host{}, false
	}
	h, ok := t.tick.State.Hosts[name]
	return h, ok
}
