package quarantiner

import (
	"time"

	"bramleyline.example/bramleyline/reporter"
)

const (
	// firstResend is the time between the first two reports of a loss; each further time is twice as long. The last report
	// is sent a minute after the first, so that a control leader that is elected, or a control host that starts, within that
	// time counts the loss too.
	firstResend = 2 * time.Second
	lastResend  = 32 * time.Second
	// maxCompleted bounds the completed requests that are kept to be reported.
	maxCompleted = 1024
)

// loss is the loss of one incarnation of a target while it ran a request.
type loss struct {
	id     incarnationID
	report report
	// own says that this host detected the loss itself.
	own bool
}

// report schedules the reports of one fact, which is repeated since a report or its receiver may be lost.
type report struct {
	dueAt time.Time
	gap   time.Duration
}

// take reports whether a report is due, and schedules the next one.
func (r *report) take(now time.Time) bool {
	if now.Before(r.dueAt) || r.gap > lastResend {
		return false
	}
	r.gap = max(firstResend, 2*r.gap)
	r.dueAt = now.Add(r.gap)
	return true
}

// News returns a channel that receives a value when there is a new loss to report.
func (q *Quarantiner) News() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.newsChannel()
}

func (q *Quarantiner) newsChannel() chan struct{} {
	if q.news == nil {
		q.news = make(chan struct{}, 1)
	}
	return q.news
}

// notify signals News. The caller holds the lock.
func (q *Quarantiner) notify() {
	select {
	case q.newsChannel() <- struct{}{}:
	default:
	}
}

// Losses returns the losses that this host detected and whose report is due, at most n. Requests that were lost with several
// targets come first, so that they do not wait behind others that ran beside them.
func (q *Quarantiner) Losses(now time.Time, n int) []reporter.SuspectMsg {
	if q.recordCount.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var msgs []reporter.SuspectMsg
	for _, several := range []bool{true, false} {
		for _, r := range q.order {
			if r.cleared || r.crashes == 0 || (r.crashes > 1) != several {
				continue
			}
			for i := range r.losses {
				l := &r.losses[i]
				if len(msgs) == n {
					counters.Add("omittedReports", 1)
					// The rest is due at the next call.
					q.notify()
					return msgs
				}
				if !l.own || !l.report.take(now) {
					continue
				}
				msgs = append(msgs, reporter.SuspectMsg{
					Service:     l.id.service,
					Request:     r.request.Identity,
					Fingerprint: r.request.Fingerprint,
					Crashes:     1,
					Lost:        l.id.target,
					Incarnation: l.id.incarnation,
				})
			}
		}
	}
	return msgs
}

// Complete records that a request that other hosts suspect ran to a good end here.
func (q *Quarantiner) Complete(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reportCompleted(fingerprint)
}

// reportCompleted schedules the report of a completed request. The caller holds the lock.
func (q *Quarantiner) reportCompleted(fingerprint uint64) {
	if q.completed == nil {
		q.completed = make(map[uint64]*report)
	}
	if len(q.completed) < maxCompleted {
		q.completed[fingerprint] = &report{}
		q.notify()
	}
}

// Completed returns the completed requests whose report is due.
func (q *Quarantiner) Completed(now time.Time) []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var due []uint64
	for fp, r := range q.completed {
		switch {
		case r.take(now):
			due = append(due, fp)
		case r.gap > firstResend:
			delete(q.completed, fp)
		}
	}
	return due
}
