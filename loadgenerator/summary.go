package loadgenerator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are recorded in microseconds from 1 µs to 60 s with three significant figures.
const (
	minLatencyMicros   = 1
	maxLatencyMicros   = 60_000_000
	significantFigures = 3
)

// Summary counts the requests of one service, or of all, by their outcome for the caller.
type Summary struct {
	Requests int
	Served   int
	Attempts int
	// NotSent counts requests beyond MaxInFlight.
	NotSent int
	// Outcomes counts the requests that were sent by the outcome of their last attempt, as Attempt.CallerOutcome
	// returns it.
	Outcomes map[string]int
	// P50 to Max are latencies of served requests from the intended start.
	P50, P99, P999, Max time.Duration
}

// Summarize summarizes the records of service, of all services if it is empty.
func Summarize(records []Record, service string) Summary {
	s := Summary{
		Outcomes: make(map[string]int),
	}
	h := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantFigures)
	for _, r := range records {
		if service != "" && r.Service != service {
			continue
		}
		s.Requests++
		s.Attempts += len(r.Attempts)
		if len(r.Attempts) == 0 {
			s.NotSent++
			continue
		}
		s.Outcomes[r.Last().CallerOutcome()]++
		if r.Served() {
			s.Served++
			_ = h.RecordValue(min(maxLatencyMicros, max(minLatencyMicros, r.Latency().Microseconds())))
		}
	}
	s.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	s.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	s.P999 = time.Duration(h.ValueAtQuantile(99.9)) * time.Microsecond
	s.Max = time.Duration(h.Max()) * time.Microsecond
	return s
}
