package granter

import (
	"time"

	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/reporter"
)

// maxSuspects bounds the suspect requests that an authority stores and passes on to hosts.
const maxSuspects = 1024

// suspectKey identifies a suspect request: one that was in flight when its target was lost.
type suspectKey struct {
	service     string
	request     string
	fingerprint uint64
}

// suspect is the record of a suspect request. Hosts whose table is older than version do not have it yet.
type suspect struct {
	msg        reporter.SuspectMsg
	version    uint64
	recordedAt time.Time
}

// assigned returns the entry of slot n of a service in the table that hosts get. A prepared slot is listed as releasing
// with its next owner: so the hosts of the in-sync set store the assignment, but none grants the slot to the target
// yet.
func (s *slot) assigned(service string, n int) reporter.AssignedSlot {
	m := reporter.AssignedSlot{
		Service: service,
		Slot:    keyer.Slot(n),
		Epoch:   s.epoch,
	}
	switch s.phase {
	case phaseServing, phaseReleasing:
		m.Target = s.owner.name
		m.Releasing = s.phase == phaseReleasing
	case phasePrepared:
		m.Target = s.next.name
		m.Releasing = true
	}
	return m
}

// addSuspects stores suspect requests that a host reported, to pass them on with the slots of the lost target.
func (g *Granter) addSuspects(suspects []reporter.SuspectMsg) {
	for _, m := range suspects {
		key := suspectKey{
			service:     m.Service,
			request:     m.Request,
			fingerprint: m.Fingerprint,
		}
		old, ok := g.suspects[key]
		if ok && old.msg.Crashes >= m.Crashes || !ok && len(g.suspects) >= maxSuspects && !g.evictSuspect() {
			continue
		}
		g.suspects[key] = suspect{
			msg:        m,
			version:    g.bumpVersion(g.version),
			recordedAt: g.now,
		}
	}
}

// evictSuspect drops one suspect request that is older than the suspectTime of its service, or whose service no longer
// exists. It reports whether it found one.
func (g *Granter) evictSuspect() bool {
	for key, s := range g.suspects {
		svc, ok := g.config.Service(key.service)
		if !ok || g.now.Sub(s.recordedAt) > svc.Suspect.SuspectTime {
			delete(g.suspects, key)
			return true
		}
	}
	return false
}

// Ready reports whether this host is the authority and has opened its table. It returns the number of targets in
// service for each service, the targets with their dispatching hosts, and the newest table version among these targets.
func (g *Granter) Ready() (inService map[string]int, targets []reporter.AssignedTarget, version uint64, ok bool) {
	if g.index == 0 || !g.opened {
		return nil, nil, 0, false
	}
	inService = make(map[string]int)
	for _, t := range g.orderedTargets() {
		if t.removed || t.host == "" {
			continue
		}
		if g.inService(t) {
			inService[t.service]++
		}
		version = max(version, t.version)
		targets = append(targets, g.assignedTarget(t))
	}
	return inService, targets, version, true
}

func (g *Granter) assignedTarget(t *target) reporter.AssignedTarget {
	return reporter.AssignedTarget{
		Name:         t.name,
		Service:      t.service,
		Incarnation:  t.incarnation,
		Addr:         t.report.Addr,
		Host:         t.host,
		Draining:     t.report.Draining,
		OutOfService: t.outOfService,
		Gone:         t.removed,
	}
}
