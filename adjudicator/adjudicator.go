// Package adjudicator decides on the control leader which requests are poison: requests that crash the targets that run
// them. It counts the crashes that all hosts report, and its decisions are committed, so that they reach every host and
// survive every leader.
package adjudicator

import (
	"cmp"
	"expvar"
	"slices"
	"sync"
	"time"

	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/reporter"
)

const (
	// CrashLimit is the number of lost targets after which the request that they were running is refused: a single loss
	// may be a coincidence, and three lost targets are the most that users accept.
	CrashLimit = 2
	// firstWait is how long a request is refused before one host may try it once more. Each further wait is waitFactor
	// times as long; after maxRound trials the request is no longer refused.
	firstWait  = 2 * time.Minute
	waitFactor = 4
	maxRound   = 2
	// maxQuarantined bounds the requests that are refused at a time; the one that has been refused for longest makes room.
	maxQuarantined = 1024
	// recordTime is how long a loss is remembered after the last one of its request: losses that are further apart are
	// coincidences. pruneInterval is the time between two searches for older ones.
	recordTime    = 10 * time.Minute
	pruneInterval = time.Second
	// maxRecords bounds the requests with losses: the loss of 250 targets with 20 requests each leaves 5,000. maxLosses
	// bounds the losses of one request.
	maxRecords = 16384
	maxLosses  = 64
)

// counters are losses and clearances that were counted on this host, verdicts that it proposed, and losses that were
// dropped for lack of room.
var counters = expvar.NewMap("adjudicator")

// Adjudicator holds the losses of each request. The zero value is ready to use. It is safe for concurrent use.
type Adjudicator struct {
	mu      sync.Mutex
	records map[uint64]*record
	// convicted holds the requests with CrashLimit losses or more.
	convicted map[uint64]bool
	// listed holds the requests that the registry listed at the last call of Changes, and completed those of them that have
	// run to a good end since.
	listed    map[uint64]bool
	completed map[uint64]bool
	prunedAt  time.Time
}

// lossID identifies a lost incarnation of a target.
type lossID struct {
	target      string
	incarnation uint64
}

// record holds the lost targets of one request. A loss that a later completion voided stays, with the value false, so that
// late reports of it do not count.
type record struct {
	losses   map[lossID]bool
	crashes  int
	lastLoss time.Time
}

// Reset forgets all losses. A leader that has just been elected calls it: what it counted in an earlier term may have been
// voided since, and hosts repeat their reports of the last minute.
func (a *Adjudicator) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.records, a.convicted, a.listed, a.completed = nil, nil, nil, nil
}

// Observe counts losses that hosts report, each once, and requests that completed: a request that ran to a good end did
// not cause the losses before.
func (a *Adjudicator) Observe(now time.Time, losses []reporter.SuspectMsg, completed []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prune(now)
	for _, m := range losses {
		a.addLoss(now, m)
	}
	for _, fp := range completed {
		counters.Add("clearances", 1)
		a.void(fp)
		if a.completed == nil {
			a.completed = make(map[uint64]bool)
		}
		a.completed[fp] = true
	}
}

// void makes the losses of a request so far count for nothing.
func (a *Adjudicator) void(fp uint64) {
	delete(a.convicted, fp)
	r, ok := a.records[fp]
	if !ok {
		return
	}
	for id := range r.losses {
		r.losses[id] = false
	}
	r.crashes = 0
}

func (a *Adjudicator) addLoss(now time.Time, m reporter.SuspectMsg) {
	r, ok := a.records[m.Fingerprint]
	if !ok {
		if len(a.records) >= maxRecords {
			counters.Add("dropped", 1)
			return
		}
		r = &record{
			losses: make(map[lossID]bool),
		}
		if a.records == nil {
			a.records, a.convicted = make(map[uint64]*record), make(map[uint64]bool)
		}
		a.records[m.Fingerprint] = r
	}
	id := lossID{
		target:      m.Lost,
		incarnation: m.Incarnation,
	}
	if _, known := r.losses[id]; known {
		return
	}
	if len(r.losses) >= maxLosses {
		r.dropVoid()
	}
	if len(r.losses) >= maxLosses {
		return
	}
	counters.Add("losses", 1)
	r.losses[id] = true
	r.crashes++
	r.lastLoss = now
	delete(a.completed, m.Fingerprint)
	if r.crashes >= CrashLimit {
		a.convicted[m.Fingerprint] = true
	}
}

// dropVoid makes room for losses that count.
func (r *record) dropVoid() {
	for id, counts := range r.losses {
		if !counts {
			delete(r.losses, id)
		}
	}
}

// prune drops the records whose last loss is too old to count with the next one.
func (a *Adjudicator) prune(now time.Time) {
	if now.Sub(a.prunedAt) < pruneInterval {
		return
	}
	a.prunedAt = now
	for fp, r := range a.records {
		if now.Sub(r.lastLoss) > recordTime {
			delete(a.records, fp)
			delete(a.convicted, fp)
		}
	}
}

// Changes returns the next change of the requests that reg lists, nil if there is none. now is the time of day, since the
// waits go on under the next leader.
func (a *Adjudicator) Changes(now time.Time, reg registrar.Registry) *registrar.QuarantineMsg {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prune(now)
	a.follow(reg)
	var m registrar.QuarantineMsg
	for fp, q := range reg.Quarantine().All() {
		waited := now.Sub(q.Since)
		switch {
		case a.completed[fp] || waited >= wait(q.Round) && q.Round >= maxRound:
			m.Remove = append(m.Remove, fp)
		case waited >= wait(q.Round):
			m.Set = append(m.Set, registrar.Quarantined{
				Fingerprint: fp,
				Round:       q.Round + 1,
				Since:       now,
			})
		case waited < 0:
			// The clock of the leader that set it was ahead of this one.
			m.Set = append(m.Set, registrar.Quarantined{
				Fingerprint: fp,
				Round:       q.Round,
				Since:       now,
			})
		}
	}
	for fp := range a.convicted {
		if _, ok := reg.Quarantine().Get(fp); !ok {
			m.Set = append(m.Set, registrar.Quarantined{
				Fingerprint: fp,
				Since:       now,
			})
		}
	}
	makeRoom(&m, reg)
	if len(m.Set)+len(m.Remove) == 0 {
		return nil
	}
	counters.Add("verdicts", int64(len(m.Set)))
	return &m
}

// wait returns how long a request is refused in a round, the first of which is 0.
func wait(round uint32) time.Duration {
	d := firstWait
	for range min(round, maxRound) {
		d *= waitFactor
	}
	return d
}

// follow voids the losses of requests that reg no longer lists, so that the next ones count from zero.
func (a *Adjudicator) follow(reg registrar.Registry) {
	for fp := range a.listed {
		if _, ok := reg.Quarantine().Get(fp); !ok {
			delete(a.listed, fp)
			a.void(fp)
		}
	}
	for fp := range reg.Quarantine().All() {
		if a.listed == nil {
			a.listed = make(map[uint64]bool)
		}
		a.listed[fp] = true
	}
	for fp := range a.completed {
		if !a.listed[fp] {
			delete(a.completed, fp)
		}
	}
}

// makeRoom bounds what m adds, and removes the requests that have been refused for longest.
func makeRoom(m *registrar.QuarantineMsg, reg registrar.Registry) {
	slices.SortFunc(m.Set, func(x, y registrar.Quarantined) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	m.Set = m.Set[:min(len(m.Set), maxQuarantined)]
	excess := reg.Quarantine().Len() + len(m.Set) - len(m.Remove) - maxQuarantined
	if excess <= 0 {
		return
	}
	var listed []registrar.Quarantined
	for _, q := range reg.Quarantine().All() {
		listed = append(listed, q)
	}
	slices.SortFunc(listed, func(x, y registrar.Quarantined) int { return x.Since.Compare(y.Since) })
	for _, q := range listed[:min(excess, len(listed))] {
		m.Remove = append(m.Remove, q.Fingerprint)
	}
}
