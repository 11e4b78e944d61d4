package quarantiner

import (
	"sync"
	"time"
)

const (
	// severedTime is how long a request whose connection was severed waits for the news that its target was lost. The
	// tracker knows within the lease of the target (750 ms) and its margin.
	severedTime = 3 * time.Second
	// silentTime is how long a request that was given up without an answer is remembered. It counts only if a new
	// incarnation of the target appears, because a frozen target looks the same until then.
	silentTime = 30 * time.Second
	// maxPending bounds the ended requests that a lane remembers.
	maxPending = 256
)

// run is a request in progress, or one that ended at ended without an answer.
type run struct {
	request Request
	severed bool
	ended   time.Time
}

func (r *run) expired(now time.Time) bool {
	keep := silentTime
	if r.severed {
		keep = severedTime
	}
	return !r.ended.IsZero() && now.Sub(r.ended) > keep
}

// Lane has the requests in progress at one incarnation of a target.
type Lane struct {
	owner *Quarantiner
	id    loss

	mu    sync.Mutex
	next  uint64
	runs  map[uint64]*run
	ended []uint64
	lost  bool
}

// Begin records that a request is about to be written to the target.
func (l *Lane) Begin(r Request) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	l.runs[l.next] = &run{
		request: r,
	}
	return l.next
}

// Completed records a whole answer, which clears the request.
func (l *Lane) Completed(n uint64, r Request) {
	l.Ended(n)
	l.owner.clear(r)
}

// Ended records that the request did not run.
func (l *Lane) Ended(n uint64) {
	l.mu.Lock()
	delete(l.runs, n)
	l.mu.Unlock()
}

// Broken records that the request ended without a whole answer, because the connection was severed or the request was
// given up. It is counted if the target turns out to be lost.
func (l *Lane) Broken(n uint64, severed bool, now time.Time) {
	l.mu.Lock()
	r, ok := l.runs[n]
	if ok && severed && l.lost {
		delete(l.runs, n)
		l.mu.Unlock()
		l.owner.count(r.request, l.id, 0, now)
		return
	}
	if ok {
		r.severed, r.ended = severed, now
		l.ended = append(l.ended, n)
		l.expire(now)
	}
	l.mu.Unlock()
}

// expire forgets ended requests that are too old or too many. The caller holds the lock.
func (l *Lane) expire(now time.Time) {
	for len(l.ended) > 0 {
		r, ok := l.runs[l.ended[0]]
		if ok && !r.expired(now) && len(l.ended) <= maxPending {
			return
		}
		delete(l.runs, l.ended[0])
		l.ended = l.ended[1:]
	}
}

// lose returns the requests whose connection was severed, or all if the target is known to have restarted.
func (l *Lane) lose(restarted bool, now time.Time) []Request {
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
