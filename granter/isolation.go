package granter

import (
	"maps"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
)

// promise is what a host of the in-sync set promised: to take part in no other authority for a while.
type promise struct {
	holder leaser.Holder
	asked  time.Time
}

// granting reports whether this authority may grant: it holds the authority lease, or every other host of the in-sync
// set has promised to take part in no other authority.
func (g *Granter) granting() bool {
	return g.index != 0 && (g.lease.Valid(g.now) || g.isolated())
}

// isolated reports whether this authority may go on without the control leader.
func (g *Granter) isolated() bool {
	if g.contact.IsZero() || !g.now.Before(g.contact.Add(g.config.HoldBound())) {
		return false
	}
	for name := range g.inSync() {
		if p, ok := g.promises[name]; !ok || !p.holder.Valid(g.now) {
			return false
		}
	}
	return true
}

// inSync returns the other hosts that the control leader may name as authority: those of the committed in-sync set and
// of a set that is on its way to the log.
func (g *Granter) inSync() map[string]uint64 {
	dc := g.state.DataCentres[g.DataCentre]
	set := make(map[string]uint64)
	if dc.AuthorityIndex == g.index {
		maps.Copy(set, dc.InSync)
	}
	maps.Copy(set, g.syncing)
	delete(set, g.Host)
	return set
}

// askPromises asks each host of the in-sync set for a promise when the control leader is out of reach.
func (g *Granter) askPromises() {
	if g.lease.Valid(g.now) || g.contact.IsZero() || !g.now.Before(g.contact.Add(g.config.HoldBound())) {
		return
	}
	set := g.inSync()
	for _, name := range sortedKeys(set) {
		p := g.promises[name]
		if g.now.Sub(p.asked) < g.config.Timing.Heartbeat {
			continue
		}
		p.asked = g.now
		g.promises[name] = p
		g.emit(PromiseMsg{
			Host:           name,
			Incarnation:    set[name],
			DataCentre:     g.DataCentre,
			AuthorityIndex: g.index,
			Asked:          g.now,
			Hold:           g.config.HoldBound(),
		})
	}
	g.endHolds()
}

// endHolds releases the slots of services whose hold has passed without the control leader.
func (g *Granter) endHolds() {
	for _, name := range sortedKeys(g.tables) {
		tab := g.tables[name]
		if g.now.Before(g.holdOf(tab.service)) {
			continue
		}
		for i := range tab.slots {
			if s := &tab.slots[i]; s.phase == serving {
				g.release(s, nil)
			}
		}
	}
}

func (g *Granter) promised(m PromiseMsg) {
	p, ok := g.promises[m.Host]
	if !ok || m.AuthorityIndex != g.index || !m.Granted {
		return
	}
	p.holder.Renewed(m.Asked, m.Hold)
	g.promises[m.Host] = p
}

// releasePromise tells a host that it may take part in another authority again.
func (g *Granter) releasePromise(name string) {
	delete(g.promises, name)
	g.emit(PromiseMsg{
		Host:           name,
		DataCentre:     g.DataCentre,
		AuthorityIndex: g.index,
		Asked:          g.now,
	})
}

// activatePrepared makes assignments effective that every host of the in-sync set has acknowledged.
func (g *Granter) activatePrepared(tab *table) {
	known := g.version
	for name, incarnation := range g.inSync() {
		h, ok := g.hosts[name]
		if !ok || h.incarnation != incarnation {
			return
		}
		known = min(known, h.tableVersion)
	}
	for i := range tab.slots {
		if s := &tab.slots[i]; s.phase == prepared && s.version <= known {
			g.activate(tab, keyer.Slot(i))
		}
	}
}

// syncHosts proposes the in-sync set: the hosts that have this authority's table and report.
func (g *Granter) syncHosts() {
	dc := g.state.DataCentres[g.DataCentre]
	if g.syncDone && maps.Equal(g.syncing, dc.InSync) {
		g.syncing, g.syncDone = nil, false
	}
	if !g.lease.Valid(g.now) || g.syncing != nil {
		return
	}
	want := map[string]uint64{
		g.Host: g.Incarnation,
	}
	for name, h := range g.hosts {
		if name == h.name && g.live(name) && h.tableVersion > g.index<<32 {
			if r, ok := g.state.Hosts[name]; ok && r.Incarnation == h.incarnation {
				want[name] = h.incarnation
			}
		}
	}
	if dc.AuthorityIndex != g.index || maps.Equal(want, dc.InSync) {
		return
	}
	g.syncing = want
	g.propose(applier.Command{
		SetInSync: &applier.SetInSyncMsg{
			DataCentre:     g.DataCentre,
			AuthorityIndex: g.index,
			InSync:         want,
		},
	})
}

// synced takes the result of a proposed in-sync set. An accepted set counts until the state of this host shows it.
func (g *Granter) synced(ok bool) {
	g.syncDone = ok
	if !ok {
		g.syncing = nil
	}
}
