package dispatcher

import (
	"bytes"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
)

// Guards against a target that gets more requests than it states in its answers.
func TestTargetGetsNoMoreThanItStates(t *testing.T) {
	const limit, length = 20, 2500 * time.Millisecond
	c := qt.New(t)
	w := newWorker(t, time.Millisecond)
	w.limit.Store("20")
	h := newHost(w.addr())
	var logs bytes.Buffer
	h.d.opts.Log = log.New(&logs)
	var mu sync.Mutex
	var arrivals []time.Time
	w.onStart = func(int64, int64) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
	}
	var served, refused atomic.Int64
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if h.run(i, 300*time.Millisecond) == nil {
					served.Add(1)
					continue
				}
				refused.Add(1)
			}
		})
	}
	wg.Wait()
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].Before(arrivals[j]) })
	for i, a := range arrivals {
		n := 0
		for _, b := range arrivals[i:] {
			if b.Sub(a) < time.Second {
				n++
			}
		}
		// One and a half times the limit, and five requests, as for the users' rule.
		c.Assert(n <= limit*3/2+5, qt.IsTrue, qt.Commentf("%d requests in a second", n))
	}
	c.Assert(served.Load() >= limit, qt.IsTrue, qt.Commentf("%d served", served.Load()))
	c.Assert(refused.Load() > served.Load(), qt.IsTrue, qt.Commentf("%d refused", refused.Load()))
	c.Assert(strings.Count(logs.String(), "limit of target"), qt.Equals, 1)
}

// Guards against a limit that outlives its statement, and against absurd statements that stop a target or end its limit.
func TestLimitFollowsTheStatements(t *testing.T) {
	c := qt.New(t)
	w := newWorker(t, time.Millisecond)
	h := newHost(w.addr())
	limited := func() bool { return h.run(0, 50*time.Millisecond) != nil }
	for _, absurd := range []string{"-1", "NaN", "Inf", "6.3.1", "1e300"} {
		w.limit.Store(absurd)
		for range 5 {
			c.Assert(limited(), qt.IsFalse, qt.Commentf("%s", absurd))
		}
	}
	w.limit.Store("")
	c.Assert(limited(), qt.IsFalse)
	w.limit.Store("1")
	c.Assert(limited(), qt.IsFalse)
	c.Assert(limited(), qt.IsTrue)
	w.limit.Store("NaN")
	time.Sleep(1100 * time.Millisecond)
	c.Assert(limited(), qt.IsFalse)
	c.Assert(limited(), qt.IsTrue)
	w.limit.Store("")
	time.Sleep(1100 * time.Millisecond)
	for range 5 {
		c.Assert(limited(), qt.IsFalse)
	}
	w.limit.Store("0")
	c.Assert(limited(), qt.IsFalse)
	c.Assert(limited(), qt.IsTrue)
	h.publish(2, w.addr())
	c.Assert(limited(), qt.IsFalse, qt.Commentf("the limit belongs to the earlier incarnation"))
}
