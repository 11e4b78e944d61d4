package shaper

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// readBatch is how many bytes of a long body must have arrived before the process is woken, unless fewer are left: on a narrow
// link each segment would wake it otherwise.
const readBatch = 8 << 10

// checkInterval is the time between two checks of a caller whose body waits for its turn.
const checkInterval = 250 * time.Millisecond

// ErrLeft says that the caller has left before its body had its turn.
var ErrLeft = errors.New("caller left while its body waited")

// ErrLate says that the deadline of a request passed before its body was received, or that it has waited too long for its turn.
var ErrLate = errors.New("body was not received before the deadline of its request")

// Reception is a long body that is being received. Its methods other than End are called by one goroutine.
type Reception struct {
	transfer
	shaper *Shaper
	// until is the deadline of the request, zero for none.
	until time.Time
	// unsized says that the length of the body is not known.
	unsized bool
	phase   phase
	// windowBytes is what was read since windowAt.
	windowAt    time.Time
	windowBytes int
	// ready is signalled when the body gets a turn.
	ready  chan struct{}
	waited time.Duration
	// maxWait bounds waited if there is no deadline, zero otherwise.
	maxWait time.Duration
}

// Receive decides on a body of which size bytes are still to be read, -1 if that is not known, and whose request arrived at
// arrived. It returns nil for both if the body is not shaped. The caller must call End.
func (s *Shaper) Receive(arrived time.Time, size int64, a Allowance) (*Reception, *Refusal) {
	if !s.Active() || size >= 0 && size <= LongBody {
		return nil, nil
	}
	r := &Reception{
		shaper:  s,
		unsized: size < 0,
		ready:   make(chan struct{}, 1),
	}
	if r.unsized {
		size = unknownSize
	}
	if a.Deadline > 0 {
		r.until = arrived.Add(a.Deadline)
	} else {
		r.maxWait = a.MaxWait + seconds(float64(size)/(minBulkShare*s.rate))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	expected, refusal := s.admit(now, arrived, size, a)
	if refusal != nil {
		counters.Add("refused."+refusal.Reason, 1)
		if s.log != nil {
			s.log.Info("upload refused", "reason", refusal.Reason, "bytes", size, "expectedMs", expected.Milliseconds(),
				"objective", a.Objective.Milliseconds(), "deadline", a.Deadline.Milliseconds(),
				"backlogMs", s.backlog(now).Milliseconds(), "retryAfterMs", refusal.RetryAfter.Milliseconds())
		}
		return nil, refusal
	}
	r.transfer = transfer{
		remaining: size,
		began:     now,
	}
	s.in.receptions = append(s.in.receptions, r)
	s.observe(now)
	s.startTurns(now)
	counters.Add("bodies", 1)
	return r, nil
}

// startTurns wakes the bodies that get a turn. The caller holds the lock.
func (s *Shaper) startTurns(now time.Time) {
	for _, r := range s.in.next(now) {
		select {
		case r.ready <- struct{}{}:
		default:
		}
	}
}

// Wait waits for the turn of the body, and returns until when its socket may be read before Read is called; the zero time is no
// bound. While it waits it calls left now and then, which reports whether the caller has left. The error is ErrLate after the
// deadline of the request, ErrLeft, or that of ctx.
func (r *Reception) Wait(ctx context.Context, left func() bool) (time.Time, error) {
	s := r.shaper
	for {
		now := time.Now()
		if !r.until.IsZero() && !now.Before(r.until) {
			counters.Add("refused."+reasonWaiting, 1)
			return time.Time{}, ErrLate
		}
		s.mu.Lock()
		current, windowAt := r.phase, r.windowAt
		s.mu.Unlock()
		switch current {
		case phaseTurn:
			if limit := windowAt.Add(turnWindow); r.until.IsZero() || limit.Before(r.until) {
				return limit, nil
			}
			return r.until, nil
		case phaseSlow, phaseEnded:
			return r.until, nil
		}
		if r.maxWait > 0 && r.waited >= r.maxWait {
			counters.Add("refused."+reasonWaiting, 1)
			return time.Time{}, ErrLate
		}
		if err := r.await(ctx, now, left); err != nil {
			return time.Time{}, err
		}
	}
}

// await waits until the body gets a turn, or until it has waited too long.
func (r *Reception) await(ctx context.Context, now time.Time, left func() bool) error {
	limit := r.maxWait - r.waited
	if !r.until.IsZero() {
		limit = r.until.Sub(now)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	defer func() { r.waited += time.Since(now) }()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-r.ready:
			return nil
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-check.C:
			if left() {
				counters.Add("callersLeft", 1)
				return ErrLeft
			}
		}
	}
}

// Read records that n bytes were read, zero if none arrived in time.
func (r *Reception) Read(n int) {
	s := r.shaper
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.in.read(now, r, n) {
		return
	}
	if r.phase == phaseSlow {
		counters.Add("slowCallers", 1)
	}
	s.startTurns(now)
}

// Batch returns the number of bytes that should have arrived before the socket is read. It is one for a slow caller, and for a
// body of unknown length.
func (r *Reception) Batch() int {
	r.shaper.mu.Lock()
	defer r.shaper.mu.Unlock()
	if r.unsized || r.phase != phaseTurn {
		return 1
	}
	return int(max(1, min(readBatch, r.remaining)))
}

// End ends the body, whether it is complete or not.
func (r *Reception) End() {
	if r == nil {
		return
	}
	s := r.shaper
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.in.remove(r)
	s.startTurns(now)
	s.observe(now)
	counters.Add("bodiesWaitedMs", r.waited.Milliseconds())
}
