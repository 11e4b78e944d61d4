// Package quarantiner finds requests that crash the targets that run them, and has them refused.
package quarantiner

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleyline.example/bramleyline/reporter"
)

const (
	// maxRecords bounds the suspect records of a host: at 64 places in progress for each of 20 targets, 8 hosts that are
	// lost with all of their targets leave about as many.
	maxRecords = 8192
	// reportTime is how long after its last loss a record is reported, and maxReported how many are: the report goes out
	// with each heartbeat and shares 11 KB/s with the rest of the control traffic.
	reportTime  = 5 * time.Second
	maxReported = 8
	// maxLosses bounds the losses that one record remembers so as to count each of them once.
	maxLosses = 8
)

// Request identifies a request in two ways: callers that send one again may give it a new identity.
type Request struct {
	Service string
	// Identity is the caller's, else the router's.
	Identity    string
	Fingerprint uint64
}

// loss is the loss of one incarnation of a target.
type loss struct {
	service     string
	target      string
	incarnation uint64
}

// record is what is known of one suspect request.
type record struct {
	request Request
	losses  []loss
	crashes int
	last    time.Time
	// cleared says that the request completed after its last loss. The record stays, so that other hosts' news of the
	// same losses counts nothing.
	cleared bool
}

// Quarantiner keeps suspect records. The zero value is ready.
type Quarantiner struct {
	known atomic.Int64

	mu          sync.RWMutex
	fingerprint map[uint64]*record
	identity    map[string]*record
	order       []*record

	lanesMu sync.Mutex
	lanes   map[laneID]*Lane
}

type laneID struct {
	service string
	target  string
}

// Lane returns the lane of one incarnation of a target. The lane of another incarnation ends with it: that the target
// restarted proves that the requests still in progress there were lost.
func (q *Quarantiner) Lane(service, target string, incarnation uint64, now time.Time) *Lane {
	id := laneID{
		service: service,
		target:  target,
	}
	q.lanesMu.Lock()
	old := q.lanes[id]
	if old != nil && old.id.incarnation == incarnation {
		q.lanesMu.Unlock()
		return old
	}
	l := Lane{
		owner: q,
		id: loss{
			service:     service,
			target:      target,
			incarnation: incarnation,
		},
		runs: map[uint64]*run{},
	}
	if q.lanes == nil {
		q.lanes = map[laneID]*Lane{}
	}
	q.lanes[id] = &l
	q.lanesMu.Unlock()
	if old != nil {
		for _, r := range old.lose(true, now) {
			q.count(r, old.id, 0, now)
		}
	}
	return &l
}

// Refused reports whether the request has to be refused: limit targets were lost to it, the last within keep.
func (q *Quarantiner) Refused(r Request, limit int, keep time.Duration, now time.Time) bool {
	if q.known.Load() == 0 || limit <= 0 {
		return false
	}
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.fingerprint[r.Fingerprint].refused(r, limit, keep, now) || q.identity[r.Identity].refused(r, limit, keep, now)
}

func (r *record) refused(by Request, limit int, keep time.Duration, now time.Time) bool {
	return r != nil && !r.cleared && r.request.Service == by.Service && r.crashes >= limit && now.Sub(r.last) < keep
}

// Lost counts one crash for each request whose connection was severed at a lost incarnation of a target, and for each
// one in progress there as soon as its connection is.
func (q *Quarantiner) Lost(service, target string, incarnation uint64, now time.Time) {
	q.lanesMu.Lock()
	l := q.lanes[laneID{
		service: service,
		target:  target,
	}]
	q.lanesMu.Unlock()
	if l == nil || l.id.incarnation != incarnation {
		return
	}
	for _, r := range l.lose(false, now) {
		q.count(r, l.id, 0, now)
	}
}

// count records a loss. crashes is the number that another host knows, zero if this host saw the loss itself.
func (q *Quarantiner) count(req Request, id loss, crashes int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.find(req)
	if r == nil {
		r = q.add(req)
	}
	if id.target != "" && r.saw(id) {
		if !r.cleared {
			r.crashes = max(r.crashes, crashes)
		}
		return
	}
	if r.cleared {
		r.cleared, r.crashes, crashes = false, 0, min(crashes, 1)
	}
	r.losses = append(r.losses, id)
	if len(r.losses) > maxLosses {
		r.losses = r.losses[1:]
	}
	r.crashes = max(r.crashes+1, crashes)
	r.last = now
}

func (r *record) saw(id loss) bool {
	for _, l := range r.losses {
		if l == id {
			return true
		}
	}
	return false
}

func (q *Quarantiner) find(req Request) *record {
	if r := q.fingerprint[req.Fingerprint]; r != nil && r.request.Service == req.Service {
		return r
	}
	if r := q.identity[req.Identity]; r != nil && r.request.Service == req.Service {
		return r
	}
	return nil
}

// add makes a record, in place of the oldest if there are too many.
func (q *Quarantiner) add(req Request) *record {
	if q.fingerprint == nil {
		q.fingerprint = map[uint64]*record{}
		q.identity = map[string]*record{}
	}
	if len(q.order) >= maxRecords {
		q.drop(q.order[0])
		q.order = q.order[1:]
	}
	r := record{
		request: req,
	}
	q.fingerprint[req.Fingerprint] = &r
	if req.Identity != "" {
		q.identity[req.Identity] = &r
	}
	q.order = append(q.order, &r)
	q.known.Store(int64(len(q.order)))
	return &r
}

func (q *Quarantiner) drop(r *record) {
	if q.fingerprint[r.request.Fingerprint] == r {
		delete(q.fingerprint, r.request.Fingerprint)
	}
	if q.identity[r.request.Identity] == r {
		delete(q.identity, r.request.Identity)
	}
}

// clear forgives a request that completed: it was in progress with another one that crashed the target.
func (q *Quarantiner) clear(req Request) {
	if q.known.Load() == 0 {
		return
	}
	q.mu.RLock()
	r := q.find(req)
	q.mu.RUnlock()
	if r == nil {
		return
	}
	q.mu.Lock()
	r.cleared, r.crashes = true, 0
	q.mu.Unlock()
}

// Suspects returns the newest suspect requests that are not forgiven.
func (q *Quarantiner) Suspects(now time.Time) []reporter.SuspectMsg {
	if q.known.Load() == 0 {
		return nil
	}
	q.mu.RLock()
	defer q.mu.RUnlock()
	var msgs []reporter.SuspectMsg
	for i := len(q.order) - 1; i >= 0 && len(msgs) < maxReported; i-- {
		r := q.order[i]
		if r.cleared || r.crashes == 0 || now.Sub(r.last) > reportTime {
			continue
		}
		last := r.losses[len(r.losses)-1]
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

// Learn adds what other hosts know. The same loss counts once.
func (q *Quarantiner) Learn(suspects []reporter.SuspectMsg, now time.Time) {
	for _, m := range suspects {
		q.count(Request{
			Service:     m.Service,
			Identity:    m.Request,
			Fingerprint: m.Fingerprint,
		}, loss{
			service:     m.Service,
			target:      m.Lost,
			incarnation: m.Incarnation,
		}, m.Crashes, now)
	}
}
