package granter

import (
	"cmp"
	"maps"
	"slices"

	"bramleyline.example/bramleyline/reporter"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// orderedTargets returns all targets in a fixed order, so that placement is deterministic.
func (g *Granter) orderedTargets() []*target {
	return slices.SortedFunc(maps.Values(g.targets), func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.name, b.name))
	})
}

// leaseExpired reports whether the dispatch lease of a host has expired, so that it cannot send to targets any more.
func (g *Granter) leaseExpired(name string) bool {
	h, ok := g.hosts[name]
	return !ok || h.lease.Lapsed(g.now)
}

// live reports whether a host reported within the dispatch lease.
func (g *Granter) live(name string) bool {
	h, ok := g.hosts[name]
	return ok && h.name == name && g.now.Sub(h.reportedAt) < g.config.Timing.DispatchLease
}

// checkHosts removes the targets from hosts whose dispatch lease has expired. The slots of these targets keep their
// owners.
func (g *Granter) checkHosts() {
	for _, t := range g.orderedTargets() {
		if t.host != "" && g.leaseExpired(t.host) && !g.live(t.host) {
			t.host = ""
			t.version = g.nextVersion()
		}
		for name, version := range t.formerHosts {
			if h, ok := g.hosts[name]; !ok || h.lease.Lapsed(g.now) || h.tableVersion >= version {
				delete(t.formerHosts, name)
			}
		}
	}
}

// checkTargets removes targets that were lost or superseded and hold no slot any more, replaces them by their newer
// incarnation, and follows which targets operators took out of service.
func (g *Granter) checkTargets() {
	for _, t := range g.orderedTargets() {
		if _, out := g.state.TargetsOut[t.name]; out != t.outOfService {
			t.outOfService = out
			t.version = g.nextVersion()
		}
		if (t.lost || g.superseded(t)) && !t.removed && !g.holds(t) {
			t.removed = true
			t.version = g.nextVersion()
			if t.host != "" {
				t.formerHosts[t.host] = t.version
				t.host = ""
			}
		}
		if t.removed && t.successor != nil {
			t.successor.formerHosts = t.formerHosts
			g.targets[t.targetKey] = t.successor
		}
	}
}

// holds reports whether t holds any slot.
func (g *Granter) holds(t *target) bool {
	tab, ok := g.tables[t.service]
	return ok && slices.ContainsFunc(tab.slots, func(s slot) bool { return s.owner == t })
}

// assignHosts gives each target a dispatching host, and moves targets when their numbers on two hosts differ by two or
// more.
func (g *Granter) assignHosts() {
	targetCounts := g.availableHosts()
	if len(targetCounts) == 0 {
		return
	}
	targets := g.orderedTargets()
	g.evacuate(targets, targetCounts)
	for _, t := range targets {
		if _, ok := targetCounts[t.host]; ok && !t.removed {
			targetCounts[t.host]++
		}
	}
	for _, t := range targets {
		if t.removed || t.host != "" || len(t.formerHosts) > 0 {
			continue
		}
		best := t.preferredHost
		if _, ok := targetCounts[best]; !ok || targetCounts[best] > targetCounts[leastLoaded(targetCounts)] {
			best = leastLoaded(targetCounts)
		}
		t.host = best
		t.hostSince = g.now
		t.version = g.nextVersion()
		t.assignedVersion = t.version
		targetCounts[best]++
	}
	g.balanceHosts(targets, targetCounts)
}

// unfit reports whether the targets of the host should go to other hosts.
func (h *host) unfit() bool {
	return h.stopping || h.noLinks
}

// availableHosts returns a zero count for each live host that may get targets. An unfit one is among them only if all live
// hosts are unfit.
func (g *Granter) availableHosts() map[string]int {
	targetCounts := make(map[string]int)
	unfit := make(map[string]int)
	for name, h := range g.hosts {
		switch {
		case !g.live(name):
		case h.unfit():
			unfit[name] = 0
		default:
			targetCounts[name] = 0
		}
	}
	if len(targetCounts) == 0 {
		return unfit
	}
	return targetCounts
}

// evacuate removes the targets from unfit hosts. The next host gets a target only when the former one has
// the version of the table without it, so that two hosts never dispatch to it.
func (g *Granter) evacuate(targets []*target, available map[string]int) {
	for _, t := range targets {
		if t.removed || t.host == "" || len(t.formerHosts) > 0 {
			continue
		}
		h, ok := g.hosts[t.host]
		if _, stays := available[t.host]; stays || !ok || !h.unfit() {
			continue
		}
		t.version = g.nextVersion()
		t.formerHosts[t.host] = t.version
		t.host = ""
		t.preferredHost = leastLoaded(available)
	}
}

// balanceHosts moves one target at a time from the host with the most targets to the one with the fewest. It moves
// nothing while a target is lost, has no dispatching host, or has had it for less than a dispatch lease.
func (g *Granter) balanceHosts(targets []*target, targetCounts map[string]int) {
	least := leastLoaded(targetCounts)
	var moving *target
	for _, t := range targets {
		if t.removed {
			continue
		}
		if t.host == "" || len(t.formerHosts) > 0 || t.lost {
			return
		}
		if g.now.Sub(t.hostSince) < g.config.Timing.DispatchLease {
			return
		}
		if targetCounts[t.host] >= targetCounts[least]+2 && (moving == nil || targetCounts[t.host] > targetCounts[moving.host]) {
			moving = t
		}
	}
	if moving != nil {
		moving.version = g.nextVersion()
		moving.formerHosts[moving.host] = moving.version
		moving.host = ""
		moving.preferredHost = least
	}
}

// leastLoaded returns the host with the fewest targets, the first by name if several have as few.
func leastLoaded(targetCounts map[string]int) string {
	best := ""
	for _, name := range sortedKeys(targetCounts) {
		if best == "" || targetCounts[name] < targetCounts[best] {
			best = name
		}
	}
	return best
}

// expireTarget takes the slots from a target whose lease has expired on its dispatching host, which reported this with
// the given version of the table. Slots whose entries changed in a later version are released by the host first.
func (g *Granter) expireTarget(t *target, version uint64) {
	// A target that still sends heartbeats lost its lease only because its host lost the dispatch lease; it is not
	// lost.
	if !t.lost && g.now.Sub(t.heartbeatAt) > g.config.Timing.DispatchLease/2 {
		t.lost = true
		t.version = g.nextVersion()
	}
	tab, ok := g.tables[t.service]
	if !ok {
		return
	}
	for i := range tab.slots {
		s := &tab.slots[i]
		s.dropNextOwner(t)
		if s.owner != t {
			continue
		}
		if s.version <= version {
			g.freeSlot(tab, s)
		} else {
			g.requestRelease(s, s.next)
		}
	}
}

// addChanges adds the changes of the table since version base to the answer, or the full table if base is not a version
// of this authority's table.
func (g *Granter) addChanges(answer *reporter.GrantMsg, base uint64) {
	answer.Full = base < g.index<<32+1 || base < g.minBaseVersion || base > g.version
	answer.TableVersion = g.version
	if base == g.version {
		return
	}
	if answer.Full {
		base = 0
	}
	for _, t := range g.orderedTargets() {
		if t.version <= base && !answer.Full || t.removed && answer.Full {
			continue
		}
		answer.Targets = append(answer.Targets, g.assignedTarget(t))
	}
	for _, name := range sortedKeys(g.tables) {
		tab := g.tables[name]
		for i := range tab.slots {
			if s := &tab.slots[i]; s.version > base || answer.Full && s.phase != phaseElsewhere {
				answer.Slots = append(answer.Slots, s.assigned(name, i))
			}
		}
	}
	for _, s := range g.suspects {
		if s.version > base {
			answer.Suspects = append(answer.Suspects, s.msg)
		}
	}
}
