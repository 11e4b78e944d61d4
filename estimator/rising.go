package estimator

import (
	"math"
	"time"

	"bramleyline.example/bramleyline/registrar"
)

const (
	// riseEvidence is the least evidence that the load of a span has risen: the probability of as many requests by chance is
	// below exp(-riseEvidence), about 1e-7. A thousand ranges are tested ten times a second.
	riseEvidence = 16
	// minRise is the least ratio of the load of a rising span to its load before. Smaller rises are left to moves of single parts.
	minRise = 2
	// maxRiseTime bounds the estimated time since a rise. After it, the short average is right without a correction.
	maxRiseTime = 5 * time.Second
	// minRiseTime bounds it from below, so that the correction for the first requests is bounded.
	minRiseTime = 200 * time.Millisecond
	// riseSteps is the number of bisections for the time since a rise.
	riseSteps = 12
	// blockKeys is the number of neighbouring keys whose mean load enters the estimate of each of them in a rising span, and
	// blockRequests the weight of that mean, in requests for a key. A key with 0.4 busy slots has about one request within
	// shortTimeConstant.
	blockKeys     = 32
	blockRequests = 2
)

// totalWeight is the sum of the weights in the load average. They add up to one only after several time constants, so the
// load is scaled up before.
func (e *Estimator) totalWeight(now time.Time) float64 {
	return 1 - math.Exp(-max(minObservation, now.Sub(e.startedAt)).Seconds()/timeConstant.Seconds())
}

// Rising returns the load of a span in busy slots, and whether it has risen within the last second or two: the load over
// shortTimeConstant is so far above the average over timeConstant that it cannot be by chance (Chernoff bound for Poisson
// counts). The load of a rising span is estimated from its most recent requests.
func (e *Estimator) Rising(now time.Time, s registrar.Span) (load float64, rising bool) {
	e.decay(now)
	slow, recent := e.sumLoads(now, s)
	// When all keys get requests after a pause, the span is compared with its part of them.
	before := loadBefore(slow, recent, e.evenPart(s))
	if e.requests == 0 || recent < minRise*before {
		return slow, false
	}
	// A request counts as one when it arrives and as less later.
	perBusySlot := shortTimeConstant.Seconds() / e.MeanServiceTime().Seconds()
	n, expected := recent*perBusySlot, before*perBusySlot
	if n*math.Log(n/expected)-(n-expected) < riseEvidence {
		return slow, false
	}
	return recent * riseCorrection(slow, recent, e.evenPart(s)), true
}

// evenPart returns the load of a span if the recent load of all keys were even.
func (e *Estimator) evenPart(s registrar.Span) float64 {
	return (e.recentTotal + baseLoad) * (float64(s.To) - float64(s.From) + 1) / Keys
}

// RecentRequests returns about how many requests for a span arrived within shortTimeConstant. Those that arrived earlier count as
// less.
func (e *Estimator) RecentRequests(now time.Time, s registrar.Span) float64 {
	if e.requests == 0 {
		return 0
	}
	_, recent := e.sumLoads(now, s)
	return recent * shortTimeConstant.Seconds() / e.MeanServiceTime().Seconds()
}

// loadBefore returns an upper bound of the load before a rise: a request that has just arrived raises the two averages in the
// inverse ratio of their time constants, and an earlier one raises the average over timeConstant by more than that.
func loadBefore(slow, recent, least float64) float64 {
	const ratio = float64(shortTimeConstant) / float64(timeConstant)
	return max(least, (slow-ratio*recent)/(1-ratio))
}

// sumLoads returns the load of a span, averaged over timeConstant and over shortTimeConstant.
func (e *Estimator) sumLoads(now time.Time, s registrar.Span) (slow, recent float64) {
	for k := int(s.From); k <= int(s.To); k++ {
		slow += float64(e.load[k])
		recent += float64(e.recent[k])
	}
	base := baseLoad / Keys * (float64(s.To) - float64(s.From) + 1)
	return slow/e.totalWeight(now) + base, recent + base
}

// riseCorrection returns the factor by which the short average is below the present load. What the two averages have above
// the load before tells by its ratio how long ago the load rose. If the load before was more than even, the factor is too small.
func riseCorrection(slow, recent, even float64) float64 {
	weight := func(t, constant time.Duration) float64 { return 1 - math.Exp(-t.Seconds()/constant.Seconds()) }
	before := min(even, slow/2)
	low, high := minRiseTime, maxRiseTime
	for range riseSteps {
		t := (low + high) / 2
		if weight(t, shortTimeConstant)/weight(t, timeConstant) > (recent-before)/(slow-before) {
			low = t
		} else {
			high = t
		}
	}
	return (before + (recent-before)/weight(low, shortTimeConstant)) / recent
}

// fillRecent sets the loads of the keys of a span to estimates from their most recent requests: a mean of the load of the key,
// which is exact only if it has many requests, and of the mean load in its block.
func (e *Estimator) fillRecent(now time.Time, s registrar.Span, loads []float64) {
	if e.requests == 0 {
		return
	}
	slow, recent := e.sumLoads(now, s)
	correction := 1.0
	if recent > slow {
		correction = riseCorrection(slow, recent, e.evenPart(s))
	}
	perBusySlot := shortTimeConstant.Seconds() / e.MeanServiceTime().Seconds()
	for from := int(s.From); from <= int(s.To); from += blockKeys {
		end := min(from+blockKeys, int(s.To)+1)
		mean := 0.0
		for k := from; k < end; k++ {
			mean += float64(e.recent[k]) / float64(end-from)
		}
		own := mean * perBusySlot / (mean*perBusySlot + blockRequests)
		for k := from; k < end; k++ {
			load := float64(e.recent[k])
			if load < hotLoad {
				load = own*load + (1-own)*mean
			}
			loads[k] = correction * load
		}
	}
}

// SteadyLoad returns the cumulative load of the keys like CumulativeLoad, but averaged over steadyTimeConstant, and its index of
// dispersion. The average begins with the first call; until it covers minSteadyObservation, ok is false. The result is valid
// until the next call.
func (e *Estimator) SteadyLoad(now time.Time) (sums []float64, dispersion float64, ok bool) {
	e.decay(now)
	if e.steady == nil {
		e.steady, e.steadySums = make([]float32, Keys), make([]float64, Keys+1)
		e.steadyStartedAt = now
	}
	age := now.Sub(e.steadyStartedAt)
	if age < minSteadyObservation {
		return nil, 0, false
	}
	remaining := math.Exp(-age.Seconds() / steadyTimeConstant.Seconds())
	for i, l := range e.steady {
		e.steadySums[i+1] = e.steadySums[i] + float64(l)/(1-remaining) + baseLoad/Keys
	}
	// The variance of the average is the sum of the squares of its normalized weights.
	dispersion = e.MeanServiceTime().Seconds() * (1 + remaining) / (2 * steadyTimeConstant.Seconds() * (1 - remaining))
	return e.steadySums, dispersion, true
}
