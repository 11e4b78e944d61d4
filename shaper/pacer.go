package shaper

import (
	"slices"
	"time"
)

const (
	// pieceBytes is the size of the pieces in which bodies are written, and turnBytes that of the two pieces that are written after
	// each wait. In a trial at 2.2 Mbit/s, a body of 360 KB took 18 ms of processor time with one piece for each wake-up, and 9 ms
	// with two.
	pieceBytes = 4 << 10
	turnBytes  = 2 * pieceBytes
	// kernelTime is how long the bytes that wait in the kernel may take on the link before another piece is written.
	kernelTime = 20 * time.Millisecond
	// minBulkShare is the share of the link that bodies get however much else is written.
	minBulkShare = 0.1
	// agingShare is the share of the link by which the remainder of a body counts less for each second that it has waited.
	agingShare = 0.5
	// stalledTime is how long after its last piece a body that asks for no other counts as stalled: its target does not read.
	stalledTime = 300 * time.Millisecond
)

// transfer is a body that is being sent or received.
type transfer struct {
	remaining int64
	began     time.Time
}

// rank returns the number of bytes by which transfers are ordered, the least first: shortest remaining time first, with aging.
func (t *transfer) rank(now time.Time, rate float64) float64 {
	return float64(t.remaining) - agingShare*rate*now.Sub(t.began).Seconds()
}

// pacer decides when the next piece of a body is written.
type pacer struct {
	// rate is that of the link, in bytes per second.
	rate float64
	// queued is the estimated number of bytes in the kernel at queuedAt; negative for a late wake-up that is to be made up for.
	queued   float64
	queuedAt time.Time
	// pieceAt is when the last piece was written, or the first writer began to wait.
	pieceAt time.Time
	// flows are all bodies being sent, waiting those of them that wait to write a piece.
	flows   []*Flow
	waiting []*Flow
}

// update lowers queued by what the link has carried until now.
func (p *pacer) update(now time.Time) {
	least := 0.0
	if len(p.waiting) > 0 {
		least = -p.rate * kernelTime.Seconds()
	}
	if elapsed := now.Sub(p.queuedAt); elapsed > 0 {
		p.queued = max(least, p.queued-p.rate*elapsed.Seconds())
		p.queuedAt = now
	}
}

// written adds bytes that were handed to the kernel.
func (p *pacer) written(now time.Time, n int) {
	p.update(now)
	p.queued += float64(n)
}

func (p *pacer) wait(now time.Time, f *Flow) {
	p.update(now)
	if len(p.waiting) == 0 {
		p.queued = max(0, p.queued)
		p.pieceAt = now
	}
	p.waiting = append(p.waiting, f)
	f.waiting = true
}

// next returns the flow that may write its piece now and removes it from those that wait. If there is none yet, it returns nil
// and the time until there is one; that is zero if none waits.
func (p *pacer) next(now time.Time) (*Flow, time.Duration) {
	if len(p.waiting) == 0 {
		return nil, 0
	}
	p.update(now)
	best := slices.MinFunc(p.waiting, func(a, b *Flow) int {
		switch x, y := a.rank(now, p.rate), b.rank(now, p.rate); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	// Pieces that take longer than kernelTime are written once nothing else waits.
	excess := p.queued + float64(best.piece) - max(float64(best.piece), p.rate*kernelTime.Seconds())
	due := min(seconds(excess/p.rate), p.pieceAt.Add(seconds(float64(best.piece)/(minBulkShare*p.rate))).Sub(now))
	if due > 0 {
		return nil, due
	}
	p.remove(best)
	p.queued += float64(best.piece)
	p.pieceAt = now
	best.remaining -= int64(best.piece)
	best.activeAt = now
	return best, 0
}

// giveBack undoes the last piece of a flow, as far as the link has not been idle for it.
func (p *pacer) giveBack(now time.Time, f *Flow) {
	p.update(now)
	p.queued = max(min(p.queued, 0), p.queued-float64(f.piece))
	f.remaining += int64(f.piece)
}

func (p *pacer) remove(f *Flow) bool {
	i := slices.Index(p.waiting, f)
	if i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		f.waiting = false
	}
	return i >= 0
}

// ahead returns the bytes of the bodies that are sent before a new one of the given size.
func (p *pacer) ahead(now time.Time, size int64) float64 {
	return p.queuedNow(now) + sumAhead(now, p.rate, size, func(yield func(*transfer)) {
		for _, f := range p.flows {
			if !f.stalled(now) {
				yield(&f.transfer)
			}
		}
	})
}

// backlog returns the bytes in the kernel and those that the bodies still have to send. Stalled bodies do not use the link.
func (p *pacer) backlog(now time.Time) float64 {
	sum := p.queuedNow(now)
	for _, f := range p.flows {
		if !f.stalled(now) {
			sum += float64(f.remaining)
		}
	}
	return sum
}

func (f *Flow) stalled(now time.Time) bool {
	return !f.waiting && now.Sub(f.activeAt) >= stalledTime
}

func (p *pacer) queuedNow(now time.Time) float64 {
	p.update(now)
	return max(0, p.queued)
}

// sumAhead returns the remaining bytes of the transfers that are ranked before a new one.
func sumAhead(now time.Time, rate float64, size int64, each func(yield func(*transfer))) float64 {
	sum := 0.0
	each(func(t *transfer) {
		if t.rank(now, rate) <= float64(size) {
			sum += float64(t.remaining)
		}
	})
	return sum
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
