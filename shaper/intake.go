package shaper

import (
	"slices"
	"time"
)

const (
	// turnWindow is the time over which the speed of a caller is measured.
	turnWindow = 300 * time.Millisecond
	// minTurnShare is the share of its part of the link that a caller must use in a window to keep its turn.
	minTurnShare = 0.125
	// unknownSize is the number of remaining bytes that is assumed of a body of unknown length.
	unknownSize = 64 << 10
	// bytesPerTurn is the rate of the link, in bytes per second, for each body that is received at the same time, with minTurns of
	// them at least: one alone would leave the link idle for the time of its window updates.
	bytesPerTurn = 500_000
	minTurns     = 2
)

type phase int

const (
	// waiting bodies are not read.
	phaseWaiting phase = iota
	// phaseTurn bodies are read as fast as they arrive.
	phaseTurn
	// phaseSlow bodies are read too, but their callers send so little that they take no turn.
	phaseSlow
	phaseEnded
)

// intake decides which bodies of callers are read.
type intake struct {
	rate float64
	// receptions are the bodies that are not yet complete.
	receptions []*Reception
}

func (q *intake) turns() int {
	return max(minTurns, int(q.rate/bytesPerTurn))
}

// next gives a turn to the first of the bodies that wait, as long as there are turns. It returns those that got one.
func (q *intake) next(now time.Time) (started []*Reception) {
	taken := 0
	for _, r := range q.receptions {
		if r.phase == phaseTurn {
			taken++
		}
	}
	for ; taken < q.turns(); taken++ {
		var best *Reception
		for _, r := range q.receptions {
			if r.phase == phaseWaiting && (best == nil || r.rank(now, q.rate) < best.rank(now, q.rate)) {
				best = r
			}
		}
		if best == nil {
			break
		}
		best.phase = phaseTurn
		best.windowAt, best.windowBytes = now, 0
		started = append(started, best)
	}
	return started
}

// read records that n bytes of a body were read; n is zero if none arrived until now. It reports whether the body gave up its
// turn or waits for one again.
func (q *intake) read(now time.Time, r *Reception, n int) bool {
	r.remaining = max(0, r.remaining-int64(n))
	if r.unsized {
		r.remaining = unknownSize
	}
	ended := now.Sub(r.windowAt) >= turnWindow
	if ended && r.phase == phaseSlow {
		r.windowAt, r.windowBytes, ended = now, 0, false
	}
	r.windowBytes += n
	least := int(minTurnShare * q.rate * turnWindow.Seconds() / float64(q.turns()))
	switch {
	case r.phase == phaseTurn && ended && r.windowBytes < least && r.remaining > 0:
		r.phase = phaseSlow
	case r.phase == phaseSlow && !ended && r.windowBytes >= least:
		r.phase = phaseWaiting
	default:
		if ended {
			r.windowAt, r.windowBytes = now, 0
		}
		return false
	}
	r.windowAt, r.windowBytes = now, 0
	return true
}

func (q *intake) remove(r *Reception) {
	if i := slices.Index(q.receptions, r); i >= 0 {
		q.receptions = slices.Delete(q.receptions, i, i+1)
	}
	r.phase = phaseEnded
}

// ahead returns the bytes of the bodies that are received before a new one of the given size.
func (q *intake) ahead(now time.Time, size int64) float64 {
	return sumAhead(now, q.rate, size, func(yield func(*transfer)) {
		for _, r := range q.receptions {
			switch r.phase {
			case phaseWaiting:
				yield(&r.transfer)
			case phaseTurn:
				// It keeps its turn, whatever its rank. Other turns share the link with it.
				yield(&transfer{
					remaining: min(r.remaining, size),
					began:     r.began,
				})
			}
		}
	})
}

// backlog returns the bytes of all bodies that have a turn or wait for one.
func (q *intake) backlog() float64 {
	sum := 0.0
	for _, r := range q.receptions {
		if r.phase != phaseSlow {
			sum += float64(r.remaining)
		}
	}
	return sum
}
