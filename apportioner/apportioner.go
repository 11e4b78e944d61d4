// Package apportioner is a static load balancer: it divides the load of a service among targets of unequal speed so that
// the mean response time of all requests is least. Its functions are pure.
//
// The optimum has equal marginal costs at all targets (Tantawi and Towsley, "Optimal static load balancing in distributed
// computer systems", J. ACM 1985). The wait at a target is approximated as in Sakasegawa, "An approximation formula
// Lq = a*rho^b/(1-rho)", Ann. Inst. Statist. Math. 1977.
package apportioner

import (
	"math"
	"sort"
)

const (
	// maxUtilization bounds the utilization of a target, because the wait grows without bound towards 1.
	maxUtilization = 0.95
	// minFraction is the least load of a target, as a fraction of its part in proportion to capacity, so that the speed of
	// each target is measured.
	minFraction = 0.25
	// gridSteps is the number of steps in which the marginal cost is tabulated up to maxUtilization. Values between them
	// are interpolated.
	gridSteps = 190
	// bisections halve the interval of the common marginal cost to less than the precision of a measured load.
	bisections = 50
)

// Target is a target that gets a part of the load.
type Target struct {
	// Slots is the number of requests that the target runs at the same time, at least one.
	Slots int
	// Slowness is the factor by which requests take longer than at usual speed; it is above zero.
	Slowness float64
	// MaxLoad bounds the load, in busy slots at usual speed; zero means no bound.
	MaxLoad float64
}

// capacity is the load at which all slots are always busy.
func (t Target) capacity() float64 {
	return float64(t.Slots) / t.Slowness
}

// MarginalCost returns the increase of the sum of all response times, as a multiple of the service time, for each further
// request at the given load. Above maxUtilization it rises no more.
func (t Target) MarginalCost(load float64) float64 {
	return t.Slowness * marginalCost(t.Slots, min(maxUtilization, max(0, load/t.capacity())))
}

// Wait returns the mean wait for a slot as a multiple of the service time, at a utilization from 0 to below 1.
func Wait(slots int, utilization float64) float64 {
	c := float64(slots)
	return math.Pow(utilization, exponent(slots)) / (c * (1 - utilization))
}

// exponent is the exponent of the utilization in the formula for the wait.
func exponent(slots int) float64 {
	return math.Sqrt(2*(float64(slots)+1)) - 1
}

// marginalCost is the derivative, with respect to the load, of the load times the response time at a slowness of 1.
func marginalCost(slots int, utilization float64) float64 {
	// The wait is W = u^a/(c(1-u)), so u*dW/du = W*(a + u/(1-u)).
	wait := Wait(slots, utilization)
	return 1 + wait + wait*(exponent(slots)+utilization/(1-utilization))
}

// Apportioner divides a load among targets.
type Apportioner struct {
	// Load is the total load in busy slots at usual speed.
	Load    float64
	Targets []Target
}

// Shares returns the load of each target. Together they are the total load, unless MaxLoad of all targets allows less. A load
// above maxUtilization of the capacity is divided in proportion to capacity.
func (a Apportioner) Shares() []float64 {
	capacity := 0.0
	for _, t := range a.Targets {
		capacity += t.capacity()
	}
	shares := make([]float64, len(a.Targets))
	if capacity <= 0 || a.Load <= 0 {
		return shares
	}
	least, most := make([]float64, len(a.Targets)), make([]float64, len(a.Targets))
	total, bounded := 0.0, 0.0
	for i, t := range a.Targets {
		most[i] = maxUtilization * t.capacity()
		if t.MaxLoad > 0 && t.MaxLoad < most[i] {
			most[i] = t.MaxLoad
			bounded += t.MaxLoad
		}
		least[i] = min(most[i], minFraction*a.Load*t.capacity()/capacity)
		total += most[i]
	}
	if a.Load >= total {
		for i, t := range a.Targets {
			shares[i] = most[i]
			if t.MaxLoad == 0 || t.MaxLoad > most[i] {
				shares[i] *= max(1, (a.Load-bounded)/(total-bounded))
			}
		}
		return shares
	}
	curves := make(map[int][]float64)
	low, high := math.Inf(1), 0.0
	for _, t := range a.Targets {
		if curves[t.Slots] == nil {
			curves[t.Slots] = curve(t.Slots)
		}
		low = min(low, t.Slowness)
		high = max(high, t.Slowness*curves[t.Slots][gridSteps])
	}
	for range bisections {
		cost, sum := (low+high)/2, 0.0
		for i, t := range a.Targets {
			shares[i] = min(most[i], max(least[i], t.capacity()*utilizationAt(curves[t.Slots], cost/t.Slowness)))
			sum += shares[i]
		}
		if sum < a.Load {
			low = cost
		} else {
			high = cost
		}
	}
	return shares
}

// curve tabulates the marginal cost at utilizations from 0 to maxUtilization. It rises strictly.
func curve(slots int) []float64 {
	table := make([]float64, gridSteps+1)
	for i := range table {
		table[i] = marginalCost(slots, maxUtilization*float64(i)/gridSteps)
	}
	return table
}

// utilizationAt returns the utilization at which the marginal cost has the given value.
func utilizationAt(table []float64, cost float64) float64 {
	i := sort.SearchFloat64s(table, cost)
	switch {
	case i == 0:
		return 0
	case i > gridSteps:
		return maxUtilization
	}
	part := (cost - table[i-1]) / (table[i] - table[i-1])
	return maxUtilization * (float64(i-1) + part) / gridSteps
}
