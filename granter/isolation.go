package granter

import (
	"maps"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
)

// promise is the promise of a host of the in-sync set to take part in no other authority until its lease expires.
type promise struct {
	lease leaser.Holder
	// askedAt is the time of the last request for the promise.
	askedAt time.Time
}

// mayGrant reports whether this authority may grant: it holds the authority lease, or every other host of the in-sync
// set has promised to take part in no other authority.
func (g *Granter) mayGrant() bool {
	return g.index != 0 && (g.lease.Valid(g.now) || g.mayGrantIsolated())
}

// mayGrantIsolated reports whether this authority may grant without the authority lease: the last contact with the
// control leader is not older than the greatest cutOffHold, and the promises of all other hosts of the in-sync set are
// valid.
func (g *Granter) mayGrantIsolated() bool {
	if g.lastContact.IsZero() || !g.now.Before(g.lastContact.Add(g.config.MaxCutOffHold())) {
		return false
	}
	for name := range g.inSyncPeers() {
		if p, ok := g.promises[name]; !ok || !p.lease.Valid(g.now) {
			return false
		}
	}
	return true
}

// inSyncPeers returns the other hosts that the control leader may name as authority, with their incarnations: those of
// the committed in-sync set and of a proposed one.
func (g *Granter) inSyncPeers() map[string]uint64 {
	dc := g.state.DataCentres[g.DataCentre]
	set := make(map[string]uint64)
	if dc.AuthorityIndex == g.index {
		maps.Copy(set, dc.InSync)
	}
	maps.Copy(set, g.proposedInSync)
	delete(set, g.Host)
	return set
}

// requestPromises asks each host of the in-sync set for a promise while the control leader is unreachable.
func (g *Granter) requestPromises() {
	if g.lease.Valid(g.now) || g.lastContact.IsZero() || !g.now.Before(g.lastContact.Add(g.config.MaxCutOffHold())) {
		return
	}
	set := g.inSyncPeers()
	for _, name := range sortedKeys(set) {
		p := g.promises[name]
		if g.now.Sub(p.askedAt) < g.config.Timing.Heartbeat {
			continue
		}
		p.askedAt = g.now
		g.promises[name] = p
		g.emit(PromiseMsg{
			Host:           name,
			Incarnation:    set[name],
			DataCentre:     g.DataCentre,
			AuthorityIndex: g.index,
			Asked:          g.now,
			Hold:           g.config.MaxCutOffHold(),
		})
	}
	g.releaseAfterHold()
}

// releaseAfterHold releases the slots of services whose cutOffHold has passed since the last contact with the control
// leader.
func (g *Granter) releaseAfterHold() {
	for _, name := range sortedKeys(g.tables) {
		tab := g.tables[name]
		if g.now.Before(g.holdEnd(tab.service)) {
			continue
		}
		for i := range tab.slots {
			if s := &tab.slots[i]; s.phase == phaseServing {
				g.requestRelease(s, nil)
			}
		}
	}
}

// handlePromise records the answer of a host that was asked for a promise.
func (g *Granter) handlePromise(m PromiseMsg) {
	p, ok := g.promises[m.Host]
	if !ok || m.AuthorityIndex != g.index || !m.Granted {
		return
	}
	p.lease.Renewed(m.Asked, m.Hold)
	g.promises[m.Host] = p
}

// releasePromise releases a host from its promise, so that it may take part in another authority again.
func (g *Granter) releasePromise(name string) {
	delete(g.promises, name)
	g.emit(PromiseMsg{
		Host:           name,
		DataCentre:     g.DataCentre,
		AuthorityIndex: g.index,
		Asked:          g.now,
	})
}

// activatePrepared puts assignments of isolated mode into force that every host of the in-sync set has acknowledged.
func (g *Granter) activatePrepared(tab *table) {
	ackedVersion := g.version
	for name, incarnation := range g.inSyncPeers() {
		h, ok := g.hosts[name]
		if !ok || h.incarnation != incarnation {
			return
		}
		ackedVersion = min(ackedVersion, h.tableVersion)
	}
	for i := range tab.slots {
		if s := &tab.slots[i]; s.phase == phasePrepared && s.version <= ackedVersion {
			g.activate(tab, keyer.Slot(i))
		}
	}
}

// updateInSync proposes the in-sync set when it differs from the committed one: this host, and the live hosts that have
// this authority's table.
func (g *Granter) updateInSync() {
	dc := g.state.DataCentres[g.DataCentre]
	if g.inSyncAccepted && maps.Equal(g.proposedInSync, dc.InSync) {
		g.proposedInSync, g.inSyncAccepted = nil, false
	}
	if !g.lease.Valid(g.now) || g.proposedInSync != nil {
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
	g.proposedInSync = want
	g.propose(applier.Command{
		SetInSync: &applier.SetInSyncMsg{
			DataCentre:     g.DataCentre,
			AuthorityIndex: g.index,
			InSync:         want,
		},
	})
}

// handleInSyncResult takes the result of the proposed in-sync set. An accepted set stays in proposedInSync until the
// state on this host contains it.
func (g *Granter) handleInSyncResult(accepted bool) {
	g.inSyncAccepted = accepted
	if !accepted {
		g.proposedInSync = nil
	}
}
