package granter

import (
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/reporter"
)

// phase says where a slot is on its way from one owner to the next.
type phase uint8

const (
	// free: nobody holds the slot; it may be assigned from freeAt on.
	free phase = iota
	// serving: owner holds the slot.
	serving
	// releasing: owner finishes the requests in progress and takes no new one.
	releasing
	// proposing: the assignment to the next owner waits to be committed in the log.
	proposing
	// prepared: the assignment waits for the acknowledgement of the in-sync set, in isolated mode.
	prepared
	// yielded: the slot was given back and waits for a new delegation.
	yielded
	// elsewhere: the slot is delegated to another data centre.
	elsewhere
)

// slot is the authority's view of one slot of a keyed service.
type slot struct {
	phase phase
	owner *target
	to    *target
	// name is the recorded owner, whose next incarnation gets the slot first.
	name    string
	epoch   fencer.Epoch
	version uint64
	freeAt  time.Time
	// delegatedAt is the log index of the delegation.
	delegatedAt uint64
	// givenUp says that the predecessor's dispatching host reported the slot as given up.
	givenUp bool
	// unlogged says that the assignment was made in isolated mode and is not in the log yet.
	unlogged bool
}

// table holds the slots of one service.
type table struct {
	service     *configurer.Service
	slots       []slot
	source      *applier.SlotTable
	loads       []float64
	loadAt      time.Time
	yield       map[keyer.Slot]struct{}
	rebalancing bool
	moved       []time.Time
	passed      pass
}

func (t *table) setYield(slots []keyer.Slot) {
	if len(slots) > 0 || len(t.yield) > 0 {
		t.passed = pass{}
	}
	t.yield = make(map[keyer.Slot]struct{}, len(slots))
	for _, s := range slots {
		t.yield[s] = struct{}{}
	}
}

func (t *table) addLoad(l reporter.LoadMsg) {
	for s, n := range l.Requests {
		if int(s) < len(t.loads) {
			t.loads[s] += float64(n)
		}
	}
}

// released marks slots that the host of a predecessor's target reported as given up.
func (t *table) released(target string, slots []keyer.Slot) {
	for _, s := range slots {
		if int(s) < len(t.slots) && t.slots[s].name == target {
			t.slots[s].givenUp = true
		}
	}
}

// loadTables reads the recorded owners, and what the predecessor changed in isolated mode.
func (g *Granter) loadTables() {
	for i := range g.config.Services {
		if svc := &g.config.Services[i]; svc.Keyed {
			g.loadTable(svc)
		}
	}
	if g.Known == nil {
		return
	}
	known := g.Known()
	if known == nil {
		return
	}
	for _, a := range known.Slots {
		t, ok := g.tables[a.Service]
		if !ok || int(a.Slot) >= len(t.slots) || a.HotKey != "" {
			continue
		}
		if s := &t.slots[a.Slot]; a.Epoch > s.epoch && s.phase != elsewhere {
			s.name, s.epoch = a.Target, a.Epoch
		}
	}
}

func (g *Granter) loadTable(svc *configurer.Service) {
	t := &table{
		service: svc,
		slots:   make([]slot, svc.Slots),
		loads:   make([]float64, svc.Slots),
		loadAt:  g.now,
	}
	for i := range t.slots {
		t.slots[i].phase = elsewhere
	}
	g.tables[svc.Name] = t
	g.readDelegations(t)
}

// readDelegations follows the log: slots that were delegated to this data centre, and those that went elsewhere.
func (g *Granter) readDelegations(t *table) {
	source := g.state.Slots[t.service.Name]
	if source == nil || source == t.source {
		return
	}
	t.source = source
	for i := range t.slots {
		e, _ := source.Entry(keyer.Slot(i))
		s := &t.slots[i]
		switch {
		case e.DataCentre != g.DataCentre:
			if s.phase != elsewhere {
				*s = slot{
					phase:   elsewhere,
					version: g.bump(s.version),
				}
			}
		case s.phase == elsewhere || s.phase == yielded && e.Epoch >= s.epoch && !given(e):
			*s = slot{
				phase:       free,
				name:        e.Target,
				epoch:       e.Epoch,
				version:     s.version,
				delegatedAt: e.DelegatedAt,
			}
			if given(e) {
				s.phase = yielded
			}
		default:
			// A delegation that was renewed meanwhile raises the least epoch that the log accepts.
			s.delegatedAt = max(s.delegatedAt, e.DelegatedAt)
			if s.phase == free && given(e) {
				s.phase = yielded
			}
		}
	}
}

// given reports whether the slot was given back to the control leader and not delegated again since. Only a new
// delegation makes it assignable, because the leader may be delegating it elsewhere at this moment.
func given(e applier.SlotEntry) bool {
	return e.Target == "" && e.Epoch != 0 && e.DelegatedAt <= uint64(e.Epoch.Index())
}

// confirm keeps the slots whose owner was reported with a live lease; nobody holds the others any more.
func (g *Granter) confirm(t *table) {
	for i := range t.slots {
		s := &t.slots[i]
		if s.phase != free || s.name == "" {
			continue
		}
		owner := g.targets[targetKey{
			service: t.service.Name,
			name:    s.name,
		}]
		s.version = g.version
		if owner == nil || owner.host == "" && len(owner.former) == 0 || s.givenUp {
			s.freeAt = g.now.Add(unchecked(t.service))
			continue
		}
		s.phase = serving
		s.owner = owner
	}
}

// unchecked returns the additional wait before a slot of targets that do not check epochs is free.
func unchecked(svc *configurer.Service) time.Duration {
	if svc.Ownership.ChecksEpoch {
		return 0
	}
	return svc.Ownership.UncheckedWait
}

// released frees the slots that the dispatching host of t reported as given up, if it knew the newest version of them.
func (g *Granter) released(tab *table, t *target, version uint64, slots []keyer.Slot) {
	for _, n := range slots {
		if int(n) >= len(tab.slots) {
			continue
		}
		s := &tab.slots[n]
		if s.owner == t && s.version <= version && (s.phase == serving || s.phase == releasing) {
			g.free(tab, s)
		}
	}
}

// free records that nobody holds the slot any more.
func (g *Granter) free(tab *table, s *slot) {
	s.phase = free
	s.owner = nil
	s.freeAt = g.now.Add(unchecked(tab.service))
	s.version = g.next()
}

// release asks the owner of a slot to give it up, for the next owner or, without one, for any.
func (g *Granter) release(s *slot, to *target) {
	s.to = to
	if s.phase == serving {
		s.phase = releasing
		s.version = g.next()
	}
}
