// Package prioritizer is an admission controller that sheds load by priority. It divides the capacity of a service among
// the priorities of its requests, and admits the resulting share of the arrivals of one host.
package prioritizer

import (
	"slices"
	"sync"
	"time"
)

const (
	// queueHorizon is the time over which demand may exceed the capacity before requests are refused, as far as they can wait
	// for what queues up in it. A host knows the demand of the others a second late, and refused callers return within seconds,
	// so a shorter excess is over before a refusal helps.
	queueHorizon = 4 * time.Second
	// minShareFactor is the least share of a priority, as a part of the share of all work together. A quarter of the
	// requests is required; shares are of work, so there is a margin for routes with different service times.
	minShareFactor = 0.3
	// MinRetryAfter is the least delay before a refused caller should return, and the least age of one that has waited for it.
	// maxRetryAfter bounds the delay before it is drawn.
	MinRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// waitShare is the share of the time that a caller has left in which it waits to return.
	waitShare = 1.0 / 3
	// shortestRetryAfter is the shortest delay that the header can express.
	shortestRetryAfter = 10 * time.Millisecond
	// maxBorrowed is the number of returning callers that a route may admit ahead of its share.
	maxBorrowed = 4
	// rounding is the tolerance of the accumulators for sums of shares.
	rounding = 1e-9
)

// Demand is the work of one priority that arrives.
type Demand struct {
	// Priority is the rank of the routes; zero is the most urgent.
	Priority int
	// Work is the number of slots of usual speed that the work keeps busy: arrivals per second x expected service time.
	Work float64
	// Slack is how long the requests can wait and still be answered.
	Slack time.Duration
}

// Request is an arrival.
type Request struct {
	Route    string
	Priority int
	// Returning says that the caller was refused before, and waited as long as it was asked to.
	Returning bool
}

// Prioritizer admits the requests of one host to one service. The zero value admits everything. It is safe for concurrent
// use.
type Prioritizer struct {
	// Phase is the credit that each route starts with, from zero to one. It differs between hosts, so that they do not
	// all refuse the same arrivals.
	Phase float64

	mu       sync.Mutex
	shares   shares
	pressure float64
	// credits holds the accumulator of each route: the number of requests that it may admit, negative for admissions ahead
	// of its share.
	credits map[string]float64
}

// Update sets the capacity of the service, in slots of usual speed, and the demand of all hosts together. A capacity of zero or
// less means that it is not known: then everything is admitted.
func (p *Prioritizer) Update(capacity float64, demand []Demand) {
	s, pressure := divide(capacity*overbooking(demand), demand)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares, p.pressure = s, pressure
}

// Pressure returns the demand as a multiple of the usable capacity, zero if one of them is not known.
func (p *Prioritizer) Pressure() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pressure
}

// Contended reports whether priorities compete for the service: the demand of at least two exceeds the usable capacity.
func (p *Prioritizer) Contended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pressure > 1 && len(p.shares.byPriority) > 1
}

// Share returns the share of the requests of a priority that is admitted.
func (p *Prioritizer) Share(priority int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shares.of(priority)
}

// Admit records an arrival and reports whether it is admitted. Of n arrivals of a route, its share times n are admitted,
// rounded to a whole number and exceeded by at most maxBorrowed. Returning callers come first.
func (p *Prioritizer) Admit(r Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.shares.of(r.Priority)
	if share >= 1 {
		// What was borrowed is not paid back from a later overload.
		delete(p.credits, r.Route)
		return true
	}
	if p.credits == nil {
		p.credits = make(map[string]float64)
	}
	credit, ok := p.credits[r.Route]
	if !ok {
		credit = p.Phase
	}
	credit += share
	least := 1.0
	if r.Returning {
		least = 1 - maxBorrowed
	}
	admitted := credit >= least-rounding
	if admitted {
		credit--
	}
	p.credits[r.Route] = credit
	return admitted
}

// RetryAfter returns the time after which a refused caller should return that has the given time left. It grows with the
// pressure, as an excess takes longer to end, and is drawn from one to two times that, so that callers do not return together;
// draw is uniform in [0, 1).
func (p *Prioritizer) RetryAfter(left time.Duration, draw float64) time.Duration {
	pressure := p.Pressure()
	delay := min(maxRetryAfter, time.Duration(max(1, pressure*pressure)*float64(MinRetryAfter)))
	if left > 0 {
		delay = min(delay, time.Duration(waitShare/2*float64(left)))
	}
	return time.Duration((1 + draw) * float64(max(delay, shortestRetryAfter)))
}

// overbooking returns the demand, as a multiple of the capacity, up to which everything is admitted: a greater one would, within
// queueHorizon, queue up more than the requests can wait for. Their slack is averaged by work, so that a few requests that cannot
// wait do not cause the refusal of many that can.
func overbooking(demand []Demand) float64 {
	work, slack := 0.0, 0.0
	for _, d := range demand {
		work += max(0, d.Work)
		slack += max(0, d.Work) * max(0, d.Slack.Seconds())
	}
	if work == 0 {
		return 1
	}
	return 1 + min(1, slack/work/queueHorizon.Seconds())
}

// shares holds the admitted share of each priority.
type shares struct {
	// byPriority is sorted, the most urgent priority first. The shares fall.
	byPriority []share
	// least is the share of a priority that gets no more than the minimum.
	least float64
}

type share struct {
	priority int
	admitted float64
}

// divide gives the capacity to the priorities in their order, but to each at least the minimum. It returns the demand as a
// multiple of capacity, too.
func divide(capacity float64, demand []Demand) (shares, float64) {
	demand = slices.DeleteFunc(slices.Clone(demand), func(d Demand) bool { return d.Work <= 0 })
	total := 0.0
	for _, d := range demand {
		total += d.Work
	}
	if capacity <= 0 || total <= 0 {
		return shares{least: 1}, 0
	}
	pressure := total / capacity
	if len(demand) == 1 {
		// No other requests are served instead of a refused one, and targets refuse what they cannot queue.
		return shares{least: 1}, pressure
	}
	s := shares{
		least: minShareFactor * min(1, 1/pressure),
	}
	slices.SortFunc(demand, func(a, b Demand) int { return a.Priority - b.Priority })
	left := capacity - s.least*total
	for _, d := range demand {
		admitted := 1.0
		if work := (1 - s.least) * d.Work; work > left {
			admitted = s.least + (1-s.least)*left/work
		}
		left = max(0, left-(1-s.least)*d.Work)
		s.byPriority = append(s.byPriority, share{
			priority: d.Priority,
			admitted: admitted,
		})
	}
	return s, pressure
}

// of returns the share of a priority. One whose demand is not known has that of the next less urgent one.
func (s shares) of(priority int) float64 {
	for _, known := range s.byPriority {
		if known.priority >= priority {
			return known.admitted
		}
	}
	if n := len(s.byPriority); n == 0 || s.byPriority[n-1].admitted >= 1 {
		return 1
	}
	return s.least
}
