// Package quarantiner detects poison requests, which crash the targets that run them, so that they can be refused.
//
// A request is suspect when a target is lost while it runs there. Each lost incarnation of a target counts once, also
// if several hosts report it. The request is to be refused after a given number of losses, and is cleared when it
// completes.
package quarantiner

import (
	"cmp"
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleyline.example/bramleyline/reporter"
)

// counters are losses (counted by this host), receivedLosses (that other hosts reported), clearedRecords (records with
// losses whose request then completed), omittedReports (records that did not fit into a report) and expiredRuns (requests
// without an answer that were dropped without a verdict on their target).
var counters = expvar.NewMap("quarantine")

const (
	// maxRecords bounds the suspect records of a host. With up to 64 requests in progress at each of 20 targets, the loss
	// of 8 hosts with all of their targets leaves about as many.
	maxRecords = 8192
	// urgentTime is how long a record is reported with each heartbeat after its last loss, as far as it fits, and
	// reportDuration how long every laterGap, for an authority that is named in that time. maxReported is how many records a
	// report holds at most: it shares 11 KB/s with the rest of the control traffic.
	urgentTime     = 5 * time.Second
	reportDuration = 2 * time.Minute
	laterGap       = 10 * time.Second
	maxReported    = 8
	// recordTime is how long a loss counts with the next one of its request: losses that are further apart are coincidences.
	recordTime = 10 * time.Minute
	// maxLosses bounds the losses that one record remembers in order to count each of them once.
	maxLosses = 8
)

// Request identifies a request in two ways, because a caller that sends a request again may give it a new identity.
type Request struct {
	Service string
	// Identity is the identity that the caller gave the request, or else the router; it may be empty.
	Identity string
	// Fingerprint is a hash of the content of the request.
	Fingerprint uint64
}

// incarnationID identifies one incarnation of a target.
type incarnationID struct {
	service     string
	target      string
	incarnation uint64
}

// record holds the losses that are counted for one suspect request.
type record struct {
	request Request
	losses  []loss
	// crashes is the number of targets that were lost while they ran the request.
	crashes  int
	lastLoss time.Time
	// decided is true once the control leader has decided to refuse the request, and trialRound the last round in which this
	// host sent it as a trial.
	decided    bool
	trialRound uint32
	// reportedAt is when Suspects last returned the record.
	reportedAt time.Time
	// cleared is true if the request completed after its last loss. The record is kept so that reports of other hosts
	// about the same losses are not counted.
	cleared bool
}

// Quarantiner holds the records of suspect requests. The zero value is ready to use.
type Quarantiner struct {
	// recordCount is the length of order, to be read without the lock.
	recordCount atomic.Int64

	mu            sync.RWMutex
	byFingerprint map[uint64]*record
	byIdentity    map[string]*record
	// order holds the records, the oldest first.
	order []*record

	// completed holds the requests with losses that completed later and are to be reported.
	completed map[uint64]*report
	// news receives a value when there is something to report.
	news chan struct{}

	trackersMu sync.Mutex
	trackers   map[targetID]*RunTracker
}

type targetID struct {
	service string
	target  string
}

// Tracker returns the RunTracker of one incarnation of a target. A tracker of another incarnation of the target is
// replaced, and a loss is counted for each request that is in progress there: the restart of the target proves that
// they were lost.
func (q *Quarantiner) Tracker(service, target string, incarnation uint64, now time.Time) *RunTracker {
	id := targetID{
		service: service,
		target:  target,
	}
	q.trackersMu.Lock()
	old := q.trackers[id]
	if old != nil && old.id.incarnation == incarnation {
		q.trackersMu.Unlock()
		return old
	}
	l := RunTracker{
		quarantiner: q,
		id: incarnationID{
			service:     service,
			target:      target,
			incarnation: incarnation,
		},
		runs: map[uint64]*run{},
	}
	if q.trackers == nil {
		q.trackers = map[targetID]*RunTracker{}
	}
	q.trackers[id] = &l
	q.trackersMu.Unlock()
	if old != nil {
		for _, r := range old.markLost(true, now) {
			q.recordLoss(r, old.id, 0, now)
		}
	}
	return &l
}

// MustRefuse reports whether the request has to be refused: at least limit targets were lost while they ran it, the
// last one less than keep ago. A limit of zero or less refuses nothing.
func (q *Quarantiner) MustRefuse(r Request, limit int, keep time.Duration, now time.Time) bool {
	if q.recordCount.Load() == 0 || limit <= 0 {
		return false
	}
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.byFingerprint[r.Fingerprint].refused(r, limit, keep, now) || q.byIdentity[r.Identity].refused(r, limit, keep, now)
}

// Decided records that the control leader refuses the request, which replaces the decision of this host also after it ends.
// It reports whether this host may send the request now: once, if trial is true, in each round.
func (q *Quarantiner) Decided(req Request, round uint32, trial bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.find(req)
	if r == nil {
		r = q.add(req)
	}
	r.decided = true
	if !trial || r.trialRound >= round {
		return false
	}
	r.trialRound = round
	return true
}

func (r *record) refused(req Request, limit int, keep time.Duration, now time.Time) bool {
	return r != nil && !r.cleared && !r.decided && r.request.Service == req.Service && r.crashes >= limit && now.Sub(r.lastLoss) < keep
}

// Lost records that an incarnation of a target is lost. It counts a crash for each request whose connection to it was
// severed, and for each request in progress there as soon as its connection is severed.
func (q *Quarantiner) Lost(service, target string, incarnation uint64, now time.Time) {
	q.trackersMu.Lock()
	l := q.trackers[targetID{
		service: service,
		target:  target,
	}]
	q.trackersMu.Unlock()
	if l == nil || l.id.incarnation != incarnation {
		return
	}
	for _, r := range l.markLost(false, now) {
		q.recordLoss(r, l.id, 0, now)
	}
}

// recordLoss counts the loss of id for a request, unless it was counted before. crashes is the number that another host
// reported, zero if this host detected the loss itself.
func (q *Quarantiner) recordLoss(req Request, id incarnationID, crashes int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.find(req)
	if r == nil {
		r = q.add(req)
	}
	if id.target != "" && r.hasLoss(id) {
		if !r.cleared {
			r.crashes = max(r.crashes, crashes)
		}
		return
	}
	if r.cleared || r.decided || !r.lastLoss.IsZero() && now.Sub(r.lastLoss) > recordTime {
		r.cleared, r.decided, r.crashes, crashes = false, false, 0, min(crashes, 1)
	}
	if crashes > 0 {
		counters.Add("receivedLosses", 1)
	} else {
		counters.Add("losses", 1)
	}
	r.losses = append(r.losses, loss{
		id:     id,
		report: report{dueAt: now},
		own:    crashes == 0,
	})
	q.notify()
	if len(r.losses) > maxLosses {
		r.losses = r.losses[1:]
	}
	r.crashes = max(r.crashes+1, crashes)
	r.lastLoss, r.reportedAt = now, time.Time{}
}

func (r *record) hasLoss(id incarnationID) bool {
	for _, l := range r.losses {
		if l.id == id {
			return true
		}
	}
	return false
}

func (q *Quarantiner) find(req Request) *record {
	if r := q.byFingerprint[req.Fingerprint]; r != nil && r.request.Service == req.Service {
		return r
	}
	if r := q.byIdentity[req.Identity]; r != nil && r.request.Service == req.Service {
		return r
	}
	return nil
}

// add adds a record. It drops the oldest one if there are maxRecords already.
func (q *Quarantiner) add(req Request) *record {
	if q.byFingerprint == nil {
		q.byFingerprint = map[uint64]*record{}
		q.byIdentity = map[string]*record{}
	}
	if len(q.order) >= maxRecords {
		q.drop(q.order[0])
		q.order = q.order[1:]
	}
	r := record{
		request: req,
	}
	q.byFingerprint[req.Fingerprint] = &r
	if req.Identity != "" {
		q.byIdentity[req.Identity] = &r
	}
	q.order = append(q.order, &r)
	q.recordCount.Store(int64(len(q.order)))
	return &r
}

func (q *Quarantiner) drop(r *record) {
	if q.byFingerprint[r.request.Fingerprint] == r {
		delete(q.byFingerprint, r.request.Fingerprint)
	}
	if q.byIdentity[r.request.Identity] == r {
		delete(q.byIdentity, r.request.Identity)
	}
}

// clear clears a request that completed: its losses were caused by another request that ran on the same target.
func (q *Quarantiner) clear(req Request) {
	if q.recordCount.Load() == 0 {
		return
	}
	q.mu.RLock()
	r := q.find(req)
	q.mu.RUnlock()
	if r == nil {
		return
	}
	q.mu.Lock()
	if !r.cleared {
		counters.Add("clearedRecords", 1)
		q.reportCompleted(req.Fingerprint)
	}
	r.cleared, r.crashes = true, 0
	for i := range r.losses {
		r.losses[i].own = false
	}
	q.mu.Unlock()
}

// Suspects returns suspect requests that are not cleared, at most maxReported, to be reported to other hosts: those that
// were not reported for longest, and of new ones those that were lost with most targets.
func (q *Quarantiner) Suspects(now time.Time) []reporter.SuspectMsg {
	if q.recordCount.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var due []*record
	for _, r := range q.order {
		if r.cleared || r.crashes == 0 {
			continue
		}
		age := now.Sub(r.lastLoss)
		if age <= urgentTime || age <= reportDuration && now.Sub(r.reportedAt) >= laterGap {
			due = append(due, r)
		}
	}
	slices.SortStableFunc(due, func(a, b *record) int {
		return cmp.Or(a.reportedAt.Compare(b.reportedAt), cmp.Compare(b.crashes, a.crashes))
	})
	if len(due) > maxReported {
		counters.Add("omittedReports", int64(len(due)-maxReported))
		due = due[:maxReported]
	}
	msgs := make([]reporter.SuspectMsg, 0, len(due))
	for _, r := range due {
		r.reportedAt = now
		last := r.losses[len(r.losses)-1].id
		msgs = append(msgs, reporter.SuspectMsg{
			Service:     r.request.Service,
			Request:     r.request.Identity,
			Fingerprint: r.request.Fingerprint,
			Crashes:     r.crashes,
			Lost:        last.target,
			Incarnation: last.incarnation,
		})
	}
	return msgs
}

// AddSuspects merges the reports of other hosts. A loss that was already counted is not counted again.
func (q *Quarantiner) AddSuspects(suspects []reporter.SuspectMsg, now time.Time) {
	for _, m := range suspects {
		q.recordLoss(Request{
			Service:     m.Service,
			Identity:    m.Request,
			Fingerprint: m.Fingerprint,
		}, incarnationID{
			service:     m.Service,
			target:      m.Lost,
			incarnation: m.Incarnation,
		}, m.Crashes, now)
	}
}
