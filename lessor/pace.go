package lessor

import (
	"time"

	"bramleyline.example/bramleyline/classifier"
	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/ramper"
	"bramleyline.example/bramleyline/registrar"
)

const (
	// paceInterval is the interval at which paces are updated by what hosts reported. They report every 300 ms or later.
	paceInterval = 200 * time.Millisecond
	// expectedAnswers is the number of answers that the keys of a target should have had, by their load, from which silence
	// stops the rise of its pace. Hosts report only answers without a queue. The next good answer ends the stop, so it costs
	// little if the target was silent by chance.
	expectedAnswers = 2
	// settleTime is how long a target is still filled at its full capacity after its ramp. The estimated slowness, which
	// lowers the capacity too, falls slowly: each answer has a weight of a twentieth or less.
	settleTime = 20 * time.Second
)

// keyedPace is the state of the pace of one target of a keyed service.
type keyedPace struct {
	ramp ramper.Ramp
	// step is the factor on the capacity of the target while it is in a ramp.
	step float64
	// fillUntil is until when the target is filled after its ramp.
	fillUntil time.Time
	// wasCold and wasUnresponsive say what the target was at the last update.
	wasCold         bool
	wasUnresponsive bool
	// answers and slowness are the counts of the estimator at the last update, and unheard is the load of the keys since the
	// last answer, in answers.
	answers  float64
	slowness float64
	unheard  float64
}

// pacesApply reports whether the targets of a service are paced.
func (l *Lessor) pacesApply(service string) bool {
	e := l.view.Estimators[service]
	return e != nil && e.MeanServiceTime() >= classifier.MinServiceTime
}

// pace returns the factor on the capacity of a target, and whether the target is to be filled up to it.
func (l *Lessor) pace(service string, inc registrar.Incarnation, floor float64) (pace float64, filling bool) {
	p, ok := l.paces[inc]
	if !ok || !l.pacesApply(service) {
		return 1, false
	}
	if !p.ramp.Active() {
		return 1, l.now.Before(p.fillUntil)
	}
	return max(p.step, floor), true
}

// paceFloor returns the least pace of the targets of a service.
func (l *Lessor) paceFloor(service string) float64 {
	var all, ramping float64
	for _, t := range l.view.Registry.Pool(service).All() {
		if t.Cold || l.mustRelease(*t) {
			continue
		}
		all += float64(max(1, t.Slots))
		if p, ok := l.paces[t.Incarnation]; ok && p.ramp.Active() {
			ramping += float64(max(1, t.Slots))
		}
	}
	if ramping == 0 {
		return 0
	}
	return ramper.Floor(ramping / all)
}

// updatePaces updates the paces of the targets of a service, and begins the ramps of targets that joined, became warm or
// answer again. Targets that are there when the leadership begins, or before any key has an owner, count as established.
func (l *Lessor) updatePaces(service string) {
	last, known := l.pacedAt[service]
	if known && l.now.Sub(last) < paceInterval {
		return
	}
	l.pacedAt[service] = l.now
	established := !known || len(l.view.Registry.RangeList(service)) == 0
	var loads map[registrar.Incarnation]float64
	for _, t := range l.view.Registry.Pool(service).All() {
		p, seen := l.paces[t.Incarnation]
		if !seen {
			p = &keyedPace{}
			l.paces[t.Incarnation] = p
		}
		h, held := l.holders[t.Incarnation]
		unresponsive := held && h.failures >= unresponsiveAfter
		becameWarm, answersAgain := p.wasCold && !t.Cold, p.wasUnresponsive && !unresponsive
		p.wasCold, p.wasUnresponsive = t.Cold, unresponsive
		switch {
		case t.Cold || unresponsive || established:
		case becameWarm:
			l.startRamp(service, p, t, ramper.CauseWarm)
		case !seen:
			l.startRamp(service, p, t, ramper.CauseJoined)
		case answersAgain:
			l.startRamp(service, p, t, ramper.CauseBackoff)
		case p.ramp.Active():
			if loads == nil {
				loads = l.targetLoads(service)
			}
			l.updateRamp(service, p, t, l.now.Sub(last), loads[t.Incarnation])
		}
	}
	for inc := range l.paces {
		if !l.view.Registry.Alive(inc) {
			delete(l.paces, inc)
		}
	}
}

// startRamp begins the ramp of a target. If the target has kept keys, it begins at the pace that its load shows.
func (l *Lessor) startRamp(service string, p *keyedPace, t *registrar.Target, cause ramper.Cause) {
	share := l.loadShare(service, t)
	p.ramp.StartAt(l.now, cause, share)
	p.step = ramper.Cover(share)
	p.unheard = 0
	if e := l.view.Estimators[service]; e != nil {
		p.answers, p.slowness = e.Answers(t.ID)
	}
	l.paceChanged(service, PaceMsg{
		Target: t.Incarnation,
		Began:  cause,
		Pace:   p.ramp.Pace(l.now),
		Step:   p.step,
	})
}

// updateRamp updates the pace of a target in a ramp, whose keys have the given load in busy slots, by the answers of the time
// elapsed.
func (l *Lessor) updateRamp(service string, p *keyedPace, t *registrar.Target, elapsed time.Duration, load float64) {
	e := l.view.Estimators[service]
	if e == nil {
		e = &estimator.Estimator{}
	}
	rated := 1.0
	if t.Slowness > 0 {
		rated = t.Slowness
	}
	answers, slowness := e.Answers(t.ID)
	var setback ramper.Setback
	if n := answers - p.answers; n > 0 {
		setback = p.ramp.Observe(l.now, ramper.Observation{
			Stretch: (slowness - p.slowness) / n / rated,
			Answers: int(n),
		})
		p.unheard = 0
	} else if mean := e.MeanServiceTime(); mean > 0 {
		p.unheard += load * elapsed.Seconds() / mean.Seconds()
	}
	p.answers, p.slowness = answers, slowness
	if p.unheard >= expectedAnswers {
		p.ramp.Hold(l.now)
	}
	pace := p.ramp.Pace(l.now)
	p.step = ramper.Step(p.step, pace)
	p.fillUntil = l.now.Add(settleTime)
	if setback != "" || !p.ramp.Active() {
		l.paceChanged(service, PaceMsg{
			Target:  t.Incarnation,
			Setback: setback,
			Pace:    pace,
			Step:    p.step,
		})
	}
}

// paceChanged reports a change of a pace, if the service is paced.
func (l *Lessor) paceChanged(service string, m PaceMsg) {
	if l.pacesApply(service) {
		l.effects.Paces = append(l.effects.Paces, m)
	}
}

// targetLoads returns the load of the keys of each target.
func (l *Lessor) targetLoads(service string) map[registrar.Incarnation]float64 {
	loads := make(map[registrar.Incarnation]float64)
	sums := l.loadSums(service)
	for _, r := range l.view.Registry.RangeList(service) {
		if !r.Releasing {
			loads[r.Owner] += sums[int(r.To)+1] - sums[r.From]
		}
	}
	return loads
}

// loadShare returns the load of a target as a fraction of what it would have if the load were divided by slots.
func (l *Lessor) loadShare(service string, t *registrar.Target) float64 {
	loads := l.targetLoads(service)
	if loads[t.Incarnation] == 0 {
		return 0
	}
	total, slots := 0.0, 0.0
	for _, load := range loads {
		total += load
	}
	for _, other := range l.view.Registry.Pool(service).All() {
		slots += float64(max(1, other.Slots))
	}
	return loads[t.Incarnation] * slots / (total * float64(max(1, t.Slots)))
}
