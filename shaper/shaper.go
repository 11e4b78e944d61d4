// Package shaper is a link scheduler: it paces the long bodies that a process writes, bounds those that it reads at the same
// time, and refuses those that its link cannot carry in time, so that short messages do not wait behind them.
package shaper

import (
	"context"
	"expvar"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// LongBody is the size of a body, in bytes, above which it is bulk.
	LongBody = 8 << 10
	// ReadBuffer is the size of the receive buffer of a caller's connection, in bytes.
	ReadBuffer = 16 << 10
	// MaxLink is the capacity, in Mbit/s, up to which a link is shaped.
	MaxLink = 20
	// payloadShare is the share of the link that is left beside the headers of TCP and IP.
	payloadShare = 0.95
	// controlShare is the share of the link up to which calls between hosts count as control messages, over controlWindow.
	controlShare  = 0.2
	controlWindow = time.Second
	// shortWindow is the time over which the share of messages other than bodies is measured.
	shortWindow = time.Second
	// lateTime is how much time on the link the bodies in progress may take for one more to be accepted that will be late.
	lateTime = time.Second
	// minRetryAfter is the least Retry-After delay of a refused body, and retryAfterShare the greatest as a share of the caller's
	// time.
	minRetryAfter   = 200 * time.Millisecond
	retryAfterShare = 1.0 / 3
	// closeInterval is the sampling interval of Connection: close on a saturated host: one of so many answers carries it.
	closeInterval = 4
)

// counters are the bytes written by class (control, short, bulk), pieces and the time they waited in ms, bodies received and the
// time they waited in ms, slow callers, callers that left, refusals by reason, saturations, and connections given up.
var counters = expvar.NewMap("shaper")

// Class is the class of a message that is written.
type Class int

// The classes, the most urgent first. Bodies of more than LongBody bytes are a Flow instead.
const (
	Control Class = iota
	Short
)

// Allowance says how much time a request has, from its arrival. Zero means no bound.
type Allowance struct {
	// Objective is the time up to which an answer is on time, Deadline that up to which the caller waits.
	Objective time.Duration
	Deadline  time.Duration
	// MaxWait bounds the time that the body waits for its turn if Deadline is zero, beyond what it takes at minBulkShare of the
	// link.
	MaxWait time.Duration
	// Work is the expected service time.
	Work time.Duration
	// Always says that the body is received in any case.
	Always bool
}

// Refusal says that a body is not received.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// The reasons of a Refusal.
const (
	ReasonDeadline  = "deadline"
	ReasonLate      = "late"
	ReasonSaturated = "saturated"
	// reasonWaiting means that the deadline passed before the body was received.
	reasonWaiting = "waiting"
)

// Shaper schedules the link of a host. Make it with New. A nil Shaper, and one that is not active, shapes nothing. It is safe for
// concurrent use.
type Shaper struct {
	log    *log.Logger
	active atomic.Bool
	rate   float64
	shed   atomic.Uint64

	mu         sync.Mutex
	out        pacer
	in         intake
	saturation saturation
	// timer calls grant when the next piece is due, at dueAt; that is zero if no piece waits.
	timer *time.Timer
	dueAt time.Time
	// controlBytes is the number of bytes of control messages since controlAt.
	controlBytes int
	controlAt    time.Time
	// shortRate is what messages other than bodies took of the link in the last window, in bytes per second; windowBytes is what
	// they have taken since windowAt.
	shortRate   float64
	windowBytes int
	windowAt    time.Time
}

// New returns a Shaper for a link of the given capacity in Mbit/s in each direction, which is not active yet. It returns nil for
// links that need no shaping: those of unknown capacity, or above MaxLink. l may be nil.
func New(mbit float64, l *log.Logger) *Shaper {
	if !(mbit > 0) || mbit > MaxLink {
		return nil
	}
	rate := payloadShare * mbit * 1e6 / 8
	return &Shaper{
		log:  l,
		rate: rate,
		out: pacer{
			rate: rate,
		},
		in: intake{
			rate: rate,
		},
	}
}

// SetActive switches the shaping on or off. Bodies that wait go on when they are due.
func (s *Shaper) SetActive(on bool) {
	if s != nil && s.active.Swap(on) != on && s.log != nil {
		s.log.Info("link shaping", "active", on, "bytesPerSecond", int(s.rate))
	}
}

// Active reports whether bodies are shaped.
func (s *Shaper) Active() bool {
	return s != nil && s.active.Load()
}

// Written records n bytes of a message that was handed to the kernel.
func (s *Shaper) Written(c Class, n int) {
	if !s.Active() || n <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.out.written(now, n)
	s.updateShortRate(now)
	s.windowBytes += n
	if s.class(now, c, n) == Control {
		counters.Add("bytesControl", int64(n))
	} else {
		counters.Add("bytesShort", int64(n))
	}
}

// updateShortRate begins a new window of shortRate if the last one has ended. The caller holds the lock.
func (s *Shaper) updateShortRate(now time.Time) {
	if elapsed := now.Sub(s.windowAt); elapsed >= shortWindow {
		s.shortRate = float64(s.windowBytes) / elapsed.Seconds()
		s.windowAt, s.windowBytes = now, 0
	}
}

// bulkRate returns the rate that is left for bodies, in bytes per second. A proxy receives about what it sends, so the same is
// taken for both directions.
func (s *Shaper) bulkRate(now time.Time) float64 {
	s.updateShortRate(now)
	return max(s.rate-s.shortRate, minBulkShare*s.rate)
}

// class returns the class as which a message of class c counts.
func (s *Shaper) class(now time.Time, c Class, n int) Class {
	if c != Control {
		return c
	}
	if now.Sub(s.controlAt) >= controlWindow {
		s.controlAt, s.controlBytes = now, 0
	}
	s.controlBytes += n
	if float64(s.controlBytes) > controlShare*s.rate*controlWindow.Seconds() {
		return Short
	}
	return Control
}

// Flow is a long body that is being sent.
type Flow struct {
	transfer
	shaper *Shaper
	// piece is the size of the next piece, and ready is signalled when it may be written.
	piece  int
	ready  chan struct{}
	waited time.Duration
	ended  bool
	// waiting says that the flow waits to write a piece. activeAt is when it began, or might last write one.
	waiting  bool
	activeAt time.Time
}

// Send begins to send a body of size bytes. It returns nil if the body is not shaped. The caller must call End.
func (s *Shaper) Send(size int64) *Flow {
	if !s.Active() || size <= LongBody {
		return nil
	}
	f := &Flow{
		transfer: transfer{
			remaining: size,
			began:     time.Now(),
		},
		shaper: s,
		ready:  make(chan struct{}, 1),
	}
	f.activeAt = f.began
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out.flows = append(s.out.flows, f)
	s.observe(f.began)
	return f
}

// Piece waits until a piece of at most n bytes may be written, and returns its size. Its error is os.ErrDeadlineExceeded at the
// deadline, or that of ctx.
func (f *Flow) Piece(ctx context.Context, deadline time.Time, n int) (int, error) {
	s := f.shaper
	n = min(n, turnBytes)
	f.piece = n
	s.mu.Lock()
	now := time.Now()
	s.out.wait(now, f)
	s.grant(now)
	s.mu.Unlock()
	counters.Add("pieces", 1)
	select {
	case <-f.ready:
		return n, nil
	default:
	}
	var expired <-chan time.Time
	if d, ok := ctx.Deadline(); !deadline.IsZero() && (!ok || deadline.Before(d)) {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	var err error
	select {
	case <-f.ready:
	case <-expired:
		err = os.ErrDeadlineExceeded
	case <-ctx.Done():
		err = ctx.Err()
	}
	f.waited += time.Since(now)
	return n, err
}

// GiveBack gives back the last piece, which was not written, to other bodies.
func (f *Flow) GiveBack() {
	s := f.shaper
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.out.giveBack(now, f)
	counters.Add("bytesBulk", -int64(f.piece))
	s.grant(now)
}

// Waited returns the time that the pieces have waited for the link.
func (f *Flow) Waited() time.Duration {
	if f == nil {
		return 0
	}
	return f.waited
}

// End ends the body. Further calls do nothing.
func (f *Flow) End() {
	if f == nil || f.ended {
		return
	}
	f.ended = true
	s := f.shaper
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out.remove(f)
	for i, other := range s.out.flows {
		if other == f {
			s.out.flows = append(s.out.flows[:i], s.out.flows[i+1:]...)
			break
		}
	}
	s.observe(time.Now())
	counters.Add("piecesWaitedMs", f.waited.Milliseconds())
}

// grant lets the flows write whose piece is due, and sets the timer for the next one. The caller holds the lock.
func (s *Shaper) grant(now time.Time) {
	for {
		f, wait := s.out.next(now)
		if f != nil {
			counters.Add("bytesBulk", int64(f.piece))
			f.ready <- struct{}{}
			continue
		}
		if wait == 0 {
			return
		}
		if due := now.Add(wait); s.dueAt.IsZero() || due.Before(s.dueAt) {
			s.dueAt = due
			if s.timer == nil {
				s.timer = time.AfterFunc(wait, s.onTimer)
			} else {
				s.timer.Reset(wait)
			}
		}
		return
	}
}

func (s *Shaper) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dueAt = time.Time{}
	s.grant(time.Now())
}

// backlog returns the time that the bodies in progress take on the link. The caller holds the lock.
func (s *Shaper) backlog(now time.Time) time.Duration {
	return seconds((s.out.backlog(now) + s.in.backlog()) / s.rate)
}

// observe updates the saturation. The caller holds the lock.
func (s *Shaper) observe(now time.Time) {
	backlog := s.backlog(now)
	if !s.saturation.update(now, backlog) {
		return
	}
	if s.saturation.on {
		counters.Add("saturations", 1)
	}
	if s.log != nil {
		s.log.Info("link saturation", "on", s.saturation.on, "backlogMs", backlog.Milliseconds(), "sending", len(s.out.flows),
			"receiving", len(s.in.receptions))
	}
}

// Shed reports whether the connection of an answer is to be given up, because the link is saturated.
func (s *Shaper) Shed() bool {
	if !s.Active() {
		return false
	}
	s.mu.Lock()
	s.observe(time.Now())
	on := s.saturation.on
	s.mu.Unlock()
	if !on || s.shed.Add(1)%closeInterval != 0 {
		return false
	}
	counters.Add("connectionsShed", 1)
	return true
}

// admit decides on a body of size bytes whose request arrived at arrived. The caller holds the lock.
func (s *Shaper) admit(now, arrived time.Time, size int64, a Allowance) (expected time.Duration, refusal *Refusal) {
	s.observe(now)
	rate := s.bulkRate(now)
	receive := seconds((s.in.ahead(now, size) + float64(size)) / rate)
	sent := seconds(s.out.ahead(now, size) / rate)
	// What is being sent goes on while this body is received.
	expected = receive + max(0, sent-receive) + seconds(float64(size)/rate) + a.Work
	total := expected + now.Sub(arrived)
	backlog := s.backlog(now)
	reason := ""
	switch {
	case a.Always:
		return expected, nil
	case a.Deadline > 0 && total > a.Deadline:
		reason = ReasonDeadline
	case s.saturation.on:
		reason = ReasonSaturated
	case a.Objective > 0 && total > a.Objective && backlog > lateTime:
		reason = ReasonLate
	default:
		return expected, nil
	}
	return expected, &Refusal{
		Reason:     reason,
		RetryAfter: retryAfter(backlog, a.Deadline-now.Sub(arrived)),
	}
}

// retryAfter draws a delay between one and two times the backlog.
func retryAfter(backlog, left time.Duration) time.Duration {
	d := max(minRetryAfter, backlog)
	d += rand.N(d)
	if left > 0 {
		d = min(d, time.Duration(retryAfterShare*float64(left)))
	}
	return d
}
