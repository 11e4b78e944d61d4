package placer

import (
	"math"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
)

// Imbalance returns the ratio of the greatest load of an owner to the mean, and 1 without any load.
func (p Placer) Imbalance(owners []int32, loads []float64) float64 {
	sums, mean := p.ownerLoads(owners, loads)
	if mean == 0 {
		return 1
	}
	greatest := 0.0
	for i, s := range sums {
		if p.Weights[i] > 0 {
			greatest = max(greatest, s)
		}
	}
	return greatest / mean
}

// Rebalance returns at most budget moves that lower the imbalance. With hysteresis, it starts above ImbalanceHigh, and
// goes on above ImbalanceLow if active. It stops when the best move between the hottest and the coolest owner gains
// less than ChurnWeight. A slot whose load alone reaches the difference between two owners never moves, because that
// would not lower the greater of their loads; the owner's other slots move instead.
func (p Placer) Rebalance(owners []int32, loads []float64, r configurer.Rebalance, budget int, active bool) []Move {
	threshold := r.ImbalanceHigh
	if active {
		threshold = r.ImbalanceLow
	}
	if p.Imbalance(owners, loads) <= threshold {
		return nil
	}
	owners = append([]int32(nil), owners...)
	sums, mean := p.ownerLoads(owners, loads)
	var moves []Move
	for len(moves) < budget {
		hottest, coolest := p.extremes(sums)
		if coolest == NoOwner || hottest == coolest || sums[hottest] <= r.ImbalanceLow*mean {
			return moves
		}
		slot, ok := bestSlot(owners, loads, hottest, sums[hottest]-sums[coolest])
		if !ok {
			return moves
		}
		gain := (sums[hottest] - max(sums[hottest]-loads[slot], sums[coolest]+loads[slot])) / mean
		if gain <= 0 || gain < r.ChurnWeight {
			return moves
		}
		moves = append(moves, Move{
			Slot: slot,
			From: hottest,
			To:   coolest,
		})
		owners[slot] = coolest
		sums[hottest] -= loads[slot]
		sums[coolest] += loads[slot]
	}
	return moves
}

// bestSlot returns the slot of owner whose load comes closest to half of difference, which levels the two owners best.
func bestSlot(owners []int32, loads []float64, owner int32, difference float64) (keyer.Slot, bool) {
	best, found := math.Inf(1), false
	var slot keyer.Slot
	for s, o := range owners {
		if o != owner || loads[s] <= 0 || loads[s] >= difference {
			continue
		}
		if d := math.Abs(loads[s] - difference/2); d < best {
			best, slot, found = d, keyer.Slot(s), true
		}
	}
	return slot, found
}

// ownerLoads returns the load of each owner, and the mean over the owners with a weight.
func (p Placer) ownerLoads(owners []int32, loads []float64) (sums []float64, mean float64) {
	sums = make([]float64, len(p.Weights))
	n := 0
	for _, w := range p.Weights {
		if w > 0 {
			n++
		}
	}
	for s, o := range owners {
		if p.eligible(o) {
			sums[o] += loads[s]
			mean += loads[s]
		}
	}
	return sums, mean / float64(max(1, n))
}

// extremes returns the owners with the greatest and the least load among those with a weight.
func (p Placer) extremes(sums []float64) (hottest, coolest int32) {
	hottest, coolest = NoOwner, NoOwner
	for i := range sums {
		if p.Weights[i] <= 0 {
			continue
		}
		if hottest == NoOwner || sums[i] > sums[hottest] {
			hottest = int32(i)
		}
		if (coolest == NoOwner || sums[i] < sums[coolest]) && (p.Limited == nil || !p.Limited[i]) {
			coolest = int32(i)
		}
	}
	return hottest, coolest
}
