// Package ramper is a slow start for targets that start or recover: it computes the share of its usual load that a target
// should get. The share rises multiplicatively until the first setback and additively after it, as the congestion window
// of TCP does (Jacobson 1988). It is computed from time and from whatever is observed of the target, so that it works with
// a handful of answers. It does no I/O and reads no clock.
package ramper

import (
	"math"
	"time"
)

const (
	// MinPace is the least pace. It is above zero so that a target always gets requests by which it is measured.
	MinPace = 0.1
	// minStep is the least step.
	minStep = 0.125
	// doubling is the time in which the pace doubles without observations, and goodDoubling the same after good ones.
	doubling     = time.Second
	goodDoubling = 400 * time.Millisecond
	// rise is the additive increase per second after a setback without observations, and goodRise the same after good ones.
	rise     = 0.1
	goodRise = 0.3
	// goodTime is how long a good observation counts, holdTime how long an indifferent one stops the rise, and slowTime the
	// same for a slow one.
	goodTime = time.Second
	holdTime = time.Second
	slowTime = 1500 * time.Millisecond
	// setbackInterval is the least time between two halvings: answers in between are to requests that were sent at the
	// earlier pace.
	setbackInterval = 300 * time.Millisecond
	// slowPatience is how long slowness has to last before it is a setback. The neighbours of a target slow it down for
	// 400 ms at a time, however little load it has.
	slowPatience = 600 * time.Millisecond
	// watchTime is how long the pace has to be 1 before the ramp ends.
	watchTime = 2 * time.Second
	// goodStretch is the greatest ratio of the observed to the expected time that is good, slowStretch the least that is
	// slow, and muchSlowerStretch the least that is a setback at once. Neighbours slow a target down by a factor of three.
	goodStretch       = 1.5
	slowStretch       = 2.0
	muchSlowerStretch = 4.0
	// stretchSmoothing is the weight of the latest answer in the mean stretch, and minMeanAnswers the number of answers from
	// which that mean is used: single service times vary too much.
	stretchSmoothing = 0.3
	minMeanAnswers   = 3
	// maxContradictions is the number of successive answers whose latency contradicts their report after which the reports
	// of the target are ignored.
	maxContradictions = 3
	// maxLoadIncrease bounds the factor by which the load of the established targets rises since others are in a ramp.
	maxLoadIncrease = 1.5
)

// Cause is why a ramp began.
type Cause string

const (
	// CauseWarm is that the target became warm, CauseJoined that it was first seen beside warm targets, and CauseBackoff
	// that it returned from a backoff, or answers again.
	CauseWarm    Cause = "warm"
	CauseJoined  Cause = "joined"
	CauseBackoff Cause = "backoff"
)

// Setback is why a pace was halved; empty means that it was not.
type Setback string

const (
	// SetbackFailed is a failure or a refusal, SetbackSlow an answer much slower than expected or slowness that lasts, and
	// SetbackQueue a long queue.
	SetbackFailed Setback = "failed"
	SetbackSlow   Setback = "slow"
	SetbackQueue  Setback = "queue"
)

// Report is the load that a target reports.
type Report struct {
	// Waiting is the length of the queue, Slots the number of requests that run at the same time.
	Waiting int
	Slots   int
	// Slowness is the ratio of its present to its usual service time, zero if unknown.
	Slowness float64
}

// Observation is what was observed of a target. Parts that are unknown are zero.
type Observation struct {
	// Failed says that the target failed or refused a request.
	Failed bool
	// Stretch is the mean ratio of the observed to the expected time of answers, queueing included, and Answers their
	// number; zero counts as one.
	Stretch float64
	Answers int
	// Report is nil if there was none.
	Report *Report
}

// Ramp computes the pace of one target. The zero value is an established target, whose pace is 1. It is not safe for
// concurrent use.
type Ramp struct {
	active bool
	cause  Cause
	// pace is the pace at the time at.
	pace float64
	at   time.Time
	// setBack says that there was a setback, so that the pace rises additively. setBackAt is the time of the last one.
	setBack   bool
	setBackAt time.Time
	// The pace does not rise before heldUntil, and it rises faster before goodUntil.
	heldUntil time.Time
	goodUntil time.Time
	// slowSince is when slowness began without a good observation since then, zero if there is none.
	slowSince time.Time
	// fullAt is when the pace became 1, zero if it is lower.
	fullAt time.Time
	// stretch is the mean stretch of the answers since the last setback, as an exponentially weighted moving average.
	stretch float64
	answers int
	// contradictions is the number of successive answers that contradicted their report, or the number that agreed while
	// distrusted.
	contradictions int
	distrusted     bool
}

// Start begins a ramp at the least pace.
func (r *Ramp) Start(now time.Time, cause Cause) {
	r.StartAt(now, cause, MinPace)
}

// StartAt begins a ramp at the given pace, which is bounded to what a pace may be. It keeps what is known of the reports of
// the target.
func (r *Ramp) StartAt(now time.Time, cause Cause, pace float64) {
	*r = Ramp{
		active:         true,
		cause:          cause,
		pace:           min(1, max(MinPace, pace)),
		at:             now,
		contradictions: r.contradictions,
		distrusted:     r.distrusted,
	}
}

// Active reports whether the target is in a ramp, as of the last call of another method.
func (r *Ramp) Active() bool { return r.active }

// Cause returns why the ramp began, empty if the target is established.
func (r *Ramp) Cause() Cause { return r.cause }

// Pace returns the pace at now, from MinPace to 1. A ramp ends when its pace has been 1 for some time.
func (r *Ramp) Pace(now time.Time) float64 {
	if !r.active {
		return 1
	}
	r.advance(now)
	if !r.fullAt.IsZero() && now.Sub(r.fullAt) >= watchTime {
		*r = Ramp{
			contradictions: r.contradictions,
			distrusted:     r.distrusted,
		}
		return 1
	}
	return r.pace
}

// Hold stops the rise of the pace for a while: the target should have answered, but nothing was heard of it.
func (r *Ramp) Hold(now time.Time) {
	if r.active {
		r.hold(now, holdTime)
	}
}

// Observe updates the pace by an observation, and returns why the pace was halved if it was. The observation may come from
// an answer to this host or be learned from another host.
func (r *Ramp) Observe(now time.Time, o Observation) Setback {
	if !r.active {
		return ""
	}
	r.advance(now)
	if o.Failed {
		r.hold(now, slowTime)
		return r.lower(now, SetbackFailed)
	}
	latency := r.observeStretch(o)
	report := ofReport(o.Report)
	r.compare(latency, report)
	worst := latency
	if report > worst && !r.distrusted {
		worst = report
	}
	switch worst {
	case unknown:
	case good:
		r.goodUntil, r.heldUntil, r.slowSince = now.Add(goodTime), time.Time{}, time.Time{}
	case indifferent:
		r.hold(now, holdTime)
	case slow:
		r.hold(now, slowTime)
		if r.slowSince.IsZero() {
			r.slowSince = now
		}
		if now.Sub(r.slowSince) >= slowPatience {
			return r.lower(now, SetbackSlow)
		}
	case overloaded:
		r.hold(now, slowTime)
		if latency == overloaded {
			return r.lower(now, SetbackSlow)
		}
		return r.lower(now, SetbackQueue)
	}
	return ""
}

// verdict is what an observation says of a target, from better to worse.
type verdict int

const (
	unknown verdict = iota
	good
	indifferent
	slow
	overloaded
)

// observeStretch adds answers to the mean stretch and judges them.
func (r *Ramp) observeStretch(o Observation) verdict {
	if o.Stretch <= 0 {
		return unknown
	}
	n := max(1, o.Answers)
	r.answers += n
	weight := max(1-math.Pow(1-stretchSmoothing, float64(n)), float64(n)/float64(r.answers))
	r.stretch += weight * (o.Stretch - r.stretch)
	v := ofStretch(o.Stretch)
	if v == slow && r.answers < minMeanAnswers {
		// One answer in eight takes that long by chance.
		return indifferent
	}
	if v < slow && r.answers >= minMeanAnswers && r.stretch >= slowStretch {
		return slow
	}
	return v
}

func ofStretch(stretch float64) verdict {
	switch {
	case stretch >= muchSlowerStretch:
		return overloaded
	case stretch >= slowStretch:
		return slow
	case stretch > goodStretch:
		return indifferent
	}
	return good
}

func ofReport(p *Report) verdict {
	switch {
	case p == nil:
		return unknown
	case p.Slots > 0 && p.Waiting >= p.Slots:
		return overloaded
	case p.Slowness >= slowStretch:
		return slow
	case p.Waiting > 0 || p.Slowness > goodStretch:
		return indifferent
	}
	return good
}

// compare updates whether the reports of the target are trusted.
func (r *Ramp) compare(latency, report verdict) {
	if latency == unknown || report == unknown || latency == indifferent || report == indifferent {
		return
	}
	contradicts := (latency == good) != (report == good)
	if contradicts == r.distrusted {
		r.contradictions = 0
		return
	}
	r.contradictions++
	if r.contradictions >= maxContradictions {
		r.contradictions, r.distrusted = 0, !r.distrusted
	}
}

// hold stops the rise of the pace for d.
func (r *Ramp) hold(now time.Time, d time.Duration) {
	r.goodUntil = time.Time{}
	if until := now.Add(d); until.After(r.heldUntil) {
		r.heldUntil = until
	}
}

// lower halves the pace unless it was just halved, and returns the reason if it did.
func (r *Ramp) lower(now time.Time, reason Setback) Setback {
	if !r.setBackAt.IsZero() && now.Sub(r.setBackAt) < setbackInterval {
		return ""
	}
	r.setBack, r.setBackAt = true, now
	// Slowness that lasts on has to last for the same time again before the next setback.
	r.slowSince, r.fullAt = time.Time{}, time.Time{}
	r.stretch, r.answers = 0, 0
	if r.pace <= MinPace {
		return ""
	}
	r.pace = max(MinPace, r.pace/2)
	return reason
}

// advance raises the pace by the time that has passed.
func (r *Ramp) advance(now time.Time) {
	for r.at.Before(now) {
		until := now
		held, fast := r.at.Before(r.heldUntil), r.at.Before(r.goodUntil)
		if held {
			until = earlier(now, r.heldUntil)
		} else if fast {
			until = earlier(now, r.goodUntil)
		}
		if !held {
			r.raise(until, fast)
		}
		r.at = until
	}
}

// raise raises the pace from the time r.at to until.
func (r *Ramp) raise(until time.Time, fast bool) {
	elapsed := until.Sub(r.at).Seconds()
	slope, double := rise, doubling.Seconds()
	if fast {
		slope, double = goodRise, goodDoubling.Seconds()
	}
	if r.setBack {
		r.pace += slope * elapsed
	} else {
		r.pace *= math.Exp2(elapsed / double)
	}
	r.pace = min(1, r.pace)
	if r.pace == 1 && r.fullAt.IsZero() {
		r.fullAt = until
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Step returns the step of a pace: 1/8, 1/4, 1/2 or 1. It has a hysteresis, so that a single setback does not lower it: it
// falls when the pace is less than half of the previous step.
func Step(previous, pace float64) float64 {
	step := min(1, max(minStep, previous))
	for step < 1 && pace >= 2*step {
		step *= 2
	}
	for step > minStep && pace < step/2 {
		step /= 2
	}
	return step
}

// Cover returns the least step that is at least share.
func Cover(share float64) float64 {
	step := float64(minStep)
	for step < 1 && step < share {
		step *= 2
	}
	return step
}

// Floor returns the least pace of targets in a ramp that have the given fraction of the capacity of a service, so that the
// load of the others rises by maxLoadIncrease at most.
func Floor(fraction float64) float64 {
	if fraction <= 0 {
		return 0
	}
	return max(0, 1-(1-1/maxLoadIncrease)/fraction)
}
