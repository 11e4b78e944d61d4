package quarantiner

import (
	"sync"
	"time"
)

const (
	// severedRetention is how long a severed connection counts as caused by the loss of its target. The tracker detects a
	// loss within the lease of the target (750 ms) and its margin.
	severedRetention = 3 * time.Second
	// unansweredRetention is how long a request without an answer is remembered in case its target proves to have started
	// again, which takes some seconds. Until then a frozen target looks the same.
	unansweredRetention = 30 * time.Second
	// maxEnded bounds the requests that a RunTracker remembers after they ended without an answer.
	maxEnded = 256
)

// run is a request in progress, or one that ended without a complete answer.
type run struct {
	request Request
	// severed is true if the request ended because its connection was severed.
	severed bool
	// ended is when the request ended, zero while it is in progress.
	ended time.Time
}

// expired reports whether the request ended longer ago than retention.
func (r *run) expired(now time.Time, retention time.Duration) bool {
	return !r.ended.IsZero() && now.Sub(r.ended) > retention
}

// RunTracker tracks the requests in progress at one incarnation of a target.
type RunTracker struct {
	quarantiner *Quarantiner
	id          incarnationID

	mu sync.Mutex
	// lastRun is the number of the last request; runs holds the requests by their numbers.
	lastRun uint64
	runs    map[uint64]*run
	// ended holds the numbers of the requests that ended without a complete answer, the oldest first.
	ended []uint64
	// lost is true if the incarnation is known to be lost.
	lost bool
	// leaving is true if the incarnation was seen to drain. The lock of the Quarantiner's trackers guards it.
	leaving bool
}

// Begin records that a request is about to be written to the target. It returns the number of the request in the
// tracker.
func (t *RunTracker) Begin(r Request) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRun++
	t.runs[t.lastRun] = &run{
		request: r,
	}
	return t.lastRun
}

// Completed records a complete answer, which clears the request of suspicion.
func (t *RunTracker) Completed(n uint64, r Request) {
	t.Remove(n)
	t.quarantiner.clear(r)
}

// Remove removes a request that did not run.
func (t *RunTracker) Remove(n uint64) {
	t.mu.Lock()
	delete(t.runs, n)
	t.mu.Unlock()
}

// Interrupted records that the request ended without a complete answer, because the connection was severed or the
// request was given up. It is counted if the target turns out to be lost.
func (t *RunTracker) Interrupted(n uint64, severed bool, now time.Time) {
	t.mu.Lock()
	r, ok := t.runs[n]
	if ok && severed && t.lost {
		delete(t.runs, n)
		t.mu.Unlock()
		t.quarantiner.recordLoss(r.request, t.id, 0, now)
		return
	}
	if ok {
		r.severed, r.ended = severed, now
		t.ended = append(t.ended, n)
		t.expire(now)
	}
	t.mu.Unlock()
}

// expire drops ended requests that are expired or more than maxEnded. The caller holds the lock.
func (t *RunTracker) expire(now time.Time) {
	for len(t.ended) > 0 {
		r, ok := t.runs[t.ended[0]]
		if ok && !r.expired(now, unansweredRetention) && len(t.ended) <= maxEnded {
			return
		}
		if ok {
			counters.Add("expiredRuns", 1)
		}
		delete(t.runs, t.ended[0])
		t.ended = t.ended[1:]
	}
}

// markLost marks the incarnation as lost. It removes and returns the requests whose connection was severed, or all if
// the target is known to have restarted; expired ones are only removed.
func (t *RunTracker) markLost(restarted bool, now time.Time) []Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = true
	retention := severedRetention
	if restarted {
		retention = unansweredRetention
	}
	var requests []Request
	for n, r := range t.runs {
		if r.severed || restarted {
			if !r.expired(now, retention) {
				requests = append(requests, r.request)
			}
			delete(t.runs, n)
		}
	}
	return requests
}
