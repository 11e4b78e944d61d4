// Package recorder keeps histograms of latency and queueing time and counts of outcomes for each service and class.
package recorder

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// stripes is the number of separately locked parts of a histogram, so that requests on different cores seldom meet.
	stripes = 8
	// longest is the greatest recorded time in microseconds, and digits the precision.
	longest = int64(5 * time.Minute / time.Microsecond)
	digits  = 2
)

// Class tells requests that may run more than once from those that may not.
type Class string

// The classes of requests.
const (
	Read  Class = "read"
	Write Class = "write"
)

// Entry is the result of one request.
type Entry struct {
	Service string
	Class   Class
	// Outcome is "ok", "aborted", or notRun or unknown with the reason.
	Outcome string
	Latency time.Duration
	Queued  time.Duration
}

// Recorder records entries. The zero value is ready.
type Recorder struct {
	series sync.Map // seriesID to *series
}

type seriesID struct {
	service string
	class   Class
}

type series struct {
	stripe [stripes]stripe
}

type stripe struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	queued   *hdrhistogram.Histogram
	outcomes map[string]int64
}

func (r *Recorder) find(id seriesID) *series {
	if s, ok := r.series.Load(id); ok {
		return s.(*series)
	}
	s, _ := r.series.LoadOrStore(id, &series{})
	return s.(*series)
}

// Record adds e.
func (r *Recorder) Record(e Entry) {
	s := &r.find(seriesID{
		service: e.Service,
		class:   e.Class,
	}).stripe[rand.N(stripes)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latency == nil {
		s.latency = hdrhistogram.New(1, longest, digits)
		s.queued = hdrhistogram.New(1, longest, digits)
		s.outcomes = map[string]int64{}
	}
	_ = s.latency.RecordValue(min(longest, e.Latency.Microseconds()))
	_ = s.queued.RecordValue(min(longest, e.Queued.Microseconds()))
	s.outcomes[e.Outcome]++
}

// Summary is what was recorded of one service and class. Times are in microseconds.
type Summary struct {
	Service   string
	Class     Class
	Count     int64
	P50       int64
	P99       int64
	P999      int64
	Max       int64
	QueuedP50 int64
	QueuedP99 int64
	Outcomes  map[string]int64
}

// Summaries returns a summary of each service and class, in their order.
func (r *Recorder) Summaries() []Summary {
	var sums []Summary
	r.series.Range(func(k, v any) bool {
		sums = append(sums, v.(*series).summary(k.(seriesID)))
		return true
	})
	sort.Slice(sums, func(i, j int) bool {
		if sums[i].Service != sums[j].Service {
			return sums[i].Service < sums[j].Service
		}
		return sums[i].Class < sums[j].Class
	})
	return sums
}

func (s *series) summary(id seriesID) Summary {
	latency := hdrhistogram.New(1, longest, digits)
	queued := hdrhistogram.New(1, longest, digits)
	sum := Summary{
		Service:  id.service,
		Class:    id.class,
		Outcomes: map[string]int64{},
	}
	for i := range s.stripe {
		p := &s.stripe[i]
		p.mu.Lock()
		if p.latency != nil {
			latency.Merge(p.latency)
			queued.Merge(p.queued)
		}
		for outcome, n := range p.outcomes {
			sum.Outcomes[outcome] += n
		}
		p.mu.Unlock()
	}
	sum.Count = latency.TotalCount()
	sum.P50, sum.P99 = latency.ValueAtQuantile(50), latency.ValueAtQuantile(99)
	sum.P999, sum.Max = latency.ValueAtQuantile(99.9), latency.Max()
	sum.QueuedP50, sum.QueuedP99 = queued.ValueAtQuantile(50), queued.ValueAtQuantile(99)
	return sum
}

// published has the recorders of the process by the name of their host: several hosts may run in one process.
var published = expvar.NewMap("traffic")

// Publish shows the recorder in expvar under "traffic" and the name of the host.
func (r *Recorder) Publish(host string) {
	published.Set(host, expvar.Func(func() any {
		return r.values()
	}))
}

func (r *Recorder) values() map[string]any {
	values := map[string]any{}
	for _, s := range r.Summaries() {
		values[s.Service+"."+string(s.Class)] = map[string]any{
			"count":       s.Count,
			"p50us":       s.P50,
			"p99us":       s.P99,
			"p999us":      s.P999,
			"maxus":       s.Max,
			"queuedP50us": s.QueuedP50,
			"queuedP99us": s.QueuedP99,
			"outcomes":    s.Outcomes,
		}
	}
	return values
}

// ServeHTTP writes the summaries as text, one line each.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, s := range r.Summaries() {
		outcomes := make([]string, 0, len(s.Outcomes))
		for outcome, n := range s.Outcomes {
			outcomes = append(outcomes, fmt.Sprintf("%s=%d", outcome, n))
		}
		sort.Strings(outcomes)
		fmt.Fprintf(w, "%s %s count=%d p50=%dus p99=%dus p99.9=%dus max=%dus queuedP50=%dus queuedP99=%dus %s\n", s.Service, s.Class,
			s.Count, s.P50, s.P99, s.P999, s.Max, s.QueuedP50, s.QueuedP99, strings.Join(outcomes, " "))
	}
}
