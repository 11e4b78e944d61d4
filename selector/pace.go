package selector

import (
	"expvar"
	"time"

	"bramleyline.example/bramleyline/classifier"
	"bramleyline.example/bramleyline/ramper"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// establishTime is the time after the first target of a service was seen in which others count as established, too: the
	// view of a host that starts may grow in parts.
	establishTime = 3 * time.Second
	// unseenTime is the time without a choice for a service after which targets count as established, since nobody saw when
	// they joined.
	unseenTime = 5 * time.Second
	// workSmoothing is the least weight of the latest request in the mean service time of a service.
	workSmoothing = 0.005
)

// counters count ramps and setbacks of the targets of services to which the pace applies.
var counters = expvar.NewMap("selector")

// targetsInRamp is the number of usable targets in a ramp, as of the last choice for each service.
var targetsInRamp expvar.Int

func init() {
	counters.Set("targetsInRamp", &targetsInRamp)
}

// poolPace is what the paces of the targets of one service have in common.
type poolPace struct {
	// establishedUntil is until when targets that are seen first count as established, zero before the first target is seen.
	establishedUntil time.Time
	seenAt           time.Time
	// meanWork is the mean service time of the requests, as an exponentially weighted moving average, and requests their
	// number.
	meanWork time.Duration
	requests int
	// capacity is the capacity of the usable targets in this choice so far, rampCapacity that of those in a ramp, and ramps
	// the number of the latter.
	capacity     float64
	rampCapacity float64
	ramps        int
	// floor is the least pace, by the capacities of the last choice, and lastRamps is ramps in it.
	floor     float64
	lastRamps int
}

// targetPace is the state of the pace of a target.
type targetPace struct {
	ramp ramper.Ramp
	// rampAt is when the ramp began. Loads that were reported before it say nothing of the target in its ramp.
	rampAt time.Time
	// seenAt is when the target was last in a pool, zero if it never was.
	seenAt time.Time
	// wasCold says that the target was cold when it was last seen.
	wasCold bool
	// inBackoff says that an attempt without an answer began a backoff that was not followed by a ramp yet.
	inBackoff bool
	// rated is the rated slowness of the target, and slots the number of its slots.
	rated float64
	slots int
	// paced says that the pace applies to the service of the target.
	paced bool
}

// poolPace begins a choice for a service, of a request with the given service time.
func (s *Selector) poolPace(now time.Time, service string, work time.Duration) *poolPace {
	if s.pools == nil {
		s.pools = make(map[string]*poolPace)
	}
	p, ok := s.pools[service]
	if !ok {
		p = &poolPace{}
		s.pools[service] = p
	}
	if now.Sub(p.seenAt) > unseenTime {
		p.establishedUntil = time.Time{}
	}
	p.seenAt = now
	p.requests++
	weight := max(workSmoothing, 1/float64(p.requests))
	p.meanWork += time.Duration(weight * float64(work-p.meanWork))
	p.floor = 0
	if p.rampCapacity > 0 {
		p.floor = ramper.Floor(p.rampCapacity / p.capacity)
	}
	if p.lastRamps != p.ramps {
		targetsInRamp.Add(int64(p.ramps - p.lastRamps))
		p.lastRamps = p.ramps
	}
	p.capacity, p.rampCapacity, p.ramps = 0, 0, 0
	return p
}

// applies reports whether targets are paced.
func (p *poolPace) applies() bool {
	return p.meanWork >= classifier.MinServiceTime
}

// see records that t is in the view, and begins its ramp if it became warm, was first seen beside warm targets, or returned
// from backoff.
func (s *Selector) see(now time.Time, p *poolPace, st *targetStats, t *viewer.Target) {
	first := st.seenAt.IsZero()
	becameWarm := st.wasCold && !t.Cold
	st.seenAt, st.wasCold, st.paced = now, t.Cold, p.applies()
	st.rated, st.slots = ratedSlowness(t), max(1, t.Slots)
	if p.establishedUntil.IsZero() {
		p.establishedUntil = now.Add(establishTime)
	}
	switch {
	case t.Cold:
	case becameWarm:
		s.startRamp(now, st, t.Incarnation, ramper.CauseWarm)
	case first && !now.Before(p.establishedUntil):
		s.startRamp(now, st, t.Incarnation, ramper.CauseJoined)
	case st.inBackoff && !now.Before(st.backoffUntil):
		s.startRamp(now, st, t.Incarnation, ramper.CauseBackoff)
	}
}

func (s *Selector) startRamp(now time.Time, st *targetStats, inc registrar.Incarnation, cause ramper.Cause) {
	st.inBackoff = false
	st.rampAt = now
	st.ramp.Start(now, cause)
	if !st.paced {
		return
	}
	if cause == ramper.CauseBackoff && st.unanswered <= 1 {
		// The failure rate falls only with further answers, and would leave the target without any.
		st.failureRate = 0
	}
	counters.Add("startedRamps", 1)
	if s.Log != nil {
		s.Log.Info("target in ramp", "target", inc.ID, "cause", cause, "pace", ramper.MinPace)
	}
}

// pace returns the factor on the weight of a target in the draw.
func (s *Selector) pace(now time.Time, p *poolPace, st *targetStats, t *viewer.Target) float64 {
	capacity := float64(max(1, t.Slots)) / st.rated
	p.capacity += capacity
	if !st.ramp.Active() {
		return 1
	}
	pace := st.ramp.Pace(now)
	if !p.applies() {
		return 1
	}
	if !st.ramp.Active() {
		counters.Add("endedRamps", 1)
		if s.Log != nil {
			s.Log.Info("target established", "target", t.ID)
		}
		return 1
	}
	p.rampCapacity += capacity
	p.ramps++
	return max(pace, p.floor)
}

// observePace updates the pace of a target by the result of an attempt of this host.
func (s *Selector) observePace(now time.Time, st *targetStats, inc registrar.Incarnation, r Result) {
	o := ramper.Observation{
		Failed: r.Failed || r.Unanswered,
		Report: st.report(r.Load),
	}
	if r.Latency > 0 && r.Work > 0 && st.rated > 0 {
		o.Stretch = float64(r.Latency) / (float64(r.Work) * st.rated)
	}
	if st.inBackoff && !r.Unanswered {
		// A target that answers within its backoff has returned as well.
		s.startRamp(now, st, inc, ramper.CauseBackoff)
	}
	s.observe(now, st, inc, o)
}

// observe updates the pace of a target by an observation, be it of this host or learned from another one.
func (s *Selector) observe(now time.Time, st *targetStats, inc registrar.Incarnation, o ramper.Observation) {
	setback := st.ramp.Observe(now, o)
	if setback == "" || !st.paced {
		return
	}
	counters.Add("loweredPaces", 1)
	if s.Log != nil {
		s.Log.Info("pace of target lowered", "target", inc.ID, "reason", setback, "pace", st.ramp.Pace(now), "stretch", o.Stretch)
	}
}

// report returns a load as an observation, nil if there is none.
func (st *targetStats) report(l *Load) *ramper.Report {
	if l == nil || st.rated <= 0 {
		return nil
	}
	return &ramper.Report{
		Waiting:  l.Waiting,
		Slots:    l.Slots,
		Slowness: l.Slowness / st.rated,
	}
}

// learnedReport returns a learned load as an observation, nil if the target was not seen yet. A load without slots has the
// waiting requests among the running ones.
func (st *targetStats) learnedReport(l Load) *ramper.Report {
	if l.Slots == 0 {
		l.Slots = st.slots
		l.Waiting = max(0, l.Running+l.Waiting-st.slots)
	}
	return st.report(&l)
}

// forgetBackoff forgets a backoff and a ramp that came of one.
func (p *targetPace) forgetBackoff() {
	p.inBackoff = false
	if p.ramp.Cause() == ramper.CauseBackoff {
		p.ramp = ramper.Ramp{}
	}
}

// forgetPools deletes the state of services without a choice since before.
func (s *Selector) forgetPools(before time.Time) {
	for name, p := range s.pools {
		if p.seenAt.Before(before) {
			targetsInRamp.Add(int64(-p.lastRamps))
			delete(s.pools, name)
		}
	}
}
