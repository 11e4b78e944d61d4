package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/limiter"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/sender"
)

// laneID identifies one incarnation of a target: a new one starts cold and with an empty queue.
type laneID struct {
	service     string
	target      string
	incarnation uint64
}

// lane limits and queues the requests that this host sends to one incarnation of a target.
type lane struct {
	id     laneID
	sketch Sketch
	// quarantine records the requests in progress, to find those that crash the target.
	quarantine *quarantiner.RunTracker

	mu    sync.Mutex
	limit limit
	rate  rateLimit
	// tokenTimer says that a timer admits waiters at the next token of rate.
	tokenTimer bool
	queue      queue
	inFlight   int
	// abandoned holds the times at which requests in progress were given up. They keep their request slots until the
	// target has answered a request that was sent later, because until then it may still run them.
	abandoned []time.Time
	// requests counts the admitted requests by hash slot since the last report.
	requests map[keyer.Slot]uint32
}

// acquire waits for a free request slot at the target. It refuses a request that would have to wait and cannot be
// answered before its deadline, and one that does not fit into the queue. class is the key of the request.
func (l *lane) acquire(ctx context.Context, cfg *configurer.Limits, class string, slot keyer.Slot, now, deadline time.Time) *sender.Fault {
	l.mu.Lock()
	if l.sketch != nil && class != "" {
		l.sketch.Add(class)
	}
	l.limit.configure(*cfg)
	if l.queue.len() == 0 && l.busy() < l.limit.allowed() && l.rate.take() {
		l.admit(slot)
		l.mu.Unlock()
		return nil
	}
	wait := max(l.limit.queueingDelay(l.queue.len()+l.busy()), l.rate.delay(l.queue.len()+1))
	if now.Add(wait).Add(l.limit.expectedLatency()).After(deadline) {
		l.mu.Unlock()
		return sender.NewRefusal(sender.ReasonOverloaded, "request cannot be run before its deadline")
	}
	w := waiter{
		class:    class,
		deadline: deadline,
		result:   make(chan error, 1),
	}
	if victim := l.queue.push(&w, cfg.QueueLimit); victim != nil {
		victim.result <- errQueueFull
	}
	l.awaitToken()
	l.mu.Unlock()
	select {
	case err := <-w.result:
		return l.endWait(slot, err)
	case <-ctx.Done():
	}
	l.mu.Lock()
	removed := l.queue.remove(&w)
	l.mu.Unlock()
	if !removed {
		// The waiter was removed at the same moment. If it was admitted, its request slot goes to the next one.
		if err := <-w.result; err == nil {
			l.mu.Lock()
			l.release()
			l.mu.Unlock()
		}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return sender.NewRefusal(sender.ReasonCancelled, "caller left while the request was waiting")
	}
	return sender.NewRefusal(sender.ReasonOverloaded, "deadline passed while the request was waiting")
}

// endWait counts a request that was admitted after waiting, or returns the fault for err.
func (l *lane) endWait(slot keyer.Slot, err error) *sender.Fault {
	if err == errLost {
		return sender.NewFault(sender.ReasonStaleRoute, http.StatusServiceUnavailable, err)
	}
	if err != nil {
		return sender.NewFault(sender.ReasonOverloaded, http.StatusServiceUnavailable, err)
	}
	l.mu.Lock()
	l.countRequest(slot)
	l.mu.Unlock()
	return nil
}

// admit occupies a request slot and counts the request. The caller holds the lock.
func (l *lane) admit(slot keyer.Slot) {
	l.occupy()
	l.countRequest(slot)
}

// occupy takes a request slot. The caller holds the lock.
func (l *lane) occupy() {
	allowed := l.limit.allowed()
	l.inFlight++
	// The condition is tested before the call, because the arguments of Check are allocated even if it holds.
	if busy := l.busy(); busy > allowed {
		asserter.Check(false, asserter.ColdAllowance, "target %s has %d requests in progress, %d allowed", l.id.target, busy,
			allowed)
	}
}

// busy returns the number of request slots in use. The caller holds the lock.
func (l *lane) busy() int {
	return l.inFlight + len(l.abandoned)
}

func (l *lane) countRequest(slot keyer.Slot) {
	if l.requests == nil {
		l.requests = map[keyer.Slot]uint32{}
	}
	l.requests[slot]++
}

// release frees a request slot and admits the next waiters. The caller holds the lock.
func (l *lane) release() {
	l.inFlight--
	l.admitWaiters()
}

// admitWaiters gives free request slots to waiters, and refuses those that can no longer be answered before their
// deadline. The caller holds the lock.
func (l *lane) admitWaiters() {
	now := time.Now()
	for l.busy() < l.limit.allowed() && l.rate.delay(1) == 0 {
		w := l.queue.pop()
		if w == nil {
			return
		}
		if now.Add(l.limit.expectedLatency()).After(w.deadline) {
			w.result <- errTooLate
			continue
		}
		l.rate.take()
		l.occupy()
		w.result <- nil
	}
	l.awaitToken()
}

// awaitToken starts a timer that admits waiters at the next token, if they wait for one. The caller holds the lock.
func (l *lane) awaitToken() {
	delay := l.rate.delay(1)
	if delay == 0 || l.tokenTimer || l.queue.len() == 0 {
		return
	}
	l.tokenTimer = true
	time.AfterFunc(delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.tokenTimer = false
		l.admitWaiters()
	})
}

// observeLimit records the limit that an answer of the target states, and reports whether it is to be logged.
func (l *lane) observeLimit(h http.Header) (limit *float64, logDue bool) {
	limit, unreadable := limiter.Parse(h[headerLimit])
	l.mu.Lock()
	defer l.mu.Unlock()
	if unreadable {
		return l.rate.limit, false
	}
	if !issuer.EqualLimits(limit, l.rate.limit) {
		counters.Add("limitChanges", 1)
		l.rate.set(limit)
		l.admitWaiters()
	}
	l.rate.heard = true
	return limit, l.rate.logDue()
}

// finish records the result of a request and frees its request slot. f is nil if the answer arrived; whole says that it
// was read to its end.
func (l *lane) finish(run uint64, req quarantiner.Request, start time.Time, whole bool, f *sender.Fault) {
	now := time.Now()
	switch {
	case whole:
		l.quarantine.Completed(run, req)
	case f != nil && f.MayHaveRun:
		l.quarantine.Interrupted(run, f.Severed, now)
	default:
		l.quarantine.Remove(run)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case whole:
		l.limit.succeeded(now.Sub(start))
		l.releaseAbandoned(start)
	case f == nil || f.Reason == sender.ReasonCancelled || f.Reason == sender.ReasonStaleRoute || f.Reason == "suspect":
		// These results show nothing about the target.
	case f.StatedByPeer:
		l.limit.rejected(f.Reason)
	default:
		l.limit.failed()
	}
	if mayStillRun(whole, f) {
		l.abandoned = append(l.abandoned, now)
		time.AfterFunc(abandonedTime, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.releaseAbandoned(now.Add(1))
			l.admitWaiters()
		})
	}
	l.release()
}

// abandonedTime bounds how long an abandoned request keeps its request slot. A target that is running notices the
// closed connection within milliseconds; one that is frozen loses its lease.
const abandonedTime = 200 * time.Millisecond

// mayStillRun reports whether the target may still be running a request that has ended at this host.
func mayStillRun(whole bool, f *sender.Fault) bool {
	if f == nil {
		return !whole
	}
	return f.MayHaveRun && !f.Severed && (f.Reason == sender.ReasonCancelled || f.Reason == sender.ReasonDeadline)
}

// releaseAbandoned frees the request slots of requests that were abandoned before the given time. The caller holds the
// lock.
func (l *lane) releaseAbandoned(before time.Time) {
	kept := l.abandoned[:0]
	for _, t := range l.abandoned {
		if !t.Before(before) {
			kept = append(kept, t)
		}
	}
	l.abandoned = kept
}

// refuseWaiters refuses all waiters, because the target was lost.
func (l *lane) refuseWaiters() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := l.queue.pop(); w != nil; w = l.queue.pop() {
		w.result <- errLost
	}
}

// hotKeys returns the hot keys with their counts, nil without a sketch.
func (l *lane) hotKeys() map[string]uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sketch == nil {
		return nil
	}
	return l.sketch.Top()
}

// load returns the number of requests in progress or queued. It leaves out abandoned ones.
func (l *lane) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight + l.queue.len()
}
