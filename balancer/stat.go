package balancer

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the recent latency.
	latencyWeight = 0.2
	// latencyMaxAge is the age from which a latency is ignored: a straggler is avoided, so no newer latency would show
	// that it has recovered.
	latencyMaxAge = 5 * time.Second
	// unhealthyFailures is the number of failures in a row from which a target counts as unhealthy, for baseCooldown at
	// first, which doubles with each further failure up to maxCooldown.
	unhealthyFailures = 3
	baseCooldown      = 500 * time.Millisecond
	maxCooldown       = 8 * time.Second
)

// stat holds the statistics of one incarnation of a target, as this host observed them.
type stat struct {
	incarnation uint64
	inFlight    atomic.Int64
	// latencyEWMA is the recent latency in nanoseconds, an exponentially weighted moving average; sampledAt is the time of
	// its last sample in Unix nanoseconds.
	latencyEWMA atomic.Int64
	sampledAt   atomic.Int64
	// failures is the number of failures in a row.
	failures atomic.Int64
	// unhealthyUntil is in Unix nanoseconds.
	unhealthyUntil atomic.Int64
	report         atomic.Pointer[report]
}

// report is a reported load, which is ignored after until.
type report struct {
	load  float64
	until time.Time
}

func (s *stat) healthy(now time.Time) bool {
	return s.unhealthyUntil.Load() < now.UnixNano()
}

// latency returns the recent latency, zero if it is too old.
func (s *stat) latency(now time.Time) time.Duration {
	if now.UnixNano()-s.sampledAt.Load() > int64(latencyMaxAge) {
		return 0
	}
	return time.Duration(s.latencyEWMA.Load())
}

// load returns the number of requests in progress: those of this host, or the reported load if that is fresh and
// higher.
func (s *stat) load(now time.Time) float64 {
	own := float64(s.inFlight.Load())
	if r := s.report.Load(); r != nil && now.Before(r.until) {
		return max(own, r.load)
	}
	return own
}

func (s *stat) record(latency time.Duration, ok bool, now time.Time) {
	if !ok {
		n := s.failures.Add(1)
		if n >= unhealthyFailures {
			cooldown := min(baseCooldown<<min(n-unhealthyFailures, 8), maxCooldown)
			s.unhealthyUntil.Store(now.Add(cooldown).UnixNano())
		}
		return
	}
	s.failures.Store(0)
	s.unhealthyUntil.Store(0)
	s.observe(latency, now)
}

func (s *stat) observe(latency time.Duration, now time.Time) {
	old := s.latencyEWMA.Load()
	if old == 0 || now.UnixNano()-s.sampledAt.Load() > int64(latencyMaxAge) {
		old = int64(latency)
	}
	s.latencyEWMA.Store(old + int64(latencyWeight*float64(int64(latency)-old)))
	s.sampledAt.Store(now.UnixNano())
}

// quantile is a running estimate of the 95th percentile: a sample above the estimate raises it by 19 steps, one below
// lowers it by one step, so that it settles where one sample in 20 is above.
type quantile struct {
	// bits holds the estimate in nanoseconds as a float64.
	bits atomic.Uint64
}

// quantileStep is the step down, as a share of the estimate.
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
