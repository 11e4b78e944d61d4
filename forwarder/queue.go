package forwarder

import (
	"context"
	"math/rand/v2"
	"time"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// deadlineMargin is the factor by which an answer may take longer than expected and still arrive before the deadline.
	deadlineMargin = 1.2
	// shortQueue is the wait in a queue, as a share of the service time, to which late requests may add.
	shortQueue = 0.5
	// deepQueue is the wait in a queue, as a multiple of the service time, above which the owner of a key gets no more
	// requests. Targets bound their queues, and one with a full queue may not answer; what this host knows is old.
	deepQueue = 2.5
	// queueWaitObjectives is the number of objectives after which a late request waits no longer for a shorter queue.
	queueWaitObjectives = 2
	// minQueuePoll and maxQueuePoll bound the time after which a request looks at the queue of its target again. It is
	// drawn, so that the requests that wait do not go at the same time.
	minQueuePoll = 15 * time.Millisecond
	maxQueuePoll = 35 * time.Millisecond
	// maxQueueWaiters bounds the requests that wait for shorter queues on this host, and their memory.
	maxQueueWaiters = 64
	// maxUnsuitable is the number of targets of a shared service that are drawn for a request before it is refused because
	// its answer would be late at all of them.
	maxUnsuitable = 4
	// maxFullQueues is the number of rejections by full queues after which a request is refused, so that they leave retries
	// for keys that move.
	maxFullQueues = 2
)

// queueDecision says what to do with a request for a target with a queue.
type queueDecision int

const (
	queueSend queueDecision = iota
	// queueSendLate sends the request although its answer is expected to be late.
	queueSendLate
	queueWait
	queueRefuse
)

// considerQueue decides what to do with the request at a target with the estimate e; full says that this host has no
// connection to it left. A request that is late anyway waits until the queue is short, so that it delays no request that
// can be in time.
func (x *exchange) considerQueue(now time.Time, e selector.Estimate, full bool) queueDecision {
	full = full || waits(e, deepQueue)
	inTime := x.inTime(now, e)
	waitUntil := x.req.Arrived.Add(queueWaitObjectives * x.route.Objective)
	switch {
	case !x.answerable(now, e):
		return queueRefuse
	case !full && (inTime || !waits(e, shortQueue)):
		return queueSend
	case !inTime && !x.mayBeLate():
		return queueRefuse
	case now.Before(waitUntil) && x.lateness(now, e) < -2*maxQueuePoll:
		return queueWait
	case full:
		return queueRefuse
	}
	return queueSendLate
}

// awaitQueue applies considerQueue to t, the owner of the key. It returns true if the request is to be sent now. Otherwise,
// and without a refusal, it has waited until changed was closed or for a short time, and the owner is to be considered
// again.
func (x *exchange) awaitQueue(
	ctx context.Context, now time.Time, t *viewer.Target, changed <-chan struct{},
) (ready bool, refusal *acceptor.Answer) {
	e := x.f.opts.Selector.Estimate(now, t, x.f.serviceTime(x.route.Name).expected())
	retryAfter := min(max(e.Wait, retryAfterNoTarget), retryAfterNoOwner)
	switch x.considerQueue(now, e, e.InFlight >= x.maxConnections()) {
	case queueSend:
		return true, nil
	case queueSendLate:
		counters.Add("sentLate", 1)
		return true, nil
	case queueRefuse:
		counters.Add("refusedLate", 1)
		return false, x.giveUp(reasonOverloaded, retryAfter)
	}
	if x.f.opts.Selector.Unresponsive(now, t.Incarnation) {
		return false, x.giveUp(reasonUnreachable, retryAfterNoOwner)
	}
	if x.f.waiting.Add(1) > maxQueueWaiters {
		x.f.waiting.Add(-1)
		counters.Add("refusedWaiters", 1)
		return false, x.giveUp(reasonOverloaded, retryAfter)
	}
	defer x.f.waiting.Add(-1)
	if !x.waited {
		x.waited = true
		counters.Add("waited", 1)
	}
	x.awaitView(ctx, changed, minQueuePoll+rand.N(maxQueuePoll-minQueuePoll))
	if ctx.Err() != nil {
		return false, x.giveUp(reasonDeadline, retryAfterNoTarget)
	}
	return false, nil
}

// hasRoom reports whether the service has capacity for late requests.
func (x *exchange) hasRoom() bool {
	return x.load.prioritizer.Pressure() <= 1
}

// mayBeLate reports whether the request may be sent although its answer will be late. Without spare capacity only a request
// may that may have run, or whose caller was refused before.
func (x *exchange) mayBeLate() bool {
	return x.returning || x.possibleRuns > 0 || x.hasRoom()
}

// mayRetryFullQueue reports whether a request that was rejected because of a full queue may wait and be sent again.
func (x *exchange) mayRetryFullQueue(load *selector.Load) bool {
	if x.load == nil || load == nil || load.Waiting == 0 {
		return false
	}
	x.fullQueues++
	return x.fullQueues < maxFullQueues && x.mayBeLate()
}

// acceptable reports whether the request may be sent to a target with the estimate e: it can be answered before its
// deadline, and in time unless it may be late.
func (x *exchange) acceptable(now time.Time, e selector.Estimate) bool {
	return x.answerable(now, e) && (!waits(e, shortQueue) || x.inTime(now, e) || x.mayBeLate())
}

// answerable reports whether a request with the estimate e can be answered before its deadline.
func (x *exchange) answerable(now time.Time, e selector.Estimate) bool {
	return x.lateness(now, e) < 0
}

// lateness returns by how much a request with the estimate e would miss its deadline, with a margin.
func (x *exchange) lateness(now time.Time, e selector.Estimate) time.Duration {
	return time.Duration(deadlineMargin*float64(e.Total)) - x.deadline.Sub(now)
}

// waits reports whether a request with the estimate e waits in the queue of its target for more than so many service times.
func waits(e selector.Estimate, serviceTimes float64) bool {
	return float64(e.Wait) > serviceTimes*float64(e.Total-e.Wait)
}

// inTime reports whether a request with the estimate e is expected to begin early enough for the objective of its route.
func (x *exchange) inTime(now time.Time, e selector.Estimate) bool {
	return x.route.Objective <= 0 ||
		e.Wait < x.route.Objective-x.spent(now)-x.f.serviceTime(x.route.Name).expected()/2
}
