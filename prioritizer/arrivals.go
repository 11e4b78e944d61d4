package prioritizer

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// arrivalTime is the time constant of the average of arrivals. A host may see only ten requests a second.
	arrivalTime = 4 * time.Second
	// arrivalDeviations is the number of standard deviations of the count of arrivals by which the demand of all hosts is
	// estimated lower, so that noise alone refuses nothing.
	arrivalDeviations = 2
	// imbalance is the factor by which a host may get more arrivals than the mean of all hosts.
	imbalance = 1.2
)

// Arrivals estimates the demand of all hosts from the arrivals at one. It estimates low, so that only a clear excess shows.
// The zero value has seen nothing. It is safe for concurrent use.
type Arrivals struct {
	mu      sync.Mutex
	firstAt time.Time
	lastAt  time.Time
	// count is the number of arrivals and work their service time in seconds by priority, both with exponential decay.
	count float64
	work  []Demand
}

// Record records the arrival of a request with an expected service time.
func (a *Arrivals) Record(now time.Time, priority int, serviceTime time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.firstAt.IsZero() {
		a.firstAt, a.lastAt = now, now
	}
	a.decay(now)
	a.count++
	i := slices.IndexFunc(a.work, func(d Demand) bool { return d.Priority == priority })
	if i < 0 {
		i = len(a.work)
		a.work = append(a.work, Demand{Priority: priority})
	}
	a.work[i].Work += serviceTime.Seconds()
}

// Demand returns the demand of all hosts, nil if this host has observed arrivals for too short a time.
func (a *Arrivals) Demand(now time.Time, hosts int) []Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.firstAt.IsZero() || now.Sub(a.firstAt) < arrivalTime {
		return nil
	}
	a.decay(now)
	// The variance of a decaying Poisson count is half its mean.
	clear := max(0, 1-arrivalDeviations/math.Sqrt(2*max(a.count, 1)))
	factor := clear * float64(max(1, hosts)) / imbalance / arrivalTime.Seconds()
	demand := slices.Clone(a.work)
	for i := range demand {
		demand[i].Work *= factor
	}
	return demand
}

func (a *Arrivals) decay(now time.Time) {
	if !now.After(a.lastAt) {
		return
	}
	keep := math.Exp(-float64(now.Sub(a.lastAt)) / float64(arrivalTime))
	a.lastAt = now
	a.count *= keep
	for i := range a.work {
		a.work[i].Work *= keep
	}
}
