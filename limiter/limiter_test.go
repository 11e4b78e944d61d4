package limiter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/timekeeper"
	"bramleyline.example/bramleyline/viewer"
)

var start = time.Unix(1000, 0)

func stated(limit float64) *float64 { return &limit }

func incarnation(id string) registrar.Incarnation {
	return registrar.Incarnation{
		ID: id,
	}
}

// newLimiter returns the limiter of one of many hosts, without a control leader.
func newLimiter(hosts, rank int, logs *bytes.Buffer) *Limiter {
	return New(Options{
		View: func() *viewer.View {
			return &viewer.View{
				Hosts: hosts,
				Rank:  rank,
			}
		},
		ViewAge: func() time.Duration { return 0 },
		Log:     log.New(logs),
	})
}

// at makes the limiter take the time at for the present.
func (l *Limiter) at(at time.Time) *Limiter {
	l.now = func() time.Time { return at }
	return l
}

// Guards against limits of which no log line tells, and against a target whose limit changes with each answer and fills
// the log.
func TestChangesOfALimitAreLogged(t *testing.T) {
	c := qt.New(t)
	var logs bytes.Buffer
	l := newLimiter(1, 0, &logs)
	inc := incarnation("i-1")
	for i := range 100 {
		l.at(start.Add(time.Duration(i)*time.Millisecond)).Observe(inc, "desk", stated(float64(i+1)))
		l.Unreadable(inc, "desk")
	}
	c.Assert(strings.Count(logs.String(), "limit of target target"), qt.Equals, 1)
	c.Assert(strings.Count(logs.String(), "cannot be read"), qt.Equals, 1)
	l.at(start.Add(2*time.Second)).Observe(inc, "desk", stated(7))
	l.at(start.Add(3*time.Second)).Observe(inc, "desk", stated(7))
	c.Assert(strings.Count(logs.String(), "limit of target target"), qt.Equals, 2)
	l.at(start.Add(4*time.Second)).Observe(inc, "desk", nil)
	c.Assert(logs.String(), qt.Contains, "limit=none before=7")
}

// Guards against state that grows with each incarnation that ever stated a limit.
func TestLimitsOfLostTargetsAreForgotten(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(1, 0, &bytes.Buffer{})
	for i := range 50 {
		l.at(start).Observe(registrar.Incarnation{
			ID:   "i-1",
			Born: start.Add(time.Duration(i)),
		}, "desk", stated(6))
	}
	l.at(start).Observe(incarnation("i-2"), "desk", nil)
	c.Assert(len(l.targets), qt.Equals, 50)
	l.Forget(start.Add(1))
	c.Assert(len(l.targets), qt.Equals, 0)
	c.Assert(l.size.Load(), qt.Equals, int32(0))
}

// Guards against a host that takes an outdated statement for the limit: the newer of its own last answer and the
// confirmed view counts, and the lower if that is not clear.
func TestBindingLimitIsTheNewest(t *testing.T) {
	for name, tc := range map[string]struct {
		// heard is the limit in the last answer, nil for none, heardAge the age of that answer.
		heard    *float64
		heardAge time.Duration
		view     *float64
		viewAge  time.Duration
		want     *float64
	}{
		"both":                      {heard: stated(6), view: stated(6), want: stated(6)},
		"fell":                      {heard: stated(5), view: stated(6), want: stated(5)},
		"rose":                      {heard: stated(7), view: stated(6), want: stated(6)},
		"began":                     {heard: stated(6), want: stated(6)},
		"ended":                     {view: stated(6), want: stated(6)},
		"ended long ago":            {heard: stated(6), heardAge: time.Minute},
		"ended while out of touch":  {view: stated(6), viewAge: time.Minute},
		"began while out of touch":  {heard: stated(6), viewAge: time.Minute, want: stated(6)},
		"heard before the contact":  {heard: stated(6), heardAge: time.Minute, view: stated(8), want: stated(8)},
		"nobody has heard anything": {},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := newLimiter(1, 0, &bytes.Buffer{})
			l.opts.ViewAge = func() time.Duration { return tc.viewAge }
			now := start.Add(time.Hour)
			inc := incarnation("i-1")
			l.at(now.Add(-time.Hour)).Observe(inc, "desk", stated(1))
			l.at(now.Add(-tc.heardAge)).Observe(inc, "desk", tc.heard)
			_, got := l.binding(now, &viewer.Target{
				Incarnation: inc,
				Limit:       tc.view,
			})
			c.Assert(issuer.EqualLimits(got, tc.want), qt.IsTrue, qt.Commentf("%v", Text(got)))
		})
	}
}

// Guards against fixed shares that exceed their part of the limit together, at few and at many hosts, with a host that
// restarts, and against requests that wait for a leader that is not there.
func TestFixedSharesStayWithinTheLimit(t *testing.T) {
	for _, hosts := range []int{1, 8, 100} {
		for _, limit := range []float64{0, 0.5, 6, 6.3, 250, 1e300} {
			t.Run(fmt.Sprintf("%d hosts, %g a second", hosts, limit), func(t *testing.T) {
				c := qt.New(t)
				var limiters []*Limiter
				for rank := range hosts {
					limiters = append(limiters, newLimiter(hosts, rank, &bytes.Buffer{}))
				}
				tg := &viewer.Target{
					Incarnation: incarnation("i-1"),
					Limit:       stated(limit),
				}
				sent := 0
				const length = 40 * time.Second
				for at := time.Duration(0); at < length; at += 100 * time.Millisecond {
					for rank, l := range limiters {
						if rank == 0 && at == length/2 {
							l = newLimiter(hosts, rank, &bytes.Buffer{})
							limiters[rank] = l
						}
						l.mu.Lock()
						st, bound := l.binding(start.Add(at), tg)
						if l.takeShare(start.Add(at), st, tg.ID, *bound) {
							sent++
						}
						l.mu.Unlock()
					}
				}
				c.Assert(float64(sent) <= issuer.FixedShare*limit*length.Seconds()+float64(hosts), qt.IsTrue, qt.Commentf("%d sent", sent))
			})
		}
	}
}

// Guards against requests that wait for a token although the leader does not answer: the first learns it within the
// timeout, the others are refused at once and told to return at different times.
func TestRequestsAreRefusedAtOnceWithoutALeader(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(1, 0, &bytes.Buffer{})
	asks := 0
	l.opts.Ask = func(context.Context, issuer.AskMsg) (issuer.IssueMsg, error) {
		asks++
		return issuer.IssueMsg{}, errors.New("no leader")
	}
	tg := &viewer.Target{
		Incarnation: incarnation("i-1"),
		Limit:       stated(0),
	}
	delays := make(map[time.Duration]bool)
	for range 100 {
		refusal := l.Take(c.Context(), tg, Request{
			MaxDelay: time.Second,
		})
		c.Assert(refusal, qt.IsNotNil)
		c.Assert(refusal.RetryAfter >= minRetryAfter, qt.IsTrue)
		delays[refusal.RetryAfter] = true
	}
	c.Assert(asks, qt.Equals, 1)
	c.Assert(len(delays) > 50, qt.IsTrue, qt.Commentf("%d different delays", len(delays)))
}

// Guards against requests that wait for a leader that stands still: the first waits for a moment, the next ones not at all.
func TestRequestsDoNotWaitForASlowLeader(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(1, 0, &bytes.Buffer{})
	l.opts.Ask = func(ctx context.Context, _ issuer.AskMsg) (issuer.IssueMsg, error) {
		<-ctx.Done()
		return issuer.IssueMsg{}, ctx.Err()
	}
	tg := &viewer.Target{
		Incarnation: incarnation("i-1"),
		Limit:       stated(1),
	}
	began := time.Now()
	for range 50 {
		c.Assert(l.Take(c.Context(), tg, Request{}), qt.IsNotNil)
	}
	c.Assert(time.Since(began) < 2*askTimeout, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
}

// Guards against a host that sends what it has no token for, and against an urgent request that stands behind others: the
// requests that wait are asked for together, the urgent ones first.
func TestUrgentRequestsGetTheFirstTokens(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(1, 0, &bytes.Buffer{})
	gate := make(chan bool)
	var mu sync.Mutex
	var asked []issuer.AskMsg
	l.opts.Ask = func(_ context.Context, m issuer.AskMsg) (issuer.IssueMsg, error) {
		<-gate
		mu.Lock()
		defer mu.Unlock()
		asked = append(asked, m)
		reply := issuer.IssueMsg{
			Wait: 100 * time.Millisecond,
		}
		for i := range m.MaxDelays {
			delay := time.Duration(0)
			if i >= 2 {
				delay = issuer.Refused
			}
			reply.Delays = append(reply.Delays, delay)
		}
		return reply, nil
	}
	tg := &viewer.Target{
		Incarnation: incarnation("i-1"),
		Limit:       stated(1),
	}
	served := make(chan bool, 8)
	var wg sync.WaitGroup
	take := func(urgent bool) {
		wg.Go(func() {
			if l.Take(c.Context(), tg, Request{Urgent: urgent}) == nil {
				served <- urgent
			}
		})
	}
	waiting := func(n int) {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			l.mu.Lock()
			st := l.targets[tg.Incarnation]
			reached := st != nil && st.asking && len(st.waiters) == n
			l.mu.Unlock()
			if reached {
				return
			}
		}
		c.Fatalf("not %d requests wait", n)
	}
	take(false)
	waiting(0)
	for i := range 4 {
		take(i >= 2)
		waiting(i + 1)
	}
	close(gate)
	wg.Wait()
	close(served)
	counts := map[bool]int{}
	for urgent := range served {
		counts[urgent]++
	}
	c.Assert(counts, qt.DeepEquals, map[bool]int{false: 1, true: 2})
	c.Assert(len(asked), qt.Equals, 2)
}

// Guards against limits that a report leaves out or repeats.
func TestStatementsAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(1, 0, &bytes.Buffer{})
	c.Assert(l.Stated(), qt.HasLen, 0)
	l.Observe(incarnation("i-1"), "desk", stated(6.3))
	l.Observe(incarnation("i-2"), "desk", stated(1e300))
	m := l.Stated()
	c.Assert(m, qt.HasLen, 1)
	c.Assert(m[0].Stated && m[0].Limit == 6.3, qt.IsTrue)
	c.Assert(m[0].Age >= 0 && m[0].Age < time.Minute, qt.IsTrue)
	c.Assert(l.Stated(), qt.HasLen, 0)
	l.Observe(incarnation("i-1"), "desk", nil)
	m = l.Stated()
	c.Assert(m, qt.HasLen, 1)
	c.Assert(m[0].Stated, qt.IsFalse)
}

// BenchmarkNoLimit measures what a request costs whose target states no limit, while none or a few others do.
func BenchmarkNoLimit(b *testing.B) {
	for _, limited := range []int{0, 10} {
		b.Run(fmt.Sprintf("%d limited", limited), func(b *testing.B) {
			l := newLimiter(8, 0, &bytes.Buffer{})
			for i := range limited {
				l.Observe(incarnation(fmt.Sprint(i)), "desk", stated(6))
			}
			tg := &viewer.Target{
				Incarnation: incarnation("i-1"),
			}
			ctx := b.Context()
			for b.Loop() {
				l.Take(ctx, tg, Request{})
				l.Observe(tg.Incarnation, "desk", nil)
			}
		})
	}
}

// Guards against a request that can wait for a token and is refused because another one could not wait, be it asked for
// together with it or before it.
func TestRequestsThatCanWaitAreNotRefusedWithOthers(t *testing.T) {
	c := qt.New(t)
	l := newLimiter(1, 0, &bytes.Buffer{})
	s := newSimulation(1, 1, 6)
	l.opts.Ask = func(_ context.Context, m issuer.AskMsg) (issuer.IssueMsg, error) {
		return s.issuer.Issue(timekeeper.Now(), s.registry, m), nil
	}
	tg := &viewer.Target{
		Incarnation: incarnation("i-1"),
		Limit:       stated(6),
	}
	// The bucket is empty at first, and a token takes a quarter of a second.
	c.Assert(l.Take(c.Context(), tg, Request{Urgent: true}), qt.IsNotNil)
	c.Assert(l.Take(c.Context(), tg, Request{MaxDelay: time.Second}), qt.IsNil)

	m := issuer.AskMsg{
		StatedMsg: issuer.StatedMsg{
			Target: tg.Incarnation,
		},
		MaxDelays: []time.Duration{0, 2 * time.Second},
	}
	reply := s.issuer.Issue(timekeeper.Now(), s.registry, m)
	c.Assert(reply.Delays, qt.HasLen, 2)
	c.Assert(reply.Delays[0] < 0 && reply.Delays[1] >= 0, qt.IsTrue, qt.Commentf("%v", reply.Delays))
}
