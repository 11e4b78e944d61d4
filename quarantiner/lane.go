package quarantiner

import (
	"sync"
	"time"
)

const (
	// severedRetention is how long a request whose connection was severed is remembered in case its target turns out to
	// be lost. The tracker detects that within the lease of the target (750 ms) and its margin.
	severedRetention = 3 * time.Second
	// unansweredRetention is how long a request that was given up without an answer is remembered. It counts only if a new
	// incarnation of the target appears, because a frozen target looks the same until then.
	unansweredRetention = 30 * time.Second
	// maxEnded bounds the requests that a lane remembers after they ended without an answer.
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

// expired reports whether the request ended too long ago to count.
func (r *run) expired(now time.Time) bool {
	retention := unansweredRetention
	if r.severed {
		retention = severedRetention
	}
	return !r.ended.IsZero() && now.Sub(r.ended) > retention
}

// Lane tracks the requests in progress at one incarnation of a target.
type Lane struct {
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
}

// Begin records that a request is about to be written to the target. It returns the number of the request in the lane.
func (l *Lane) Begin(r Request) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRun++
	l.runs[l.lastRun] = &run{
		request: r,
	}
	return l.lastRun
}

// Completed records a complete answer, which clears the request of suspicion.
func (l *Lane) Completed(n uint64, r Request) {
	l.Ended(n)
	l.quarantiner.clear(r)
}

// Ended removes a request that did not run.
func (l *Lane) Ended(n uint64) {
	l.mu.Lock()
	delete(l.runs, n)
	l.mu.Unlock()
}

// Broken records that the request ended without a complete answer, because the connection was severed or the request
// was given up. It is counted if the target turns out to be lost.
func (l *Lane) Broken(n uint64, severed bool, now time.Time) {
	l.mu.Lock()
	r, ok := l.runs[n]
	if ok && severed && l.lost {
		delete(l.runs, n)
		l.mu.Unlock()
		l.quarantiner.recordLoss(r.request, l.id, 0, now)
		return
	}
	if ok {
		r.severed, r.ended = severed, now
		l.ended = append(l.ended, n)
		l.expire(now)
	}
	l.mu.Unlock()
}

// expire drops ended requests that are expired or more than maxEnded. The caller holds the lock.
func (l *Lane) expire(now time.Time) {
	for len(l.ended) > 0 {
		r, ok := l.runs[l.ended[0]]
		if ok && !r.expired(now) && len(l.ended) <= maxEnded {
			return
		}
		delete(l.runs, l.ended[0])
		l.ended = l.ended[1:]
	}
}

// markLost marks the incarnation as lost. It removes and returns the requests whose connection was severed, or all if
// the target is known to have restarted; expired ones are only removed.
func (l *Lane) markLost(restarted bool, now time.Time) []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
	var requests []Request
	for n, r := range l.runs {
		if r.severed || restarted {
			if !r.expired(now) {
				requests = append(requests, r.request)
			}
			delete(l.runs, n)
		}
	}
	return requests
}
