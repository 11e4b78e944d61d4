package balancer

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// share is the weight of a new sample in the recent latency.
	share = 0.2
	// forgetTime is the age from which a latency says nothing: a straggler is avoided, so only time shows that it has
	// recovered.
	forgetTime = 5 * time.Second
	// failureRun is the number of failures in a row from which a target counts as unhealthy, for restTime, which doubles
	// with each further failure up to restLimit.
	failureRun = 3
	restTime   = 500 * time.Millisecond
	restLimit  = 8 * time.Second
)

// stat is what this host knows of one target.
type stat struct {
	incarnation uint64
	inFlight    atomic.Int64
	// ewma is in nanoseconds and last in Unix nanoseconds.
	ewma     atomic.Int64
	last     atomic.Int64
	failures atomic.Int64
	rests    atomic.Int64
	report   atomic.Pointer[report]
}

// report is a stated load, which is ignored after until.
type report struct {
	load  float64
	until time.Time
}

func (s *stat) healthy(now time.Time) bool {
	return s.rests.Load() < now.UnixNano()
}

func (s *stat) latency(now time.Time) time.Duration {
	if now.UnixNano()-s.last.Load() > int64(forgetTime) {
		return 0
	}
	return time.Duration(s.ewma.Load())
}

// work is the number of requests in progress: those of this host, or the stated load if that is fresh and higher.
func (s *stat) work(now time.Time) float64 {
	own := float64(s.inFlight.Load())
	if r := s.report.Load(); r != nil && now.Before(r.until) {
		return max(own, r.load)
	}
	return own
}

func (s *stat) record(latency time.Duration, ok bool, now time.Time) {
	if !ok {
		n := s.failures.Add(1)
		if n >= failureRun {
			rest := min(restTime<<min(n-failureRun, 8), restLimit)
			s.rests.Store(now.Add(rest).UnixNano())
		}
		return
	}
	s.failures.Store(0)
	s.rests.Store(0)
	s.observe(latency, now)
}

func (s *stat) observe(latency time.Duration, now time.Time) {
	old := s.ewma.Load()
	if old == 0 || now.UnixNano()-s.last.Load() > int64(forgetTime) {
		old = int64(latency)
	}
	s.ewma.Store(old + int64(share*float64(int64(latency)-old)))
	s.last.Store(now.UnixNano())
}

// quantile follows the 95th percentile: each sample above moves it up by 19 steps for one step down below, so that it
// rests where one sample in 20 is above.
type quantile struct {
	bits atomic.Uint64
}

// quantileStep is the step down as a share of the value.
const quantileStep = 0.002

func (q *quantile) add(d time.Duration) {
	old := math.Float64frombits(q.bits.Load())
	v := float64(d)
	next := old
	switch {
	case old == 0:
		next = v
	case v > old:
		next = old * (1 + 19*quantileStep)
	default:
		next = old * (1 - quantileStep)
	}
	q.bits.Store(math.Float64bits(next))
}

func (q *quantile) value() time.Duration {
	return time.Duration(math.Float64frombits(q.bits.Load()))
}
