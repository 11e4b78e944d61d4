package shaper

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func flow(p *pacer, size int64, began time.Time) *Flow {
	f := &Flow{
		transfer: transfer{
			remaining: size,
			began:     began,
		},
		piece: turnBytes,
	}
	p.flows = append(p.flows, f)
	return f
}

// run lets flows write pieces for d, with wake-ups that are late. It returns the bytes written and the number of wake-ups.
func run(p *pacer, now time.Time, d, late time.Duration, flows ...*Flow) (sent, wakeUps int) {
	for _, f := range flows {
		p.wait(now, f)
	}
	for end := now.Add(d); now.Before(end); {
		f, wait := p.next(now)
		if f == nil {
			wakeUps++
			now = now.Add(wait + late)
			continue
		}
		sent += f.piece
		p.wait(now, f)
	}
	return sent, wakeUps
}

// Guards against pacing that lowers the throughput of the link or takes many wake-ups, also where these are late.
func TestPacingUsesTheLink(t *testing.T) {
	c := qt.New(t)
	s := New(2.2, nil)
	link := 2.2e6 / 8
	for _, late := range []time.Duration{0, 3 * time.Millisecond, 15 * time.Millisecond} {
		p := pacer{
			rate: s.rate,
		}
		sent, wakeUps := run(&p, start, 10*time.Second, late, flow(&p, 1<<30, start))
		share := float64(sent) / 10 / link
		c.Check(share > 0.9 && share < 0.96, qt.IsTrue, qt.Commentf("late %s: %.3f of the link", late, share))
		c.Check(wakeUps <= 340, qt.IsTrue, qt.Commentf("late %s: %d wake-ups", late, wakeUps))
	}
}

// Guards against bodies that wait for ever behind short messages, and against pieces that go before these are through.
func TestShortMessagesGoFirst(t *testing.T) {
	c := qt.New(t)
	p := pacer{
		rate: 100_000,
	}
	p.written(start, 20_000)
	f := flow(&p, 100_000, start)
	p.wait(start, f)
	_, wait := p.next(start)
	c.Assert(wait, qt.Equals, 200*time.Millisecond)
	// Short messages fill the link all the time.
	pieces := 0
	for ms := range 4200 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		p.written(now, 100)
		if got, _ := p.next(now); got != nil {
			pieces++
			p.wait(now, f)
		}
	}
	c.Assert(pieces, qt.Equals, 5)
}

// Guards against a turn that is lost to other bodies, or that lets them write too much, when it is given back.
func TestPieceIsGivenBack(t *testing.T) {
	c := qt.New(t)
	p := pacer{
		rate: 100_000,
	}
	first, second := flow(&p, 60_000, start), flow(&p, 90_000, start)
	p.wait(start, first)
	p.wait(start, second)
	f, _ := p.next(start)
	c.Assert(f, qt.Equals, first)
	f, _ = p.next(start)
	c.Assert(f, qt.IsNil)
	p.giveBack(start, first)
	c.Assert(first.remaining, qt.Equals, int64(60_000))
	f, _ = p.next(start)
	c.Assert(f, qt.Equals, second)
	p.giveBack(start.Add(time.Second), second)
	c.Assert(p.queued, qt.Equals, 0.0)
}

// Guards against a saturated host, and against refusals, because one target does not read.
func TestStalledBodyIsNoBacklog(t *testing.T) {
	c := qt.New(t)
	s := New(2.2, nil)
	p := &s.out
	f := flow(p, 400_000, start)
	p.wait(start, f)
	c.Assert(s.backlog(start.Add(time.Minute)) > time.Second, qt.IsTrue)
	now := start.Add(time.Minute)
	got, _ := p.next(now)
	c.Assert(got, qt.Equals, f)
	c.Assert(s.backlog(now.Add(stalledTime/2)) > time.Second, qt.IsTrue)
	now = now.Add(stalledTime)
	c.Assert(s.backlog(now), qt.Equals, time.Duration(0))
	c.Assert(p.ahead(now, 500_000), qt.Equals, 0.0)
	p.wait(now, f)
	c.Assert(s.backlog(now) > time.Second, qt.IsTrue)
}

// Guards against short bodies that wait behind long ones, and against a long one that always waits behind short ones.
func TestShortestRemainderFirstWithAging(t *testing.T) {
	c := qt.New(t)
	p := pacer{
		rate: 100_000,
	}
	long, short := flow(&p, 300_000, start), flow(&p, 60_000, start)
	p.wait(start, long)
	p.wait(start, short)
	f, _ := p.next(start)
	c.Assert(f, qt.Equals, short)
	later := start.Add(6 * time.Second)
	p.wait(later, flow(&p, 60_000, later))
	f, _ = p.next(later)
	c.Assert(f, qt.Equals, long)
}

func reception(q *intake, size int64, now time.Time) *Reception {
	r := &Reception{
		transfer: transfer{
			remaining: size,
			began:     now,
		},
	}
	q.receptions = append(q.receptions, r)
	return r
}

// Guards against callers that send slowly, or not at all, and block the bodies of others; they go on when they are faster.
func TestSlowCallersGiveUpTheirTurn(t *testing.T) {
	c := qt.New(t)
	q := intake{
		rate: 260_000,
	}
	slow, silent := reception(&q, 100_000, start), reception(&q, 100_000, start)
	c.Assert(slices.Equal(q.next(start), []*Reception{slow, silent}), qt.IsTrue)
	waits := reception(&q, 200_000, start)
	c.Assert(q.next(start), qt.HasLen, 0)
	now := start.Add(turnWindow)
	c.Assert(q.read(now.Add(-time.Millisecond), silent, 0), qt.IsFalse)
	c.Assert(q.read(now, silent, 0), qt.IsTrue)
	c.Assert(silent.phase, qt.Equals, phaseSlow)
	c.Assert(slices.Equal(q.next(now), []*Reception{waits}), qt.IsTrue)
	c.Assert(q.read(now, slow, 1000), qt.IsTrue)
	// A window of a slow body that has long passed must not hide that it is fast now.
	now = now.Add(time.Minute)
	c.Assert(q.read(now, slow, 2000), qt.IsFalse)
	c.Assert(q.read(now.Add(10*time.Millisecond), slow, 8000), qt.IsTrue)
	c.Assert(slow.phase, qt.Equals, phaseWaiting)
	c.Assert(slices.Equal(q.next(now), []*Reception{slow}), qt.IsTrue)
	q.remove(waits)
	c.Assert(q.next(now), qt.HasLen, 0)
}

// Guards against bodies that are accepted although they cannot be in time, and against refusals while the link is free.
func TestAdmission(t *testing.T) {
	c := qt.New(t)
	upload := Allowance{
		Objective: 2500 * time.Millisecond,
		Deadline:  6 * time.Second,
		Work:      500 * time.Millisecond,
	}
	for _, tt := range []struct {
		name   string
		queued []int64
		size   int64
		age    time.Duration
		short  int
		want   string
	}{
		{"free link", nil, 60_000, 0, 0, ""},
		{"late on a free link", nil, 360_000, 0, 0, ""},
		{"late on a busy link", []int64{360_000}, 360_000, 0, 0, ReasonLate},
		{"short before long ones", []int64{360_000, 360_000, 360_000, 360_000, 360_000}, 20_000, 0, 0, ""},
		{"out of time", nil, 360_000, 3 * time.Second, 0, ReasonDeadline},
		{"link full of short messages", nil, 100_000, 0, 240_000, ReasonDeadline},
		{"too much before it", []int64{300_000, 300_000, 300_000}, 360_000, 0, 0, ReasonDeadline},
	} {
		s := New(2.2, nil)
		for _, size := range tt.queued {
			reception(&s.in, size, start)
		}
		s.windowAt, s.windowBytes = start.Add(-time.Second), tt.short
		_, refusal := s.admit(start, start.Add(-tt.age), tt.size, upload)
		got := ""
		if refusal != nil {
			got = refusal.Reason
			c.Check(refusal.RetryAfter > 0 && refusal.RetryAfter <= (upload.Deadline-tt.age)/3, qt.IsTrue)
		}
		c.Check(got, qt.Equals, tt.want, qt.Commentf("%s", tt.name))
	}
}

// Guards against a host that takes uploads, or keeps all its callers, while its link has been saturated for some time, and
// against one that alternates.
func TestSaturation(t *testing.T) {
	c := qt.New(t)
	var s saturation
	for _, tt := range []struct {
		at, backlog time.Duration
		on          bool
	}{
		{0, 1500 * time.Millisecond, false},
		{500 * time.Millisecond, 800 * time.Millisecond, false},
		{1100 * time.Millisecond, 1500 * time.Millisecond, false},
		{2100 * time.Millisecond, 1500 * time.Millisecond, true},
		{2200 * time.Millisecond, 800 * time.Millisecond, true},
		{2300 * time.Millisecond, 400 * time.Millisecond, false},
	} {
		s.update(start.Add(tt.at), tt.backlog)
		c.Check(s.on, qt.Equals, tt.on, qt.Commentf("at %s", tt.at))
	}
	l := New(2.2, nil)
	l.saturation.on = true
	reception(&l.in, 400_000, start)
	_, refusal := l.admit(start, start, 10_000, Allowance{})
	c.Assert(refusal.Reason, qt.Equals, ReasonSaturated)
	_, always := l.admit(start, start, 10_000, Allowance{
		Always: true,
	})
	c.Assert(always, qt.IsNil)
	c.Assert(refusal.RetryAfter > time.Second, qt.IsTrue)
}

// Guards against shaping where its condition does not hold, and against calls between hosts that use more than their share.
func TestConditionAndClasses(t *testing.T) {
	c := qt.New(t)
	for _, mbit := range []float64{0, -1, 20.1} {
		s := New(mbit, nil)
		c.Assert(s, qt.IsNil)
		c.Assert(s.Active(), qt.IsFalse)
		s.SetActive(true)
		c.Assert(s.Send(1<<20), qt.IsNil)
	}
	s := New(2.2, nil)
	r, refusal := s.Receive(start, 1<<20, Allowance{})
	c.Assert(r == nil && refusal == nil && s.Send(1<<20) == nil, qt.IsTrue)
	c.Assert(s.class(start, Control, 50_000), qt.Equals, Control)
	c.Assert(s.class(start, Control, 50_000), qt.Equals, Short)
	c.Assert(s.class(start.Add(time.Second), Control, 50_000), qt.Equals, Control)
}

// Guards against a body without a deadline that waits for its turn for ever.
func TestWaitWithoutADeadlineIsBounded(t *testing.T) {
	c := qt.New(t)
	s := New(20, nil)
	s.SetActive(true)
	var last *Reception
	for range s.in.turns() + 1 {
		r, refusal := s.Receive(time.Now(), 10_000, Allowance{
			MaxWait: 50 * time.Millisecond,
		})
		c.Assert(refusal, qt.IsNil)
		defer r.End()
		last = r
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	began := time.Now()
	_, err := last.Wait(ctx, func() bool { return false })
	c.Assert(err, qt.Equals, ErrLate)
	c.Assert(time.Since(began) >= 80*time.Millisecond, qt.IsTrue)
}
