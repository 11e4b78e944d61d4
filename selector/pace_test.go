package selector

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/viewer"
)

// paceHost is a host that chooses targets of one service, all of which were there when it started.
type paceHost struct {
	Selector
	pool viewer.Pool
	now  time.Time
	need Need
}

func newPaceHost(targets int, work time.Duration) *paceHost {
	h := paceHost{
		now: start,
		need: Need{
			Work:      work,
			Objective: 3 * time.Second,
		},
	}
	h.Random = rand.New(rand.NewPCG(1, 2))
	h.add(targets)
	h.run(5*time.Second, nil)
	return &h
}

// add adds targets to the view.
func (h *paceHost) add(n int) {
	for range n {
		h.pool.Targets = append(h.pool.Targets, target(len(h.pool.Targets), ""))
	}
}

// run sends 1,000 requests a second for d, and returns the share of each target. answer changes the results of requests,
// which succeed in the expected time; it may be nil.
func (h *paceHost) run(d time.Duration, answer func(i int, r *Result)) []float64 {
	shares := make([]float64, len(h.pool.Targets))
	n := int(1000 * d.Seconds())
	for range n {
		h.now = h.now.Add(d / time.Duration(n))
		chosen := h.Choose(h.now, &h.pool, h.need, nil)
		i := slices.IndexFunc(h.pool.Targets, func(t viewer.Target) bool { return t.Incarnation == chosen.Incarnation })
		shares[i] += 1 / float64(n)
		r := Result{
			Latency: h.need.Work,
			Work:    h.need.Work,
		}
		if answer != nil {
			answer(i, &r)
		}
		h.Begin(h.now, chosen.Incarnation)
		h.End(h.now, chosen.Incarnation, r)
	}
	return shares
}

// Guards against a target that gets its full share at once when it joins, becomes warm or returns from backoff, and against
// one that is left idle. Without the condition on the service time, nothing may change.
func TestTargetThatStartsGetsMoreStepByStep(t *testing.T) {
	const fair = 0.1
	for name, begin := range map[string]func(h *paceHost){
		"joins": func(*paceHost) {},
		"becomes warm": func(h *paceHost) {
			h.pool.Targets[9].Cold = true
			qt.Assert(t, h.run(time.Second, nil)[9], qt.Equals, 0.0)
			h.pool.Targets[9].Cold = false
		},
		"returns from backoff": func(h *paceHost) {
			h.run(10*time.Second, nil)
			h.run(300*time.Millisecond, func(i int, r *Result) { r.Unanswered = i == 9 })
			h.run(minBackoff, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newPaceHost(9, 550*time.Millisecond)
			h.add(1)
			begin(h)
			first := h.run(500*time.Millisecond, nil)[9]
			c.Assert(first < fair/2, qt.IsTrue, qt.Commentf("%g", first))
			h.run(3500*time.Millisecond, nil)
			last := h.run(4*time.Second, nil)[9]
			c.Assert(last > 0.7*fair, qt.IsTrue, qt.Commentf("%g", last))
		})
	}
	c := qt.New(t)
	h := newPaceHost(9, 200*time.Millisecond)
	h.add(1)
	first := h.run(500*time.Millisecond, nil)[9]
	c.Assert(first > 0.7*fair, qt.IsTrue, qt.Commentf("%g", first))
}

// Guards against a target that joins and answers late but gets more with time, and against one that is never
// tried again after it became better.
func TestTargetThatAnswersBadlyGetsLittleUntilItIsBetter(t *testing.T) {
	c := qt.New(t)
	h := newPaceHost(9, 550*time.Millisecond)
	h.add(1)
	bad := func(i int, r *Result) {
		if i == 9 {
			r.Latency *= 5
		}
	}
	h.run(4*time.Second, bad)
	share := h.run(4*time.Second, bad)[9]
	c.Assert(share < 0.03, qt.IsTrue, qt.Commentf("%g", share))
	h.run(8*time.Second, nil)
	share = h.run(4*time.Second, nil)[9]
	c.Assert(share > 0.07, qt.IsTrue, qt.Commentf("%g", share))
}

// Guards against an overload of the established targets when many start together, and against some of those that are idle.
func TestTargetsThatStartTogether(t *testing.T) {
	for _, starting := range []int{20, 60} {
		c := qt.New(t)
		h := newPaceHost(20, 550*time.Millisecond)
		h.add(starting)
		established := 0.0
		for _, share := range h.run(300*time.Millisecond, nil)[:20] {
			established += share
		}
		for _, share := range h.run(3*time.Second, nil) {
			c.Assert(share > 0, qt.IsTrue)
		}
		fair := 20 / float64(20+starting)
		c.Assert(established > fair, qt.IsTrue)
		c.Assert(established < 1.7*fair, qt.IsTrue, qt.Commentf("%d start: %g of a fair share", starting, established/fair))
	}
}

// Guards against a host that starts and takes all targets for new ones, and one that does so when it forgets old statistics,
// has had no requests for a while, or has lost its own links.
func TestTargetsOfAHostThatStartsAreEstablished(t *testing.T) {
	c := qt.New(t)
	h := newPaceHost(9, 550*time.Millisecond)
	inRamp := func() int { return h.pools[""].ramps }
	c.Assert(inRamp(), qt.Equals, 0)
	h.Forget(h.now.Add(-time.Second))
	h.Forget(h.now)
	h.run(time.Second, nil)
	c.Assert(inRamp(), qt.Equals, 0)
	h.now = h.now.Add(2 * unseenTime)
	h.add(1)
	h.run(time.Second, nil)
	c.Assert(inRamp(), qt.Equals, 0)
	h.run(establishTime, nil)
	h.add(1)
	h.run(100*time.Millisecond, nil)
	c.Assert(inRamp(), qt.Equals, 1)
	h.run(8*time.Second, nil)
	h.run(2*time.Second, func(_ int, r *Result) { r.Unanswered = true })
	h.ForgetFailures()
	h.run(time.Second, nil)
	c.Assert(inRamp(), qt.Equals, 0)
}

// Guards against a queue that only other hosts saw and that does not lower the pace, and against loads that count although they
// are from before the ramp, older than an own answer, or already known.
func TestLearnedLoadLowersThePaceOnce(t *testing.T) {
	c := qt.New(t)
	h := newPaceHost(9, 550*time.Millisecond)
	h.add(1)
	h.run(2500*time.Millisecond, nil)
	inc := h.pool.Targets[9].Incarnation
	st := h.stats[inc]
	pace := func() float64 { return st.ramp.Pace(h.now) }
	learn := func(at time.Time) {
		h.Learn([]Learned{{
			Target:     inc,
			ReportedAt: at,
			Load: Load{
				Running:  8,
				Slowness: 1,
			},
		}})
	}
	before := pace()
	learn(st.rampAt)
	c.Assert(pace(), qt.Equals, before)
	learn(h.now)
	c.Assert(pace(), qt.Equals, before/2)
	h.now = h.now.Add(ms(400))
	learn(h.now.Add(-ms(400)))
	c.Assert(pace(), qt.Equals, before/2)
	st.loadReceivedAt = h.now
	learn(h.now.Add(-ms(100)))
	c.Assert(pace(), qt.Equals, before/2)
	learn(h.now.Add(ms(1)))
	c.Assert(pace(), qt.Equals, before/4)
}
