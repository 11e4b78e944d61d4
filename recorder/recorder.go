// Package recorder is a metrics recorder. It keeps histograms of latency and queueing delay, and counts of outcomes,
// for each service and class of requests, and publishes them as expvar and as text.
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
	// stripeCount is the number of separately locked parts of a series, so that requests on different cores seldom
	// contend for a lock.
	stripeCount = 8
	// maxMicroseconds is the longest time that is recorded, and significantDigits the precision of the histograms.
	maxMicroseconds   = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Class separates requests that may run more than once (Read) from those that may not (Write).
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
	// Outcome is the name under which the request is counted, such as "ok", "aborted", or "notRun" or "unknown" with the
	// reason.
	Outcome string
	Latency time.Duration
	// Queued is the queueing delay of the request.
	Queued time.Duration
}

// Recorder aggregates entries. The zero value is ready to use.
type Recorder struct {
	series sync.Map // seriesID to *series
}

type seriesID struct {
	service string
	class   Class
}

type series struct {
	stripes [stripeCount]stripe
}

type stripe struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	queued   *hdrhistogram.Histogram
	outcomes map[string]int64
}

func (r *Recorder) seriesFor(id seriesID) *series {
	if s, ok := r.series.Load(id); ok {
		return s.(*series)
	}
	s, _ := r.series.LoadOrStore(id, &series{})
	return s.(*series)
}

// Record adds e to the series of its service and class. Times beyond maxMicroseconds are recorded as maxMicroseconds.
func (r *Recorder) Record(e Entry) {
	s := &r.seriesFor(seriesID{
		service: e.Service,
		class:   e.Class,
	}).stripes[rand.N(stripeCount)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latency == nil {
		s.latency = hdrhistogram.New(1, maxMicroseconds, significantDigits)
		s.queued = hdrhistogram.New(1, maxMicroseconds, significantDigits)
		s.outcomes = map[string]int64{}
	}
	_ = s.latency.RecordValue(min(maxMicroseconds, e.Latency.Microseconds()))
	_ = s.queued.RecordValue(min(maxMicroseconds, e.Queued.Microseconds()))
	s.outcomes[e.Outcome]++
}

// Summary summarizes the entries of one service and class. Times are in microseconds.
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

// Summaries returns a summary of each service and class, sorted by service and then by class.
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
	latency := hdrhistogram.New(1, maxMicroseconds, significantDigits)
	queued := hdrhistogram.New(1, maxMicroseconds, significantDigits)
	sum := Summary{
		Service:  id.service,
		Class:    id.class,
		Outcomes: map[string]int64{},
	}
	for i := range s.stripes {
		p := &s.stripes[i]
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

// published holds the recorders of the process by the name of their host: several hosts may run in one process.
var published = expvar.NewMap("traffic")

// Publish adds the recorder to the expvar map "traffic" under the name of the host.
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

// ServeHTTP writes the summaries as text, one line for each.
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
