package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/sender"
)

// worker is a target that sleeps for each request. It counts the requests in progress, their peak, and those done.
type worker struct {
	srv  *httptest.Server
	busy atomic.Int64
	peak atomic.Int64
	done atomic.Int64
	// onStart is called before each request, if it is set.
	onStart func(busy, done int64)
	// limit is the limit that answers state, a string; empty for none.
	limit atomic.Value
}

func newWorker(tb testing.TB, serviceTime time.Duration) *worker {
	var w worker
	w.srv = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		busy := w.busy.Add(1)
		for peak := w.peak.Load(); busy > peak && !w.peak.CompareAndSwap(peak, busy); peak = w.peak.Load() {
		}
		if w.onStart != nil {
			w.onStart(busy, w.done.Load())
		}
		time.Sleep(serviceTime)
		w.done.Add(1)
		w.busy.Add(-1)
		rw.Header().Set("Bramleyline-Request", r.Header.Get("Bramleyline-Request"))
		if limit, _ := w.limit.Load().(string); limit != "" {
			rw.Header().Set("Bramleyline-Limit", limit)
		}
		_, _ = io.WriteString(rw, "ok")
	}))
	tb.Cleanup(w.srv.Close)
	return &w
}

func (w *worker) addr() netip.AddrPort {
	return netip.MustParseAddrPort(w.srv.Listener.Addr().String())
}

// run sends one request and reads its answer.
func (h *host) run(i int, timeout time.Duration) *sender.Fault {
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	j := Job{
		Service:  &h.svc,
		Key:      "picker" + strconv.Itoa(i%16),
		Method:   http.MethodPost,
		URI:      "/",
		Host:     "x",
		Identity: strconv.Itoa(i),
		Deadline: deadline,
	}
	j.Table, _ = h.current.Load().Table("tally")
	j.Slot, j.Route = j.Table.OwnerOf(j.Key)
	resp, f := h.d.Dispatch(ctx, &j)
	if f != nil {
		return f
	}
	defer resp.Close()
	if _, err := io.Copy(io.Discard, resp); err != nil {
		return err.(*sender.Fault)
	}
	return nil
}

// Guards against more requests in progress at a cold target than its successes allow, at first and after a restart.
func TestColdTargetUnderFullLoad(t *testing.T) {
	c := qt.New(t)
	w := newWorker(t, time.Millisecond)
	h := newHost(w.addr())
	h.svc.Limits.WarmStep = 10
	h.svc.Limits.QueueLimit = 1000
	var doneBefore, excess atomic.Int64
	w.onStart = func(busy, done int64) {
		if busy > 1+(done+1-doneBefore.Load())/10 || busy > 4 {
			excess.Add(1)
		}
	}
	for incarnation := range uint64(2) {
		h.publish(incarnation+1, w.addr())
		doneBefore.Store(w.done.Load())
		var wg sync.WaitGroup
		for i := range 150 {
			wg.Go(func() { h.run(i, 10*time.Second) })
		}
		wg.Wait()
	}
	c.Assert(excess.Load(), qt.Equals, int64(0))
	c.Assert(w.done.Load(), qt.Equals, int64(300))
	c.Assert(w.peak.Load(), qt.Equals, int64(4))
	loads := h.d.Loads()
	sum := uint32(0)
	for _, l := range loads {
		for _, n := range l.Requests {
			sum += n
		}
	}
	c.Assert(sum, qt.Equals, uint32(300))
}

// Guards against sending a cold target another request in place of an abandoned one, which the target may still run.
func TestAbandonedRequestKeepsItsPlace(t *testing.T) {
	c := qt.New(t)
	w := newWorker(t, 60*time.Millisecond)
	h := newHost(w.addr())
	h.svc.Limits.WarmStep = 1000
	for i := range 6 {
		timeout := time.Second
		if i%2 == 0 {
			timeout = 10 * time.Millisecond
		}
		h.run(i, timeout)
	}
	c.Assert(w.peak.Load(), qt.Equals, int64(1))
	c.Assert(w.done.Load() >= 3, qt.IsTrue)
}

// plainSketch counts all keys. Like any Sketch, it need not be safe for concurrent use.
type plainSketch map[string]uint32

func (s plainSketch) Add(key string) { s[key]++ }

func (s plainSketch) Top() map[string]uint32 { return s }

// Guards against load reports without the hot keys, and against concurrent use of a sketch.
func TestLoadsNameHotKeys(t *testing.T) {
	w := newWorker(t, 0)
	h := newHost(w.addr())
	h.d.opts.Sketch = func() Sketch { return plainSketch{} }
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { h.run(3, time.Second) })
	}
	wg.Wait()
	qt.Assert(t, h.d.Loads()[0].HotKeys, qt.DeepEquals, map[string]uint32{"picker3": 10})
}

// BenchmarkOverload offers a target with 4 request slots and a service time of 10 ms one and three times its capacity
// of 400 requests a second, with a deadline of 200 ms, for 3 s each. Goodput is the rate of answers in time.
func BenchmarkOverload(b *testing.B) {
	for _, factor := range []int{1, 3} {
		b.Run(strconv.Itoa(factor)+"x", func(b *testing.B) {
			w := newWorker(b, 10*time.Millisecond)
			h := newHost(w.addr())
			h.svc.Limits.ColdAllowance = 4
			var mu sync.Mutex
			var latencies, refusals []time.Duration
			var unknown int
			var wg sync.WaitGroup
			const duration = 3 * time.Second
			interval := time.Second / time.Duration(400*factor)
			start := time.Now()
			for i := 0; time.Since(start) < duration; i++ {
				if d := time.Until(start.Add(time.Duration(i) * interval)); d > 0 {
					time.Sleep(d)
				}
				wg.Go(func() {
					sent := time.Now()
					f := h.run(i, 200*time.Millisecond)
					latency := time.Since(sent)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case f == nil:
						latencies = append(latencies, latency)
					case f.MayHaveRun:
						unknown++
					default:
						refusals = append(refusals, latency)
					}
				})
			}
			wg.Wait()
			quantile := func(d []time.Duration, percent int) float64 {
				if len(d) == 0 {
					return 0
				}
				slices.Sort(d)
				return float64(d[len(d)*percent/100].Microseconds()) / 1000
			}
			b.ReportMetric(float64(len(latencies))/duration.Seconds(), "goodput/s")
			b.ReportMetric(float64(len(refusals))/duration.Seconds(), "notRun/s")
			b.ReportMetric(float64(unknown)/duration.Seconds(), "unknown/s")
			b.ReportMetric(quantile(latencies, 99), "ok-p99-ms")
			b.ReportMetric(quantile(refusals, 50), "refused-p50-ms")
			b.ReportMetric(quantile(refusals, 99), "refused-p99-ms")
			b.ReportMetric(float64(w.peak.Load()), "most-in-progress")
		})
	}
}
