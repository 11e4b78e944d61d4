// Package placer computes the assignment of hash slots to owners: weighted placement with the fewest moves, and
// rebalancing by load. It places slots on data centres in proportion to their targets, and on the targets within a data
// centre. Its functions are pure and deterministic.
package placer

import (
	"bramleyline.example/bramleyline/keyer"
)

// NoOwner stands for the owner of a slot that has none.
const NoOwner int32 = -1

// Move gives a slot to another owner. Owners are indexes into the Weights of the Placer.
type Move struct {
	Slot keyer.Slot
	From int32
	To   int32
}

// Placer places the slots of one service. Weights holds one entry for each owner; an owner of weight zero gets no
// slots.
type Placer struct {
	Weights []int
	// Limited holds the owners that get no slots for balance, since they state a limit; nil for none.
	Limited []bool
}

// Place returns the fewest moves after which the slots of each owner differ from its share by less than one. Slots
// without an owner, and those of owners of weight zero, always move; the others move only from an owner above its
// share.
func (p Placer) Place(owners []int32) []Move {
	quota := p.quotas(owners)
	if quota == nil {
		return nil
	}
	held := make([]int, len(p.Weights))
	var moves []Move
	for s, o := range owners {
		if p.eligible(o) && held[o] < quota[o] {
			held[o]++
			continue
		}
		moves = append(moves, Move{
			Slot: keyer.Slot(s),
			From: o,
		})
	}
	next := int32(0)
	for i := range moves {
		// Slots are assigned round-robin, so that neighbouring slots of a lost owner spread over all others.
		for n := 0; n < len(quota) && held[next] >= quota[next]; n++ {
			next = (next + 1) % int32(len(quota))
		}
		moves[i].To = next
		held[next]++
		next = (next + 1) % int32(len(quota))
	}
	return moves
}

// eligible reports whether o is an owner that may hold slots.
func (p Placer) eligible(o int32) bool {
	return o >= 0 && int(o) < len(p.Weights) && p.Weights[o] > 0
}

// quotas returns the number of slots for each owner, nil if no owner has a weight. The slots that remain after rounding
// down go first to owners that already hold more than their rounded-down share, because those slots then need not move.
func (p Placer) quotas(owners []int32) []int {
	total := 0
	for _, w := range p.Weights {
		total += max(0, w)
	}
	if total == 0 {
		return nil
	}
	held := make([]int, len(p.Weights))
	for _, o := range owners {
		if p.eligible(o) {
			held[o]++
		}
	}
	quota := make([]int, len(p.Weights))
	remaining := len(owners)
	for i, w := range p.Weights {
		quota[i] = len(owners) * max(0, w) / total
		remaining -= quota[i]
	}
	floors := append([]int(nil), quota...)
	for _, holdsMore := range []bool{true, false} {
		for i, w := range p.Weights {
			if remaining > 0 && w > 0 && (held[i] > floors[i]) == holdsMore && len(owners)*w%total != 0 {
				quota[i]++
				remaining--
			}
		}
	}
	return quota
}
