// Package estimator measures how much work the keys of one service ask for and how fast its targets are, with weights
// that decay over time.
package estimator

import (
	"math"
	"time"
)

const (
	// Keys is the number of keys of a service.
	Keys = 1 << 16
	// memory is the time constant with which older work counts less. It is long enough that the few requests of a second
	// do not look like a change, and short enough to follow a key that becomes busy.
	memory = 3 * time.Second
	// shortMemory is the time constant for keys that become busy. Within it a busy key is asked for several times, and
	// any other key hardly ever.
	shortMemory = 700 * time.Millisecond
	// hotLoad is the load, in busy slots over shortMemory, from which a key counts as busy.
	hotLoad = 1.0
	// settleTime is how long the load is measured before it is judged by.
	settleTime = time.Second
	// ratedAnswers is the weight, in answers, of what a target says of its speed itself. The time of one answer differs
	// from the next by more than the speed of targets does.
	ratedAnswers = 40
	// firstAnswers is the weight of the assumption that a target has usual speed, in answers.
	firstAnswers = 4
	// baseLoad is the load, in busy slots, that all keys together are taken to have beyond what was measured, so that
	// keys without requests are spread too.
	baseLoad = 1.0
	// slownessShare is the weight of one answer in the slowness of a target.
	slownessShare = 0.05
	// ratedShare is the same for a target that says itself how fast it is.
	ratedShare = 0.02
	// minSlowness and maxSlowness bound the learned slowness of a target.
	minSlowness = 0.3
	maxSlowness = 4.0
)

// Estimator measures one service. The zero value has measured nothing. It is not safe for concurrent use.
type Estimator struct {
	load []float32
	// recent is the load over shortMemory.
	recent []float32
	at     time.Time
	since  time.Time
	paces  map[string]*pace
	// requests and work are the number and the work of all requests.
	requests float64
	work     time.Duration
}

// pace is how fast a target is.
type pace struct {
	slowness float64
	seen     float64
	// assumed is the weight of what was assumed before the first answer, in answers.
	assumed float64
}

// Add records that a request for key took work at a target of usual speed.
func (e *Estimator) Add(now time.Time, key uint16, work time.Duration) {
	e.decay(now)
	e.requests++
	e.work += work
	e.load[key] += float32(work.Seconds() / memory.Seconds())
	e.recent[key] += float32(work.Seconds() / shortMemory.Seconds())
}

// Expect tells the slowness of a target before any of its answers. It changes nothing once there are some.
func (e *Estimator) Expect(target string, slowness float64) {
	if p, ok := e.paces[target]; slowness <= 0 || ok && p.seen > 0 {
		return
	}
	p := e.pace(target)
	p.slowness, p.assumed = slowness, ratedAnswers
}

func (e *Estimator) pace(target string) *pace {
	if e.paces == nil {
		e.paces = make(map[string]*pace)
	}
	p, ok := e.paces[target]
	if !ok {
		p = &pace{
			slowness: 1,
			assumed:  firstAnswers,
		}
		e.paces[target] = p
	}
	return p
}

// Saw records how many times longer than usual count requests took on average at a target that was not busy.
func (e *Estimator) Saw(target string, slowness float64, count int) {
	if slowness <= 0 || count <= 0 {
		return
	}
	p := e.pace(target)
	// What was assumed counts as some answers, so that a few others do not decide.
	p.seen += float64(count)
	least := slownessShare
	if p.assumed == ratedAnswers {
		least = ratedShare
	}
	share := max(1-math.Pow(1-least, float64(count)), float64(count)/(p.seen+p.assumed))
	p.slowness += share * (min(maxSlowness, max(minSlowness, slowness)) - p.slowness)
}

// Slowness returns how many times longer than usual requests take at a target, 1 if nothing is known.
func (e *Estimator) Slowness(target string) float64 {
	if p, ok := e.paces[target]; ok {
		return p.slowness
	}
	return 1
}

// Settled reports whether enough was measured at now to judge by it.
func (e *Estimator) Settled(now time.Time) bool {
	return !e.since.IsZero() && now.Sub(e.since) >= settleTime
}

// Grain is the variance of a measured load by chance, as a share of the load: a load of few long requests is known less
// exactly than one of many short ones.
func (e *Estimator) Grain() float64 {
	if e.requests == 0 {
		return 0
	}
	return e.work.Seconds() / e.requests / (2 * memory.Seconds())
}

// Sums returns the cumulated load of the keys in busy slots: the load of keys a to b is Sums[b+1]-Sums[a].
func (e *Estimator) Sums(now time.Time) []float64 {
	e.decay(now)
	// At first the weights have not added up to one yet.
	full := 1 - math.Exp(-max(settleTime, now.Sub(e.since)).Seconds()/memory.Seconds())
	sums := make([]float64, Keys+1)
	for i, l := range e.load {
		load := float64(l) / full
		if recent := float64(e.recent[i]); recent >= hotLoad {
			load = max(load, recent)
		}
		sums[i+1] = sums[i] + load + baseLoad/Keys
	}
	return sums
}

func (e *Estimator) decay(now time.Time) {
	if e.load == nil {
		e.load, e.recent = make([]float32, Keys), make([]float32, Keys)
		e.at, e.since = now, now
		return
	}
	// Small steps are left for later, so that adding a request does not touch all keys.
	passed := now.Sub(e.at)
	if passed < memory/16 {
		return
	}
	f := float32(math.Exp(-passed.Seconds() / memory.Seconds()))
	short := float32(math.Exp(-passed.Seconds() / shortMemory.Seconds()))
	for i := range e.load {
		e.load[i] *= f
		e.recent[i] *= short
	}
	e.at = now
}
