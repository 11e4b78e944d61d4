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

// lapsed reports whether a host cannot send to targets any more.
func (g *Granter) lapsed(name string) bool {
	h, ok := g.hosts[name]
	return !ok || h.lease.Lapsed(g.now)
}

// live reports whether a host reported within the dispatch lease.
func (g *Granter) live(name string) bool {
	h, ok := g.hosts[name]
	return ok && h.name == name && g.now.Sub(h.reportedAt) < g.config.Timing.DispatchLease
}

// checkHosts takes the targets from hosts whose dispatch lease has lapsed. Their slots keep their owners.
func (g *Granter) checkHosts() {
	for _, t := range g.orderedTargets() {
		if t.host != "" && g.lapsed(t.host) && !g.live(t.host) {
			t.host = ""
			t.version = g.next()
		}
		for name, version := range t.former {
			if h, ok := g.hosts[name]; !ok || h.lease.Lapsed(g.now) || h.tableVersion >= version {
				delete(t.former, name)
			}
		}
	}
}

// checkTargets forgets targets that were lost and hold nothing any more, and follows what operators took out.
func (g *Granter) checkTargets() {
	for _, t := range g.orderedTargets() {
		if _, out := g.state.TargetsOut[t.name]; out != t.outOfService {
			t.outOfService = out
			t.version = g.next()
		}
		if (t.lost || g.superseded(t)) && !t.gone && !g.holds(t) {
			t.gone = true
			t.version = g.next()
			if t.host != "" {
				t.former[t.host] = t.version
				t.host = ""
			}
		}
		if t.gone && t.successor != nil {
			t.successor.former = t.former
			g.targets[t.targetKey] = t.successor
		}
	}
}

// holds reports whether a slot is held by t.
func (g *Granter) holds(t *target) bool {
	tab, ok := g.tables[t.service]
	return ok && slices.ContainsFunc(tab.slots, func(s slot) bool { return s.owner == t })
}

// assignHosts gives each target a dispatching host, and evens the hosts out when they differ by two or more.
func (g *Granter) assignHosts() {
	count := g.available()
	if len(count) == 0 {
		return
	}
	targets := g.orderedTargets()
	g.evacuate(targets, count)
	for _, t := range targets {
		if _, ok := count[t.host]; ok && !t.gone {
			count[t.host]++
		}
	}
	for _, t := range targets {
		if t.gone || t.host != "" || len(t.former) > 0 {
			continue
		}
		best := t.heardBy
		if _, ok := count[best]; !ok || count[best] > count[leastOf(count)] {
			best = leastOf(count)
		}
		t.host = best
		t.hostSince = g.now
		t.version = g.next()
		t.assignedAt = t.version
		count[best]++
	}
	g.evenHosts(targets, count)
}

// available returns the live hosts that may get targets. A host that is about to stop gets none unless all are.
func (g *Granter) available() map[string]int {
	count := make(map[string]int)
	leaving := make(map[string]int)
	for name, h := range g.hosts {
		switch {
		case !g.live(name):
		case h.leaving:
			leaving[name] = 0
		default:
			count[name] = 0
		}
	}
	if len(count) == 0 {
		return leaving
	}
	return count
}

// evacuate takes the targets from hosts that are about to stop. The next host gets a target when the former one has
// the version without it, so that two hosts never dispatch to it.
func (g *Granter) evacuate(targets []*target, available map[string]int) {
	for _, t := range targets {
		if t.gone || t.host == "" || len(t.former) > 0 {
			continue
		}
		h, ok := g.hosts[t.host]
		if _, stays := available[t.host]; stays || !ok || !h.leaving {
			continue
		}
		t.version = g.next()
		t.former[t.host] = t.version
		t.host = ""
		t.heardBy = leastOf(available)
	}
}

// evenHosts moves one target at a time from the host with the most to that with the fewest, as long as all targets
// have a host.
func (g *Granter) evenHosts(targets []*target, count map[string]int) {
	least := leastOf(count)
	var move *target
	for _, t := range targets {
		if t.gone {
			continue
		}
		if t.host == "" || len(t.former) > 0 || t.lost {
			return
		}
		if g.now.Sub(t.hostSince) < g.config.Timing.DispatchLease {
			return
		}
		if count[t.host] >= count[least]+2 && (move == nil || count[t.host] > count[move.host]) {
			move = t
		}
	}
	if move != nil {
		move.version = g.next()
		move.former[move.host] = move.version
		move.host = ""
		move.heardBy = least
	}
}

func leastOf(count map[string]int) string {
	best := ""
	for _, name := range sortedKeys(count) {
		if best == "" || count[name] < count[best] {
			best = name
		}
	}
	return best
}

// lapse takes the slots from a target whose lease has lapsed at its dispatching host. Slots that were given in a
// version which the host did not know then are still to be released by it.
func (g *Granter) lapse(t *target, version uint64) {
	// A target that still sends heartbeats lost its lease with that of its host; it keeps its place.
	if !t.lost && g.now.Sub(t.heardAt) > g.config.Timing.DispatchLease/2 {
		t.lost = true
		t.version = g.next()
	}
	tab, ok := g.tables[t.service]
	if !ok {
		return
	}
	for i := range tab.slots {
		s := &tab.slots[i]
		s.unassign(t)
		if s.owner != t {
			continue
		}
		if s.version <= version {
			g.free(tab, s)
		} else {
			g.release(s, s.to)
		}
	}
}

// fill adds the changes of the table since base to the answer, or the whole table if base is not of this authority.
func (g *Granter) fill(answer *reporter.GrantMsg, base uint64) {
	answer.Full = base < g.index<<32+1 || base < g.goneFloor || base > g.version
	answer.TableVersion = g.version
	if base == g.version {
		return
	}
	if answer.Full {
		base = 0
	}
	for _, t := range g.orderedTargets() {
		if t.version <= base && !answer.Full || t.gone && answer.Full {
			continue
		}
		answer.Targets = append(answer.Targets, g.targetMessage(t))
	}
	for _, name := range sortedKeys(g.tables) {
		tab := g.tables[name]
		for i := range tab.slots {
			if s := &tab.slots[i]; s.version > base || answer.Full && s.phase != elsewhere {
				answer.Slots = append(answer.Slots, s.message(name, i))
			}
		}
	}
	for _, s := range g.suspects {
		if s.version > base {
			answer.Suspects = append(answer.Suspects, s.msg)
		}
	}
}
