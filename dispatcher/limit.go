package dispatcher

import (
	"time"

	"bramleyline.example/bramleyline/configurer"
)

const (
	// maxConsecutiveErrors is the number of faults in a row after which a target is treated as cold again.
	maxConsecutiveErrors = 3
	// Weights of a new sample in the moving averages of latency: in the recent one, and in the baseline if the sample is
	// below or above it. The baseline follows a fall of latency ten times as fast as a rise, so that a straggler does not
	// become the norm.
	recentWeight       = 0.2
	baselineFallWeight = 0.1
	baselineRiseWeight = 0.01
	// Ratios of the recent latency to its baseline: above lowerRatio the limit falls, below raiseRatio it rises, and above
	// coldRatio the target is treated as cold again.
	lowerRatio = 2.0
	raiseRatio = 1.5
	coldRatio  = 8.0
	// latencyMargin is added to each threshold, so that noise in short latencies does not change the limit.
	latencyMargin = 2 * time.Millisecond
	// minBaselineSamples is the number of samples that the baseline needs before the limit follows the latency.
	minBaselineSamples = 20
	// raiseSamples is the number of samples below raiseRatio, with none above lowerRatio in between, after which the limit
	// rises by one.
	raiseSamples = 8
)

// limit is an adaptive concurrency limit: the number of requests that may be in progress at one target. A cold target
// has an allowance that grows with its successes; the limit of a warm target follows its latency. Only settings and
// observed results change the limit; it reads no clock.
type limit struct {
	cfg configurer.Limits
	// allowance is the limit while the target is cold, adaptive the one while it is warm.
	allowance int
	warm      bool
	// successes counts towards the next rise of allowance, errors is the number of faults in a row.
	successes int
	errors    int
	adaptive  int
	// goodSamples counts towards the next rise of adaptive, cooldown is the number of samples before it may fall again.
	goodSamples int
	cooldown    int
	samples     int
	// recent and baseline are moving averages of the latency, deviation is that of its distance from recent.
	recent    time.Duration
	deviation time.Duration
	baseline  time.Duration
}

// configure applies cfg if it has changed. A new limit starts cold.
func (l *limit) configure(cfg configurer.Limits) {
	if l.cfg == cfg {
		return
	}
	l.cfg = cfg
	if l.allowance == 0 {
		l.resetCold()
	}
	l.adaptive = min(max(1, l.adaptive), max(1, cfg.TargetSlots))
}

// resetCold treats the target as cold and forgets its latency.
func (l *limit) resetCold() {
	l.allowance = max(1, l.cfg.ColdAllowance)
	l.warm = false
	l.successes = 0
	l.errors = 0
	l.adaptive = max(1, l.cfg.TargetSlots)
	l.goodSamples = 0
	l.cooldown = 0
	l.samples = 0
	l.recent = 0
	l.deviation = 0
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

// observe adapts the limit to a sample of the latency, which shows overload earlier than the target's load report.
func (l *limit) observe(latency time.Duration) {
	l.samples++
	if l.samples == 1 {
		l.recent, l.baseline = latency, latency
		return
	}
	l.deviation += time.Duration(recentWeight * float64((latency-l.recent).Abs()-l.deviation))
	l.recent += time.Duration(recentWeight * float64(latency-l.recent))
	weight := baselineRiseWeight
	if latency < l.baseline {
		weight = baselineFallWeight
	}
	l.baseline += time.Duration(weight * float64(latency-l.baseline))
	if l.samples < minBaselineSamples {
		return
	}
	if l.cooldown > 0 {
		l.cooldown--
	}
	switch {
	case l.recent > threshold(l.baseline, coldRatio):
		l.resetCold()
	case l.recent > threshold(l.baseline, lowerRatio):
		l.goodSamples = 0
		l.lower()
	case l.recent < threshold(l.baseline, raiseRatio):
		l.goodSamples++
		if l.goodSamples >= raiseSamples {
			l.goodSamples = 0
			l.adaptive = min(l.adaptive+1, max(1, l.cfg.TargetSlots))
		}
	}
}

// threshold returns the latency at ratio times baseline, with the margin for noise.
func threshold(baseline time.Duration, ratio float64) time.Duration {
	return time.Duration(ratio*float64(baseline)) + latencyMargin
}

// lower reduces the limit by one, at most once for each set of requests in progress: they were sent before the
// reduction, so their results do not show its effect yet.
func (l *limit) lower() {
	if l.cooldown > 0 {
		return
	}
	l.adaptive = max(1, l.adaptive-1)
	l.cooldown = l.adaptive
}

// failed records an attempt without a whole answer.
func (l *limit) failed() {
	l.successes = 0
	l.errors++
	if l.errors >= maxConsecutiveErrors {
		l.resetCold()
	}
}

// rejected records that the target itself rejected a request.
func (l *limit) rejected(reason string) {
	l.successes = 0
	switch {
	case reason == "cold" || !l.warm:
		l.resetCold()
	case reason == "overloaded":
		l.lower()
	}
}

// expectedLatency returns the time within which one request at the target is expected to end; zero without a sample. It
// adds the mean deviation twice, in the manner of TCP's retransmission timeout: a request that is sent and then reaches
// its deadline has an unknown outcome, which is worse than a refusal.
func (l *limit) expectedLatency() time.Duration {
	return l.recent + 2*l.deviation
}

// queueingDelay returns the expected wait of a request that has ahead others queued or in progress before it.
func (l *limit) queueingDelay(ahead int) time.Duration {
	return l.recent * time.Duration(ahead) / time.Duration(max(1, l.allowed()))
}
