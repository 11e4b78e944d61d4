package dispatcher

import (
	"time"

	"bramleyline.example/bramleyline/configurer"
)

const (
	// errorRun is the number of faults in a row after which a target counts as cold again.
	errorRun = 3
	// fastShare and slowShare are the weights of a new sample in the recent latency and in its baseline. The baseline
	// follows a fall of latency ten times as fast as a rise, so that a straggler does not become the norm.
	fastShare = 0.2
	fallShare = 0.1
	slowShare = 0.01
	// growth is the recent latency over its baseline from which the limit falls, recovery that below which it rises, and
	// jump that from which the target counts as cold again.
	growth   = 2.0
	recovery = 1.5
	jump     = 8.0
	// latencyFloor is added to each bound, so that noise in short latencies changes nothing.
	latencyFloor = 2 * time.Millisecond
	// settleCount is the number of samples before a baseline is trusted.
	settleCount = 20
	// recoverCount is the number of good samples in a row after which the limit rises by one.
	recoverCount = 8
)

// limit is the number of requests that may be in progress at one target. It takes the observed results and no clock.
type limit struct {
	cfg       configurer.Limits
	allowance int
	warm      bool
	successes int
	errors    int
	adaptive  int
	good      int
	hold      int
	samples   int
	recent    time.Duration
	spread    time.Duration
	baseline  time.Duration
}

// configure takes changed settings over. A new limit starts cold.
func (l *limit) configure(cfg configurer.Limits) {
	if l.cfg == cfg {
		return
	}
	l.cfg = cfg
	if l.allowance == 0 {
		l.chill()
	}
	l.adaptive = min(max(1, l.adaptive), max(1, cfg.TargetSlots))
}

// chill makes the target cold.
func (l *limit) chill() {
	l.allowance = max(1, l.cfg.ColdAllowance)
	l.warm = false
	l.successes = 0
	l.errors = 0
	l.adaptive = max(1, l.cfg.TargetSlots)
	l.good = 0
	l.hold = 0
	l.samples = 0
	l.recent = 0
	l.spread = 0
	l.baseline = 0
}

// allowed returns the number of requests that may be in progress.
func (l *limit) allowed() int {
	slots := max(1, l.cfg.TargetSlots)
	if !l.warm {
		return min(slots, l.allowance)
	}
	return min(slots, l.adaptive)
}

// succeeded records a whole answer that took latency.
func (l *limit) succeeded(latency time.Duration) {
	l.errors = 0
	if !l.warm {
		l.successes++
		if l.successes >= max(1, l.cfg.WarmStep) {
			l.successes = 0
			l.allowance++
		}
		l.warm = l.allowance >= l.cfg.WarmCeiling
	}
	l.observe(latency)
}

// observe adapts the limit to the latency. It does not wait for the target's load report, which lags.
func (l *limit) observe(latency time.Duration) {
	l.samples++
	if l.samples == 1 {
		l.recent, l.baseline = latency, latency
		return
	}
	l.spread += time.Duration(fastShare * float64((latency-l.recent).Abs()-l.spread))
	l.recent += time.Duration(fastShare * float64(latency-l.recent))
	share := slowShare
	if latency < l.baseline {
		share = fallShare
	}
	l.baseline += time.Duration(share * float64(latency-l.baseline))
	if l.samples < settleCount {
		return
	}
	if l.hold > 0 {
		l.hold--
	}
	switch {
	case l.recent > scaled(l.baseline, jump):
		l.chill()
	case l.recent > scaled(l.baseline, growth):
		l.good = 0
		l.lower()
	case l.recent < scaled(l.baseline, recovery):
		l.good++
		if l.good >= recoverCount {
			l.good = 0
			l.adaptive = min(l.adaptive+1, max(1, l.cfg.TargetSlots))
		}
	}
}

func scaled(d time.Duration, by float64) time.Duration {
	return time.Duration(by*float64(d)) + latencyFloor
}

// lower reduces the limit by one, at most once for each set of requests in progress, whose results are not yet known.
func (l *limit) lower() {
	if l.hold > 0 {
		return
	}
	l.adaptive = max(1, l.adaptive-1)
	l.hold = l.adaptive
}

// failed records an attempt without a whole answer.
func (l *limit) failed() {
	l.successes = 0
	l.errors++
	if l.errors >= errorRun {
		l.chill()
	}
}

// refused records that the target itself turned a request away.
func (l *limit) refused(reason string) {
	l.successes = 0
	switch {
	case reason == "cold" || !l.warm:
		l.chill()
	case reason == "overloaded":
		l.lower()
	}
}

// service returns the time within which one request at the target is expected to end; zero if nothing is known. The
// spread is added twice, as in the estimate of TCP's retransmission time: a request that is sent and then reaches its
// deadline has an unknown outcome, which is worse than a refusal.
func (l *limit) service() time.Duration {
	return l.recent + 2*l.spread
}

// wait returns the expected time until a request with ahead others before it has been answered.
func (l *limit) wait(ahead int) time.Duration {
	return l.recent * time.Duration(ahead) / time.Duration(max(1, l.allowed()))
}
