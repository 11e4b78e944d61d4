// Package selector knows how busy, fast and healthy each target is, from this host's own requests and from what answers
// say, and picks a target for a request of a shared service.
package selector

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// loadMaxAge is the age from which a reported load says nothing any more. The platform's noise changes every few
	// hundred milliseconds.
	loadMaxAge = 600 * time.Millisecond
	// unknownLoad is the share of its slots that a target counts as using when it has said nothing lately.
	unknownLoad = 0.5
	// speedShare is the weight of one answer in the learned speed of a target.
	speedShare = 0.08
	// minSpeed and maxSpeed bound the learned speed, so that a few odd answers cannot exclude a target.
	minSpeed = 0.3
	maxSpeed = 6.0
	// failureShare is the weight of one answer in the share of failures of a target.
	failureShare = 0.1
	// failurePenalty is how many times the expected time is added for a target that always fails.
	failurePenalty = 8.0
	// avoidTime is how long a target is avoided after no connection could be made or a request broke.
	avoidTime = 400 * time.Millisecond
	// maxAvoid bounds that time when it doubles with each further failure.
	maxAvoid = 3 * time.Second
	// brokenLimit is the number of attempts in a row without an answer from which the owner of a key seems to be gone, and
	// probeInterval the time between the requests that are sent to it nevertheless.
	brokenLimit   = 3
	probeInterval = 100 * time.Millisecond
	// localShare is the share of the time to the objective within which a target of the own data centre is good enough.
	localShare = 0.75
	// remotePenalty is the factor on the expected time at a target of another data centre, for the bytes between them.
	remotePenalty = 1.3
)

// Load is what a target said of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes at this moment compared with usual, 1 as usual. Zero means not told.
	Slowness float64
}

// Need is what a request needs of a target.
type Need struct {
	// Work is the expected time at an idle target of usual speed.
	Work time.Duration
	// Objective is the time within which the answer is on time.
	Objective time.Duration
}

// Selector is safe for concurrent use. Its zero value knows nothing.
type Selector struct {
	// DataCentre is that of this host.
	DataCentre string

	mu    sync.Mutex
	stats map[registrar.Incarnation]*stat
}

type stat struct {
	inFlight int
	load     Load
	loadAt   time.Time
	speed    float64
	failing  float64
	broken   int
	avoid    time.Time
	probeAt  time.Time
	usedAt   time.Time
	// coldSends are the times of the latest requests sent while the target was cold.
	coldSends []time.Time
}

func (s *Selector) stat(inc registrar.Incarnation) *stat {
	if s.stats == nil {
		s.stats = make(map[registrar.Incarnation]*stat)
	}
	st, ok := s.stats[inc]
	if !ok {
		st = &stat{
			speed: 1,
		}
		s.stats[inc] = st
	}
	return st
}

// Estimate is the expected time of one more request at a target.
type Estimate struct {
	// InFlight is the number of this host's requests at the target.
	InFlight int
	// Wait is the time until a slot is free, Total that until the answer.
	Wait  time.Duration
	Total time.Duration
}

// Estimate returns the expected time of one more request at t.
func (s *Selector) Estimate(now time.Time, t *viewer.Target, work time.Duration) Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stat(t.Incarnation).estimate(now, t, work)
}

// estimate uses what the target said last, the less the older that is.
func (st *stat) estimate(now time.Time, t *viewer.Target, work time.Duration) Estimate {
	slots := max(1, t.Slots)
	slow := usualSlowness(t)
	busy := unknownLoad * float64(slots)
	if age := now.Sub(st.loadAt); age < loadMaxAge {
		weight := 1 - float64(age)/float64(loadMaxAge)
		if st.load.Slots > 0 {
			slots = st.load.Slots
		}
		busy += weight * (float64(st.load.Running+st.load.Waiting) - busy)
		if st.load.Slowness > 0 {
			slow += weight * (st.load.Slowness - slow)
		}
	}
	busy = max(busy, float64(st.inFlight))
	one := float64(work) * st.speed * slow
	wait := max(0, busy+1-float64(slots)) / float64(slots) * one
	return Estimate{
		InFlight: st.inFlight,
		Wait:     time.Duration(wait),
		Total:    time.Duration(wait + one*(1+0.1*min(1, busy/float64(slots)))),
	}
}

func usualSlowness(t *viewer.Target) float64 {
	if t.Slowness > 0 {
		return t.Slowness
	}
	return 1
}

// Choose returns the target of p for a request, nil if none may take it. Targets in tried are left out.
//
// It takes the better one of two that are drawn by their capacity. What a host knows of queues is old where there are many
// hosts, and all of them would meet at the target that looks best.
func (s *Selector) Choose(now time.Time, p *viewer.Pool, n Need, tried []registrar.Incarnation) *viewer.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var local, overall choice
	var last candidate
	for i := range p.Targets {
		t := &p.Targets[i]
		if !usable(t) || t.Cold || slices.Contains(tried, t.Incarnation) {
			continue
		}
		st := s.stat(t.Incarnation)
		score := float64(st.estimate(now, t, n.Work).Total) * (1 + failurePenalty*st.failing) * s.jitter()
		if now.Before(st.avoid) {
			last.offer(t, score)
			continue
		}
		capacity := float64(max(1, t.Slots)) / (usualSlowness(t) * st.speed)
		if t.DataCentre == s.DataCentre {
			local.offer(t, score, capacity)
			overall.offer(t, score, capacity)
			continue
		}
		overall.offer(t, score*remotePenalty, capacity)
	}
	if best := local.best(); best.target != nil && best.score < localShare*float64(n.Objective) {
		return best.target
	}
	if best := overall.best(); best.target != nil {
		return best.target
	}
	return last.target
}

// choice is the better of two targets that are drawn by their capacity.
type choice [2]struct {
	candidate
	total float64
}

func (c *choice) offer(t *viewer.Target, score, capacity float64) {
	for i := range c {
		d := &c[i]
		d.total += capacity
		if rand.Float64()*d.total < capacity {
			d.target, d.score = t, score
		}
	}
}

func (c *choice) best() candidate {
	best := c[0].candidate
	if c[1].target != nil {
		best.offer(c[1].target, c[1].score)
	}
	return best
}

type candidate struct {
	target *viewer.Target
	score  float64
}

func (c *candidate) offer(t *viewer.Target, score float64) {
	if c.target == nil || score < c.score {
		c.target, c.score = t, score
	}
}

// jitter spreads hosts that see the same loads over targets of about the same score.
func (s *Selector) jitter() float64 {
	return 0.95 + 0.1*rand.Float64()
}

func usable(t *viewer.Target) bool {
	return !t.Draining && !t.Out
}

// Begin records that a request is sent to a target.
func (s *Selector) Begin(now time.Time, inc registrar.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stat(inc)
	st.inFlight++
	st.usedAt = now
}

// Result is how a request at a target ended.
type Result struct {
	// Took is the time from sending to the whole answer, zero if there was no answer or the request had to queue. Work is
	// the expected time.
	Took time.Duration
	Work time.Duration
	// Load is what the answer said, nil if it said nothing.
	Load *Load
	// Failed says that the target failed or turned away the request; Broken that no answer came.
	Failed bool
	Broken bool
}

// End records the result of a request that Begin recorded.
func (s *Selector) End(now time.Time, inc registrar.Incarnation, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stat(inc)
	st.inFlight--
	if r.Load != nil {
		st.load, st.loadAt = *r.Load, now
	}
	failed := 0.0
	if r.Failed || r.Broken {
		failed = 1
	}
	st.failing += failureShare * (failed - st.failing)
	if r.Broken {
		st.broken++
		st.avoid = now.Add(min(maxAvoid, avoidTime<<min(st.broken-1, 8)))
		return
	}
	st.broken = 0
	st.avoid = time.Time{}
	if r.Took > 0 && r.Work > 0 && !r.Failed {
		ratio := min(maxSpeed, max(minSpeed, float64(r.Took)/float64(r.Work)))
		st.speed += speedShare * (ratio - st.speed)
	}
}

// Avoided reports whether the last attempts at a target brought no answer, so that it seems to be gone or cut off. Now
// and then it says no for one request, which finds out whether the target is back.
func (s *Selector) Avoided(now time.Time, inc registrar.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.stats[inc]
	if !ok || st.broken < brokenLimit {
		return false
	}
	if now.Before(st.probeAt) {
		return true
	}
	st.probeAt = now.Add(probeInterval)
	return false
}

// Forget drops what is known of targets that were not used since before.
func (s *Selector) Forget(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for inc, st := range s.stats {
		if st.inFlight == 0 && st.usedAt.Before(before) {
			delete(s.stats, inc)
		}
	}
}
