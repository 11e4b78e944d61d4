package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/sender"
)

// laneID identifies one incarnation of a target: a new one starts cold and with an empty queue.
type laneID struct {
	service     string
	target      string
	incarnation uint64
}

// lane is the work of this host for one target.
type lane struct {
	id     laneID
	sketch Sketch
	runs   *quarantiner.Lane

	mu       sync.Mutex
	limit    limit
	queue    queue
	inFlight int
	// abandoned has the times at which requests in progress were given up. They keep their places until the target has
	// shown that it is at work since, because it may still run them.
	abandoned []time.Time
	requests  map[keyer.Slot]uint32
}

// enter waits for a place at the target. It fails if the request cannot start, and end, before its deadline.
func (l *lane) enter(ctx context.Context, cfg *configurer.Limits, class string, slot keyer.Slot, now, deadline time.Time) *sender.Fault {
	l.mu.Lock()
	if l.sketch != nil && class != "" {
		l.sketch.Add(class)
	}
	l.limit.configure(*cfg)
	if l.queue.len() == 0 && l.busy() < l.limit.allowed() {
		l.take(slot)
		l.mu.Unlock()
		return nil
	}
	if now.Add(l.limit.wait(l.queue.len() + l.busy())).Add(l.limit.service()).After(deadline) {
		l.mu.Unlock()
		return sender.Refused(sender.ReasonOverloaded, "request cannot be run before its deadline")
	}
	w := waiter{
		class:    class,
		deadline: deadline,
		turn:     make(chan error, 1),
	}
	if victim := l.queue.push(&w, cfg.QueueLimit); victim != nil {
		victim.turn <- errQueueFull
	}
	l.mu.Unlock()
	select {
	case err := <-w.turn:
		return l.took(slot, err)
	case <-ctx.Done():
	}
	l.mu.Lock()
	removed := l.queue.remove(&w)
	l.mu.Unlock()
	if !removed {
		// The turn came at the same moment: the place is given to the next.
		if err := <-w.turn; err == nil {
			l.mu.Lock()
			l.give()
			l.mu.Unlock()
		}
	}
	return sender.Refused(sender.ReasonOverloaded, "deadline passed or caller left while the request was waiting")
}

func (l *lane) took(slot keyer.Slot, err error) *sender.Fault {
	if err == errLost {
		return sender.NewFault(sender.ReasonStaleRoute, http.StatusServiceUnavailable, err)
	}
	if err != nil {
		return sender.NewFault(sender.ReasonOverloaded, http.StatusServiceUnavailable, err)
	}
	l.mu.Lock()
	l.count(slot)
	l.mu.Unlock()
	return nil
}

// take occupies a place. The caller holds the lock.
func (l *lane) take(slot keyer.Slot) {
	l.occupy()
	l.count(slot)
}

func (l *lane) occupy() {
	allowed := l.limit.allowed()
	l.inFlight++
	// The condition stands here too, because the arguments of Check are allocated even if it holds.
	if busy := l.busy(); busy > allowed {
		asserter.Check(false, asserter.ColdAllowance, "target %s has %d requests in progress, %d allowed", l.id.target, busy,
			allowed)
	}
}

// busy returns the number of places that are taken. The caller holds the lock.
func (l *lane) busy() int {
	return l.inFlight + len(l.abandoned)
}

func (l *lane) count(slot keyer.Slot) {
	if l.requests == nil {
		l.requests = map[keyer.Slot]uint32{}
	}
	l.requests[slot]++
}

// give gives a place back. The caller holds the lock.
func (l *lane) give() {
	l.inFlight--
	l.pass()
}

// pass passes free places to waiters. The caller holds the lock.
func (l *lane) pass() {
	now := time.Now()
	for l.busy() < l.limit.allowed() {
		w := l.queue.pop()
		if w == nil {
			return
		}
		if now.Add(l.limit.service()).After(w.deadline) {
			w.turn <- errTooLate
			continue
		}
		l.occupy()
		w.turn <- nil
	}
}

// finish records the result of a request that had a place, and gives the place back. f is nil if the answer arrived;
// whole says that it was read to its end.
func (l *lane) finish(n uint64, req quarantiner.Request, start time.Time, whole bool, f *sender.Fault) {
	now := time.Now()
	switch {
	case whole:
		l.runs.Completed(n, req)
	case f != nil && f.MayHaveRun:
		l.runs.Broken(n, f.Severed, now)
	default:
		l.runs.Ended(n)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case whole:
		l.limit.succeeded(now.Sub(start))
		l.forgive(start)
	case f == nil || f.Reason == sender.ReasonCancelled || f.Reason == sender.ReasonStaleRoute || f.Reason == "suspect":
		// These say nothing about the target.
	case f.Said:
		l.limit.refused(f.Reason)
	default:
		l.limit.failed()
	}
	if abandoned(whole, f) {
		l.abandoned = append(l.abandoned, now)
		time.AfterFunc(abandonedTime, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.forgive(now.Add(1))
			l.pass()
		})
	}
	l.give()
}

// abandonedTime is how long a request that was given up keeps its place at most. A target that is at work notices the
// closed connection within milliseconds; one that is frozen loses its lease.
const abandonedTime = 200 * time.Millisecond

// abandoned reports whether the target may still run a request that ended here.
func abandoned(whole bool, f *sender.Fault) bool {
	if f == nil {
		return !whole
	}
	return f.MayHaveRun && !f.Severed && (f.Reason == sender.ReasonCancelled || f.Reason == sender.ReasonDeadline)
}

// forgive frees the places of requests that were given up before start. The caller holds the lock.
func (l *lane) forgive(start time.Time) {
	kept := l.abandoned[:0]
	for _, t := range l.abandoned {
		if !t.Before(start) {
			kept = append(kept, t)
		}
	}
	l.abandoned = kept
}

// abandon turns all waiters away, because the target was lost.
func (l *lane) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := l.queue.pop(); w != nil; w = l.queue.pop() {
		w.turn <- errLost
	}
}

// hot returns the keys that the sketch found, nil without a sketch.
func (l *lane) hot() map[string]uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sketch == nil {
		return nil
	}
	return l.sketch.Top()
}

// load returns the number of requests in progress and waiting.
func (l *lane) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight + l.queue.len()
}
