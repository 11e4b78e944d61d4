package selector

import (
	"time"

	"bramleyline.example/bramleyline/ramper"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// slowThreshold is the reported slowness from which a target is in a slow period, and slowRise the factor by which it has to
	// exceed the slowness in the answer before. Slow targets of a deployment have a slowness of up to 1.6 all the time.
	slowThreshold = 2.0
	slowRise      = 1.5
)

// Learned is the load of a target that was observed by other hosts.
type Learned struct {
	Target registrar.Incarnation
	// Others is the number of requests that the other hosts together had in flight at OthersAt, which is zero if it is unknown.
	Others   float64
	OthersAt time.Time
	// Load is the newest load that the target reported to any host, ReportedAt the time of that answer, zero if there is none.
	Load       Load
	ReportedAt time.Time
}

// Observation is what this host observed of a target.
type Observation struct {
	Target registrar.Incarnation
	// InFlight is the number of this host's requests at the target.
	InFlight int
	// Load is the load in the last answer, ReceivedAt the time of that answer, zero if there is none.
	Load       Load
	ReceivedAt time.Time
}

// Learn takes the loads of targets that other hosts observed. A load or count that is older than the known one is ignored.
// The paces of the targets are updated by loads that are newer than the answers to this host.
func (s *Selector) Learn(learned []Learned) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range learned {
		st := s.targetStats(l.Target)
		old := &st.learned
		old.Target = l.Target
		if l.OthersAt.After(old.OthersAt) {
			old.Others, old.OthersAt = l.Others, l.OthersAt
		}
		if l.ReportedAt.After(old.ReportedAt) {
			old.Load, old.ReportedAt = l.Load, l.ReportedAt
			if l.ReportedAt.After(st.loadReceivedAt) && l.ReportedAt.After(st.rampAt) {
				s.observe(l.ReportedAt, st, l.Target, ramper.Observation{
					Report: st.learnedReport(l.Load),
				})
			}
		}
	}
}

// Observations returns the targets at which this host has requests in flight, and those that reported a load after since.
func (s *Selector) Observations(since time.Time) []Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var observations []Observation
	for inc, st := range s.stats {
		if st.inFlight > 0 || st.loadReceivedAt.After(since) {
			observations = append(observations, Observation{
				Target:     inc,
				InFlight:   st.inFlight,
				Load:       st.load,
				ReceivedAt: st.loadReceivedAt,
			})
		}
	}
	return observations
}

// signalSlow signals that a target has entered a slow period.
func (s *Selector) signalSlow(now time.Time, st *targetStats, l *Load) {
	known := freshness(now, st.loadReceivedAt) > 0 && l.Slowness < slowRise*st.load.Slowness
	if l.Slowness < slowThreshold || known {
		return
	}
	select {
	case s.Slow <- struct{}{}:
	default:
	}
}

// freshness returns the weight of an observation, which falls linearly with its age.
func freshness(now, at time.Time) float64 {
	return min(1, max(0, 1-float64(now.Sub(at))/float64(loadMaxAge)))
}

// newestLoad returns the newest load that the target reported, to this host or to another one.
func (st *targetStats) newestLoad() (Load, time.Time) {
	if st.learned.ReportedAt.After(st.loadReceivedAt) {
		return st.learned.Load, st.learned.ReportedAt
	}
	return st.load, st.loadReceivedAt
}

// newestBusy returns the newest observation of the number of requests at the target, with those that this host began later.
func (st *targetStats) newestBusy(now time.Time) (busy float64, at time.Time) {
	load, at := st.newestLoad()
	busy = float64(load.Running + load.Waiting)
	if !st.learnedFresh(now) {
		return busy, at
	}
	if st.learned.OthersAt.After(at) {
		return st.learned.Others + float64(st.inFlight), st.learned.OthersAt
	}
	for _, begunAt := range st.begunAt {
		if begunAt.After(at) {
			busy++
		}
	}
	return busy, at
}

// learnedFresh reports whether there is a learned observation that is not too old.
func (st *targetStats) learnedFresh(now time.Time) bool {
	return freshness(now, st.learned.OthersAt) > 0 || freshness(now, st.learned.ReportedAt) > 0
}

// drawWeight returns the weight of a target in the draw of Choose: its capacity, or, with learned loads, the reciprocal of its
// expected time for each slot, so that a target with a queue or in a slow period is drawn less often.
func (st *targetStats) drawWeight(now time.Time, t *viewer.Target, serviceTime time.Duration, e Estimate) float64 {
	slots := float64(max(1, t.Slots))
	if e.Total > 0 && st.learnedFresh(now) {
		return slots * float64(serviceTime) / float64(e.Total)
	}
	return slots / (ratedSlowness(t) * st.observedSlowness)
}
