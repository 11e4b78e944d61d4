package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// limited returns a handler that counts requests in n, states the limit, and answers with the status.
func limited(n *atomic.Int32, limit string, status int, outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		w.Header().Set(testLimit, limit)
		w.Header().Set(testOutcome, outcome)
		w.WriteHeader(status)
	}
}

// Guards against the owner of a key that gets more requests than it states, and against callers that wait for it, or that
// are told to return all at once. What the target rejects counts like what it runs.
func TestOwnerGetsNoMoreThanItStates(t *testing.T) {
	for name, tc := range map[string]struct {
		status   int
		outcome  string
		noLeader bool
		most     int32
	}{
		"runs them":    {status: http.StatusOK, most: 17},
		"rejects them": {status: http.StatusServiceUnavailable, outcome: "notRun", most: 17},
		"no leader":    {status: http.StatusOK, noLeader: true, most: 8},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(c)
			b.noLeader.Store(tc.noLeader)
			b.putTable()
			var n atomic.Int32
			b.target("a", "tally", limited(&n, "4", tc.status, tc.outcome))
			b.own("tally", "a")
			b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7")
			var mu sync.Mutex
			delays := make(map[string]bool)
			var slowest time.Duration
			var wg sync.WaitGroup
			for range 10 {
				wg.Go(func() {
					for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						sent := time.Now()
						a := b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7")
						mu.Lock()
						slowest = max(slowest, time.Since(sent))
						if a.Status == http.StatusServiceUnavailable {
							delays[a.Header.Get("Retry-After")] = true
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			c.Assert(n.Load() > 1 && n.Load() <= tc.most, qt.IsTrue, qt.Commentf("%d requests in 2 s", n.Load()))
			c.Assert(len(delays) > 10, qt.IsTrue, qt.Commentf("%v", delays))
			for d := range delays {
				s, err := strconv.ParseFloat(d, 64)
				c.Assert(err, qt.IsNil)
				c.Assert(s >= 0.05 && s <= 4, qt.IsTrue, qt.Commentf("%s", d))
			}
			// The objective is 500 ms; a request that waits longer for a token is late for certain.
			c.Assert(slowest < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", slowest))
		})
	}
}

// Guards against requests for a shared service that are refused, or wait, because one of its targets states a limit.
func TestOtherTargetsServeWhatATargetWithALimitDoesNot(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	var first, second atomic.Int32
	b.target("a", "desk", limited(&first, "2", http.StatusOK, ""))
	b.target("b", "desk", answerWith(&second, "done"))
	for range 300 {
		a := b.send(context.Background(), http.MethodGet, "/lookup/1")
		c.Assert(a.Status, qt.Equals, http.StatusOK)
		time.Sleep(3 * time.Millisecond)
	}
	c.Assert(first.Load() > 0 && first.Load() <= 8, qt.IsTrue, qt.Commentf("%d requests in 1 s", first.Load()))
	c.Assert(first.Load()+second.Load(), qt.Equals, int32(300))
}

// Guards against a limit that stays in force after the target has stopped stating it, and against one that the answer of
// another target at the address sets.
func TestLimitEndsWithTheStatement(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	var limit atomic.Value
	limit.Store("1")
	var n atomic.Int32
	b.target("a", "tally", func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		if l := limit.Load().(string); l != "" {
			w.Header().Set(testLimit, l)
		}
	})
	b.own("tally", "a")
	send := func() int { return b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7").Status }
	c.Assert(send(), qt.Equals, http.StatusOK)
	c.Assert(send(), qt.Equals, http.StatusServiceUnavailable)
	limit.Store("")
	for end := time.Now().Add(5 * time.Second); send() != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	for range 20 {
		c.Assert(send(), qt.Equals, http.StatusOK)
	}

	b.target("b", "desk", limited(&n, "0", http.StatusMisdirectedRequest, "notRun"))
	for range 20 {
		b.send(context.Background(), http.MethodGet, "/lookup/1")
	}
	c.Assert(n.Load() > 40, qt.IsTrue, qt.Commentf("%d", n.Load()))
}
