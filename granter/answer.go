package granter

import (
	"time"

	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/reporter"
)

// maxSuspects bounds the suspect requests that an authority passes on.
const maxSuspects = 1024

type suspectKey struct {
	service     string
	request     string
	fingerprint uint64
}

type suspect struct {
	msg     reporter.SuspectMsg
	version uint64
	at      time.Time
}

// message returns the slot as hosts see it. A prepared slot is shown as releasing with its next owner: the hosts of the
// in-sync set keep it, and nobody grants it yet.
func (s *slot) message(service string, n int) reporter.AssignedSlot {
	m := reporter.AssignedSlot{
		Service: service,
		Slot:    keyer.Slot(n),
		Epoch:   s.epoch,
	}
	switch s.phase {
	case serving, releasing:
		m.Target = s.owner.name
		m.Releasing = s.phase == releasing
	case prepared:
		m.Target = s.to.name
		m.Releasing = true
	}
	return m
}

// learn keeps suspect requests, to pass them on with the slots of the lost target.
func (g *Granter) learn(suspects []reporter.SuspectMsg) {
	for _, m := range suspects {
		key := suspectKey{
			service:     m.Service,
			request:     m.Request,
			fingerprint: m.Fingerprint,
		}
		old, ok := g.suspects[key]
		if ok && old.msg.Crashes >= m.Crashes || !ok && len(g.suspects) >= maxSuspects && !g.forgetSuspect() {
			continue
		}
		g.suspects[key] = suspect{
			msg:     m,
			version: g.bump(g.version),
			at:      g.now,
		}
	}
}

// forgetSuspect drops a suspect request whose time has passed.
func (g *Granter) forgetSuspect() bool {
	for key, s := range g.suspects {
		svc, ok := g.config.Service(key.service)
		if !ok || g.now.Sub(s.at) > svc.Suspect.SuspectTime {
			delete(g.suspects, key)
			return true
		}
	}
	return false
}

// Ready reports whether this host is the authority and has opened its table, and returns the number of targets in
// service by service and the targets with their dispatching hosts.
func (g *Granter) Ready() (inService map[string]int, targets []reporter.AssignedTarget, version uint64, ok bool) {
	if g.index == 0 || !g.opened {
		return nil, nil, 0, false
	}
	inService = make(map[string]int)
	for _, t := range g.orderedTargets() {
		if t.gone || t.host == "" {
			continue
		}
		if g.inService(t) {
			inService[t.service]++
		}
		version = max(version, t.version)
		targets = append(targets, g.targetMessage(t))
	}
	return inService, targets, version, true
}

func (g *Granter) targetMessage(t *target) reporter.AssignedTarget {
	return reporter.AssignedTarget{
		Name:         t.name,
		Service:      t.service,
		Incarnation:  t.incarnation,
		Addr:         t.msg.Addr,
		Host:         t.host,
		Draining:     t.msg.Draining,
		OutOfService: t.outOfService,
		Gone:         t.gone,
	}
}
