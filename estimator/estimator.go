// Package estimator estimates the load of the keys of one service and the slowness of its targets, as exponentially
// weighted moving averages.
package estimator

import (
	"math"
	"time"

	"bramleyline.example/bramleyline/registrar"
)

const (
	// Keys is the number of keys of a service.
	Keys = 1 << 16
	// timeConstant is the time constant of the load average. It is long enough that the few requests of a second do not
	// look like a change, and short enough to follow a key that becomes hot.
	timeConstant = 3 * time.Second
	// shortTimeConstant is the time constant for keys that become hot. Within it a hot key gets several requests, and any
	// other key hardly ever one.
	shortTimeConstant = 700 * time.Millisecond
	// steadyTimeConstant is the time constant of SteadyLoad. Over 3 s, the load of a target with three requests a second has a
	// standard deviation of a quarter by chance; over 15 s it is a tenth.
	steadyTimeConstant = 15 * time.Second
	// minSteadyObservation is how long SteadyLoad has to be measured before it is used.
	minSteadyObservation = 2 * time.Second
	// hotLoad is the load, in busy slots averaged over shortTimeConstant, from which a key counts as hot.
	hotLoad = 1.0
	// minObservation is how long the load has to be measured before decisions are based on it.
	minObservation = time.Second
	// ratedAnswers is the weight, in answers, of the slowness that health probes rated. It is high because the times of two
	// answers of a target differ by more than the slownesses of targets do.
	ratedAnswers = 40
	// defaultAnswers is the weight, in answers, of the assumption that an unrated target has a slowness of 1.
	defaultAnswers = 4
	// baseLoad is the load, in busy slots, that all keys together are assumed to have in addition to the measured load, so
	// that keys without requests are spread too.
	baseLoad = 1.0
	// answerWeight is the least weight of one answer in the average slowness of a target.
	answerWeight = 0.05
	// ratedAnswerWeight is the same for a rated target.
	ratedAnswerWeight = 0.02
	// steadyAnswerWeight is what answerWeight is for SteadySlowness: with times that vary by two thirds, the average of 20
	// answers varies by a tenth, and the share of a target by more. When the two differ by the factor steadySlownessRatio,
	// the target has changed and SteadySlowness follows at once.
	steadyAnswerWeight  = 0.005
	steadySlownessRatio = 1.5
	// minSlowness and maxSlowness bound the observed slowness that enters the average.
	minSlowness = 0.3
	maxSlowness = 4.0
)

// Estimator estimates the loads and slownesses of one service. The zero value has measured nothing. It is not safe for
// concurrent use.
type Estimator struct {
	// load is the load of each key in busy slots, averaged over timeConstant.
	load []float32
	// recent is the load averaged over shortTimeConstant.
	recent []float32
	// recentTotal is the sum of recent.
	recentTotal float64
	// decayedAt is when load and recent last decayed, and startedAt when measurement began.
	decayedAt time.Time
	startedAt time.Time
	// slownesses maps the ID of each target to its estimate.
	slownesses map[string]*slownessEstimate
	// steady is the load averaged over steadyTimeConstant since steadyStartedAt, nil before the first SteadyLoad. steadySums
	// is the buffer for its result.
	steady          []float32
	steadyStartedAt time.Time
	steadySums      []float64
	// requests and serviceTime are the number and the total expected service time of all requests.
	requests    float64
	serviceTime time.Duration
}

// slownessEstimate is the estimated slowness of a target.
type slownessEstimate struct {
	slowness float64
	// steady is the slowness averaged over more answers.
	steady float64
	// answers is the number of observed answers.
	answers float64
	// priorAnswers is the weight, in answers, of the slowness that was assumed before the first answer.
	priorAnswers float64
	// total is the sum of the observed slownesses of all answers.
	total float64
}

// Add records a request for key with its expected service time, which is its time at an idle target of usual slowness.
func (e *Estimator) Add(now time.Time, key uint16, serviceTime time.Duration) {
	e.decay(now)
	e.requests++
	e.serviceTime += serviceTime
	e.load[key] += float32(serviceTime.Seconds() / timeConstant.Seconds())
	e.recent[key] += float32(serviceTime.Seconds() / shortTimeConstant.Seconds())
	e.recentTotal += serviceTime.Seconds() / shortTimeConstant.Seconds()
	if e.steady != nil {
		e.steady[key] += float32(serviceTime.Seconds() / steadyTimeConstant.Seconds())
	}
}

// Expect sets the rated slowness of a target, as the estimate before its first answer. It changes nothing once there are
// answers.
func (e *Estimator) Expect(target string, slowness float64) {
	if est, ok := e.slownesses[target]; slowness <= 0 || ok && est.answers > 0 {
		return
	}
	est := e.estimateOf(target)
	est.slowness, est.steady, est.priorAnswers = slowness, slowness, ratedAnswers
}

// estimateOf returns the estimate for a target, and adds it if there is none yet.
func (e *Estimator) estimateOf(target string) *slownessEstimate {
	if e.slownesses == nil {
		e.slownesses = make(map[string]*slownessEstimate)
	}
	est, ok := e.slownesses[target]
	if !ok {
		est = &slownessEstimate{
			slowness:     1,
			steady:       1,
			priorAnswers: defaultAnswers,
		}
		e.slownesses[target] = est
	}
	return est
}

// ObserveSlowness records the observed slowness of a target: count requests, answered while it was not busy, took
// slowness times their expected service time on average.
func (e *Estimator) ObserveSlowness(target string, slowness float64, count int) {
	if slowness <= 0 || count <= 0 {
		return
	}
	est := e.estimateOf(target)
	// The prior estimate counts as some answers, so that the first few observed ones do not outweigh it.
	est.answers += float64(count)
	est.total += slowness * float64(count)
	weight := answerWeight
	if est.priorAnswers == ratedAnswers {
		weight = ratedAnswerWeight
	}
	prior := float64(count) / (est.answers + est.priorAnswers)
	combinedWeight := max(1-math.Pow(1-weight, float64(count)), prior)
	bounded := min(maxSlowness, max(minSlowness, slowness))
	est.slowness += combinedWeight * (bounded - est.slowness)
	est.steady += max(1-math.Pow(1-steadyAnswerWeight, float64(count)), prior) * (bounded - est.steady)
	if r := est.slowness / est.steady; r > steadySlownessRatio || r < 1/steadySlownessRatio {
		est.steady = est.slowness
	}
}

// SteadySlowness returns the estimated slowness of a target like Slowness, averaged over more answers unless it has changed.
func (e *Estimator) SteadySlowness(target string) float64 {
	if est, ok := e.slownesses[target]; ok {
		return est.steady
	}
	return 1
}

// Slowness returns the estimated slowness of a target, 1 if there is no estimate.
func (e *Estimator) Slowness(target string) float64 {
	if est, ok := e.slownesses[target]; ok {
		return est.slowness
	}
	return 1
}

// Answers returns the number of answers of a target that ObserveSlowness recorded so far, and the sum of their slownesses.
// The differences between two calls tell of the answers in between.
func (e *Estimator) Answers(target string) (answers, totalSlowness float64) {
	if est, ok := e.slownesses[target]; ok {
		return est.answers, est.total
	}
	return 0, 0
}

// Measured reports whether the load has been measured for long enough at now to base decisions on it.
func (e *Estimator) Measured(now time.Time) bool {
	return !e.startedAt.IsZero() && now.Sub(e.startedAt) >= minObservation
}

// Dispersion returns the index of dispersion of measured loads, that is their variance by chance divided by their mean,
// for requests that arrive at random. A load of few long requests is measured less exactly than one of many short ones.
func (e *Estimator) Dispersion() float64 {
	if e.requests == 0 {
		return 0
	}
	return e.serviceTime.Seconds() / e.requests / (2 * timeConstant.Seconds())
}

// MeanServiceTime returns the mean expected service time of all requests, zero before the first one.
func (e *Estimator) MeanServiceTime() time.Duration {
	if e.requests == 0 {
		return 0
	}
	return time.Duration(float64(e.serviceTime) / e.requests)
}

// CumulativeLoad returns the cumulative load of the keys in busy slots: the load of keys a to b is
// CumulativeLoad[b+1]-CumulativeLoad[a]. The load of keys in rising spans is estimated from the most recent requests.
func (e *Estimator) CumulativeLoad(now time.Time, rising ...registrar.Span) []float64 {
	e.decay(now)
	totalWeight := e.totalWeight(now)
	sums := make([]float64, Keys+1)
	for i, l := range e.load {
		load := float64(l) / totalWeight
		if recent := float64(e.recent[i]); recent >= hotLoad {
			load = max(load, recent)
		}
		sums[i+1] = load
	}
	for _, s := range rising {
		e.fillRecent(now, s, sums[1:])
	}
	for i := range e.load {
		sums[i+1] = sums[i] + sums[i+1] + baseLoad/Keys
	}
	return sums
}

// decay reduces the weight of older requests.
func (e *Estimator) decay(now time.Time) {
	if e.load == nil {
		e.load, e.recent = make([]float32, Keys), make([]float32, Keys)
		e.decayedAt, e.startedAt = now, now
		return
	}
	// The decay of short intervals is deferred, so that adding a request does not update all keys.
	elapsed := now.Sub(e.decayedAt)
	if elapsed < timeConstant/16 {
		return
	}
	factor := float32(math.Exp(-elapsed.Seconds() / timeConstant.Seconds()))
	shortFactor := float32(math.Exp(-elapsed.Seconds() / shortTimeConstant.Seconds()))
	for i := range e.load {
		e.load[i] *= factor
		e.recent[i] *= shortFactor
	}
	e.recentTotal *= float64(shortFactor)
	steadyFactor := float32(math.Exp(-elapsed.Seconds() / steadyTimeConstant.Seconds()))
	for i := range e.steady {
		e.steady[i] *= steadyFactor
	}
	e.decayedAt = now
}
