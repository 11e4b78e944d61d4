// Package placer decides which owner holds each slot: data centres in proportion to their targets, and targets within a
// data centre. Its functions are pure and deterministic.
package placer

import (
	"bramleyline.example/bramleyline/keyer"
)

// None is the owner of a slot that has no owner.
const None int32 = -1

// Move gives a slot to another owner. Owners are numbers of the caller's ordered list.
type Move struct {
	Slot keyer.Slot
	From int32
	To   int32
}

// Placer places the slots of one service. Weights has one entry for each owner; an owner of weight zero keeps nothing.
type Placer struct {
	Weights []int
}

// Place returns the fewest moves after which each owner holds its share of the slots within one slot. Slots without an
// owner, and those of owners of weight zero, always move; the others move only from an owner above its share.
func (p Placer) Place(owners []int32) []Move {
	quota := p.quotas(owners)
	if quota == nil {
		return nil
	}
	held := make([]int, len(p.Weights))
	var moves []Move
	for s, o := range owners {
		if p.valid(o) && held[o] < quota[o] {
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
		// Slots are dealt in turn, so that neighbouring slots of a lost owner spread over all others.
		for n := 0; n < len(quota) && held[next] >= quota[next]; n++ {
			next = (next + 1) % int32(len(quota))
		}
		moves[i].To = next
		held[next]++
		next = (next + 1) % int32(len(quota))
	}
	return moves
}

func (p Placer) valid(o int32) bool {
	return o >= 0 && int(o) < len(p.Weights) && p.Weights[o] > 0
}

// quotas returns the number of slots of each owner, nil if no owner has a weight. Owners that already hold more than
// the whole part of their share get the remaining slots first, because those then need not move.
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
		if p.valid(o) {
			held[o]++
		}
	}
	quota := make([]int, len(p.Weights))
	rest := len(owners)
	for i, w := range p.Weights {
		quota[i] = len(owners) * max(0, w) / total
		rest -= quota[i]
	}
	whole := append([]int(nil), quota...)
	for _, above := range []bool{true, false} {
		for i, w := range p.Weights {
			if rest > 0 && w > 0 && (held[i] > whole[i]) == above && len(owners)*w%total != 0 {
				quota[i]++
				rest--
			}
		}
	}
	return quota
}
