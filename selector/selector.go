// Package selector is a client-side load balancer for the requests to shared services. It estimates the queue, slowness
// and failure rate of each target from this host's own requests and from the load that targets report in their answers,
// and chooses the better of two targets that are drawn at random by their capacity.
package selector

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// loadMaxAge is the age from which a reported load is ignored, since the noise of the platform changes every few
	// hundred milliseconds.
	loadMaxAge = 600 * time.Millisecond
	// defaultUtilization is the assumed share of busy slots of a target whose reported load is stale or missing.
	defaultUtilization = 0.5
	// slownessSmoothing is the weight of the latest answer in the observed slowness of a target.
	slownessSmoothing = 0.08
	// minObservedSlowness and maxObservedSlowness bound each sample of the observed slowness, so that a few outliers
	// cannot exclude a target.
	minObservedSlowness = 0.3
	maxObservedSlowness = 6.0
	// failureSmoothing is the weight of the latest attempt in the failure rate of a target.
	failureSmoothing = 0.1
	// failurePenalty is the multiple of the expected time that is added to the score of a target that always fails.
	failurePenalty = 8.0
	// minBackoff is the first backoff after an attempt without an answer, whether no connection could be made or the
	// request broke off.
	minBackoff = 400 * time.Millisecond
	// maxBackoff bounds the backoff, which doubles with each further attempt without an answer.
	maxBackoff = 3 * time.Second
	// unansweredLimit is the number of consecutive attempts without an answer after which the owner of a key counts as
	// unresponsive, and probeInterval the time between the requests that are still sent to it as probes.
	unansweredLimit = 3
	probeInterval   = 100 * time.Millisecond
	// localObjectiveShare is the share of the time to the objective below which the score of a target in this host's
	// data centre is good enough, so that other data centres are not considered.
	localObjectiveShare = 0.75
	// remotePenalty is the factor on the score of a target in another data centre, which saves traffic between data
	// centres.
	remotePenalty = 1.3
)

// Load is the load that a target reports in an answer.
type Load struct {
	// Running is the number of requests that occupy a slot, Waiting the queue length, Slots the number of slots.
	Running int
	Waiting int
	Slots   int
	// Slowness is the factor by which requests take longer than usual at the moment, 1 as usual. Zero means not
	// reported.
	Slowness float64
}

// Need describes a request for the choice of its target.
type Need struct {
	// Work is the expected service time: the time at an idle target of usual slowness.
	Work time.Duration
	// Objective is the time left in which an answer is on time.
	Objective time.Duration
}

// Selector keeps statistics of targets and chooses targets by them. The zero value is ready to use, with no statistics.
// It is safe for concurrent use.
type Selector struct {
	// DataCentre is the data centre of this host.
	DataCentre string
	// Random is the source of the draws, for tests; nil means the generator of math/rand/v2.
	Random *rand.Rand
	// Log may be nil.
	Log *log.Logger
	// Slow receives a value when a target reports that it has become slow, unless one is waiting there. It may be nil.
	Slow chan struct{}

	mu    sync.Mutex
	stats map[registrar.Incarnation]*targetStats
	// pools holds the state of the paces of each service.
	pools map[string]*poolPace
}

// targetStats holds the statistics of one incarnation of a target.
type targetStats struct {
	inFlight       int
	load           Load
	loadReceivedAt time.Time
	// observedSlowness is the ratio of the observed to the expected time of requests, an exponentially weighted moving
	// average. The slowness that the target reports is taken out of the observed time.
	observedSlowness float64
	// failureRate is the share of failed attempts, an exponentially weighted moving average.
	failureRate float64
	// unanswered is the number of consecutive attempts without an answer.
	unanswered   int
	backoffUntil time.Time
	nextProbeAt  time.Time
	lastUsedAt   time.Time
	// coldRequests are the times of the latest requests that were sent while the target was cold.
	coldRequests []time.Time
	targetPace
	// learned is the load that other hosts observed, and begunAt holds the times of this host's requests in flight.
	learned Learned
	begunAt []time.Time
}

func (s *Selector) targetStats(inc registrar.Incarnation) *targetStats {
	if s.stats == nil {
		s.stats = make(map[registrar.Incarnation]*targetStats)
	}
	st, ok := s.stats[inc]
	if !ok {
		st = &targetStats{
			observedSlowness: 1,
		}
		s.stats[inc] = st
	}
	return st
}

// Estimate is the expected time of one more request at a target.
type Estimate struct {
	// InFlight is the number of this host's requests at the target.
	InFlight int
	// Wait is the expected queueing delay, Total the expected time until the answer.
	Wait  time.Duration
	Total time.Duration
}

// Estimate returns the expected time of one more request at t.
func (s *Selector) Estimate(now time.Time, t *viewer.Target, serviceTime time.Duration) Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetStats(t.Incarnation).estimate(now, t, serviceTime)
}

// estimate combines the latest reported load with the defaults. The weight of the reported load falls linearly with its
// age.
func (st *targetStats) estimate(now time.Time, t *viewer.Target, serviceTime time.Duration) Estimate {
	slots := max(1, t.Slots)
	slowness := ratedSlowness(t)
	busySlots := defaultUtilization * float64(slots)
	load, reportedAt := st.newestLoad()
	if weight := freshness(now, reportedAt); weight > 0 {
		if load.Slots > 0 {
			slots = load.Slots
		}
		if load.Slowness > 0 {
			slowness += weight * (load.Slowness - slowness)
		}
	}
	if busy, at := st.newestBusy(now); freshness(now, at) > 0 {
		busySlots += freshness(now, at) * (busy - busySlots)
	}
	busySlots = max(busySlots, float64(st.inFlight))
	adjustedTime := float64(serviceTime) * st.observedSlowness * slowness
	wait := max(0, busySlots+1-float64(slots)) / float64(slots) * adjustedTime
	return Estimate{
		InFlight: st.inFlight,
		Wait:     time.Duration(wait),
		Total:    time.Duration(wait + adjustedTime*(1+0.1*min(1, busySlots/float64(slots)))),
	}
}

func ratedSlowness(t *viewer.Target) float64 {
	if t.Slowness > 0 {
		return t.Slowness
	}
	return 1
}

// Choose returns the target of p for a request, nil if there is none. It skips targets in tried and targets that are
// cold, draining or out of service. A target in backoff is returned only if there is no other.
//
// It draws two targets at random, weighted by their capacity, and returns the one with the lower expected time (the
// power of two choices). With many hosts the reported loads are stale, so if each host chose the target that looks
// best, all of them would send to the same one.
func (s *Selector) Choose(now time.Time, p *viewer.Pool, n Need, tried []registrar.Incarnation) *viewer.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var local, overall weightedPair
	var backedOff candidate
	pace := s.poolPace(now, p.Service.Name, n.Work)
	for i := range p.Targets {
		t := &p.Targets[i]
		st := s.targetStats(t.Incarnation)
		s.see(now, pace, st, t)
		if !usable(t) || t.Cold || slices.Contains(tried, t.Incarnation) {
			continue
		}
		e := st.estimate(now, t, n.Work)
		score := float64(e.Total) * (1 + failurePenalty*st.failureRate) * s.jitter()
		if now.Before(st.backoffUntil) {
			backedOff.offer(t, score)
			continue
		}
		capacity := st.drawWeight(now, t, n.Work, e) * s.pace(now, pace, st, t)
		if t.DataCentre == s.DataCentre {
			draw := s.expFloat64() / capacity
			local.offer(t, score, draw)
			overall.offer(t, score, draw)
			continue
		}
		overall.offer(t, score*remotePenalty, s.expFloat64()/capacity)
	}
	if best := local.best(); best.target != nil && best.score < localObjectiveShare*float64(n.Objective) {
		return best.target
	}
	if best := overall.best(); best.target != nil {
		return best.target
	}
	return backedOff.target
}

// weightedPair draws two different targets at random in one pass: those with the least draws. With draws that are
// distributed exponentially with the capacity of the target as their rate, that is a sample without replacement that is
// weighted by capacity. Comparing a target with itself would choose it however bad it is.
type weightedPair [2]struct {
	candidate
	draw float64
}

func (c *weightedPair) offer(t *viewer.Target, score, draw float64) {
	for i := range c {
		d := &c[i]
		if d.target == nil || draw < d.draw {
			d.target, t = t, d.target
			d.score, score = score, d.score
			d.draw, draw = draw, d.draw
		}
		if t == nil {
			return
		}
	}
}

func (c *weightedPair) best() candidate {
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

// jitter returns a random factor from 0.95 to 1.05, which spreads hosts with the same loads over targets with about the
// same score.
func (s *Selector) jitter() float64 {
	return 0.95 + 0.1*s.float64()
}

func (s *Selector) float64() float64 {
	if s.Random != nil {
		return s.Random.Float64()
	}
	return rand.Float64()
}

func (s *Selector) expFloat64() float64 {
	if s.Random != nil {
		return s.Random.ExpFloat64()
	}
	return rand.ExpFloat64()
}

func usable(t *viewer.Target) bool {
	return !t.Draining && !t.Out
}

// ForgetFailures forgets the attempts that failed, because they were the fault of this host's links.
func (s *Selector) ForgetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.stats {
		st.unanswered, st.failureRate = 0, 0
		st.backoffUntil, st.nextProbeAt = time.Time{}, time.Time{}
		st.forgetBackoff()
	}
}

// Begin records the start of an attempt at a target.
func (s *Selector) Begin(now time.Time, inc registrar.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.targetStats(inc)
	st.inFlight++
	st.begunAt = append(st.begunAt, now)
	st.lastUsedAt = now
}

// Result is the outcome of an attempt.
type Result struct {
	// Took is the time from sending the request to the end of the answer, divided by the reported slowness of the
	// target. It is zero if there was no answer or the request had to queue. Work is the expected service time.
	Took time.Duration
	Work time.Duration
	// Latency is the time from sending the request to the end of the answer, with everything included; zero if there was no
	// answer.
	Latency time.Duration
	// Load is the load that the answer reported, nil if none.
	Load *Load
	// Failed is true if the target failed or rejected the request, Unanswered if no answer came.
	Failed     bool
	Unanswered bool
}

// End records the result of an attempt that Begin recorded.
func (s *Selector) End(now time.Time, inc registrar.Incarnation, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.targetStats(inc)
	st.inFlight--
	// Which request ended is not known; at a target the oldest usually ends first.
	if len(st.begunAt) > 0 {
		st.begunAt = slices.Delete(st.begunAt, 0, 1)
	}
	if r.Load != nil {
		s.signalSlow(now, st, r.Load)
		st.load, st.loadReceivedAt = *r.Load, now
	}
	s.observePace(now, st, inc, r)
	failed := 0.0
	if r.Failed || r.Unanswered {
		failed = 1
	}
	st.failureRate += failureSmoothing * (failed - st.failureRate)
	if r.Unanswered {
		st.unanswered++
		st.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(st.unanswered-1, 8)))
		st.inBackoff = true
		return
	}
	st.unanswered = 0
	st.backoffUntil = time.Time{}
	if r.Took > 0 && r.Work > 0 && !r.Failed {
		ratio := min(maxObservedSlowness, max(minObservedSlowness, float64(r.Took)/float64(r.Work)))
		st.observedSlowness += slownessSmoothing * (ratio - st.observedSlowness)
	}
}

// BackedOff reports whether a target is in backoff after attempts without an answer.
func (s *Selector) BackedOff(now time.Time, inc registrar.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.targetStats(inc).backoffUntil)
}

// Unresponsive reports whether a target is unresponsive, because its last attempts brought no answer: its process may
// have ended or the network may be partitioned. Once per probeInterval it returns false, so that one request probes
// whether the target answers again.
func (s *Selector) Unresponsive(now time.Time, inc registrar.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.stats[inc]
	if !ok || st.unanswered < unansweredLimit {
		return false
	}
	if now.Before(st.nextProbeAt) {
		return true
	}
	st.nextProbeAt = now.Add(probeInterval)
	return false
}

// Forget deletes the statistics of targets without requests in flight to which no request was sent since before.
func (s *Selector) Forget(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for inc, st := range s.stats {
		if st.inFlight > 0 || !st.lastUsedAt.Before(before) {
			continue
		}
		if st.seenAt.Before(before) {
			delete(s.stats, inc)
			continue
		}
		// Without its pace, the target would count as new.
		s.stats[inc] = &targetStats{
			observedSlowness: 1,
			targetPace:       st.targetPace,
		}
	}
	s.forgetPools(before)
}
