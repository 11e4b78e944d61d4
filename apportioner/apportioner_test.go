package apportioner

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// threeSpeeds returns n targets of three slots, a third of them with each slowness.
func threeSpeeds(n int) []Target {
	all := make([]Target, n)
	for i := range all {
		all[i] = Target{
			Slots:    3,
			Slowness: []float64{0.6, 1, 1.4}[i%3],
		}
	}
	return all
}

// meanResponse is the mean response time of all requests, as a multiple of the service time.
func meanResponse(shares []float64, targets []Target) float64 {
	sum, cost := 0.0, 0.0
	for i, t := range targets {
		sum += shares[i]
		cost += shares[i] * t.Slowness * (1 + Wait(t.Slots, shares[i]/t.capacity()))
	}
	return cost / sum
}

// Guards against shares that do not add up to the load, exceed what a target can serve, or give a worse mean response time
// than equal utilization, at low, middle and high load.
func TestSharesMinimizeTheMeanResponseTime(t *testing.T) {
	const capacity = 3 * (1/0.6 + 1 + 1/1.4)
	for _, utilization := range []float64{0.05, 0.2, 0.4, 0.6, 0.9} {
		t.Run(fmt.Sprint(utilization), func(t *testing.T) {
			c := qt.New(t)
			targets := threeSpeeds(9)
			load := utilization * 3 * capacity
			shares := Apportioner{
				Load:    load,
				Targets: targets,
			}.Shares()
			proportional := make([]float64, len(targets))
			sum := 0.0
			for i, tg := range targets {
				proportional[i] = utilization * tg.capacity()
				sum += shares[i]
				c.Check(shares[i] <= maxUtilization*tg.capacity()+1e-9, qt.IsTrue)
				c.Check(shares[i] >= minFraction*proportional[i]-1e-9, qt.IsTrue)
			}
			c.Check(math.Abs(sum-load) < 1e-6*load, qt.IsTrue)
			best := meanResponse(shares, targets)
			c.Check(best < meanResponse(proportional, targets), qt.IsTrue)
			// Moving some load between any two targets does not make it better.
			for i := range targets {
				for j := range targets {
					if i == j {
						continue
					}
					moved := append([]float64(nil), shares...)
					d := 0.05 * min(shares[i], shares[j])
					moved[i], moved[j] = moved[i]-d, moved[j]+d
					if moved[i] < minFraction*proportional[i] || moved[j] > maxUtilization*targets[j].capacity() {
						continue
					}
					c.Check(meanResponse(moved, targets) >= best-1e-6, qt.IsTrue, qt.Commentf("from %d to %d", i, j))
				}
			}
		})
	}
}

// Guards against a division of an excessive load that overloads the slow targets more than the fast ones, and against a load
// above MaxLoad.
func TestExcessiveLoadIsDividedByCapacity(t *testing.T) {
	c := qt.New(t)
	targets := threeSpeeds(3)
	for i, share := range (Apportioner{
		Load:    20,
		Targets: targets,
	}).Shares() {
		c.Check(math.Abs(share/targets[i].capacity()-20/(3*(1/0.6+1+1/1.4))) < 1e-9, qt.IsTrue)
	}
	targets[0].MaxLoad = 0.5
	for _, load := range []float64{4, 20} {
		shares := Apportioner{
			Load:    load,
			Targets: targets,
		}.Shares()
		c.Check(shares[0] <= 0.5, qt.IsTrue)
		c.Check(math.Abs(shares[0]+shares[1]+shares[2]-load) < 1e-6, qt.IsTrue)
	}
}
