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
	// recordTime is how long a loss is remembered, and maxRecords bounds the requests with losses: the loss of 250 targets
	// with 20 requests each leaves 5,000.
	recordTime = 10 * time.Minute
	maxRecords = 16384
	// maxLosses bounds the losses of one request that are remembered.
	maxLosses = 64
)

// counters are losses, clearances and verdicts that were counted on this host, and dropped losses that did not fit.
var counters = expvar.NewMap("adjudicator")

// Adjudicator holds the losses of each request. The zero value is ready to use. It is safe for concurrent use.
type Adjudicator struct {
	mu      sync.Mutex
	records map[uint64]*record
	// since is when each quarantined request began to wait for its next trial.
	since map[uint64]time.Time
	// convicted holds the requests with CrashLimit losses or more.
	convicted map[uint64]bool
	// evictedAt is when records were last searched for some to drop.
	evictedAt time.Time
	// cleared holds the requests that completed and that the registry still lists.
	cleared map[uint64]bool
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

// Observe counts losses that hosts report, each once, and requests that completed: a request that ran to a good end did
// not cause the losses before.
func (a *Adjudicator) Observe(now time.Time, losses []reporter.SuspectMsg, completed []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range losses {
		a.addLoss(now, m)
	}
	for _, fp := range completed {
		counters.Add("clearances", 1)
		a.void(fp)
		if a.cleared == nil {
			a.cleared = make(map[uint64]bool)
		}
		a.cleared[fp] = true
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
	id := lossID{
		target:      m.Lost,
		incarnation: m.Incarnation,
	}
	r, ok := a.records[m.Fingerprint]
	if !ok {
		if len(a.records) >= maxRecords && !a.evict(now) {
			counters.Add("dropped", 1)
			return
		}
		r = &record{
			losses: make(map[lossID]bool),
		}
		if a.records == nil {
			a.records = make(map[uint64]*record)
		}
		a.records[m.Fingerprint] = r
	}
	if _, known := r.losses[id]; known || len(r.losses) >= maxLosses {
		return
	}
	counters.Add("losses", 1)
	r.losses[id] = true
	r.crashes++
	r.lastLoss = now
	delete(a.cleared, m.Fingerprint)
	if r.crashes >= CrashLimit {
		if a.convicted == nil {
			a.convicted = make(map[uint64]bool)
		}
		a.convicted[m.Fingerprint] = true
	}
}

// evict drops the records that are too old, or else those with a single loss, which the next loss would not convict either.
// It reports whether there were any.
func (a *Adjudicator) evict(now time.Time) bool {
	if now.Sub(a.evictedAt) < time.Second {
		return false
	}
	a.evictedAt = now
	before := len(a.records)
	for fp, r := range a.records {
		if now.Sub(r.lastLoss) > recordTime {
			delete(a.records, fp)
			delete(a.convicted, fp)
		}
	}
	if len(a.records) < before {
		return true
	}
	for fp, r := range a.records {
		if r.crashes <= 1 && now.Sub(r.lastLoss) > time.Minute {
			delete(a.records, fp)
		}
	}
	return len(a.records) < before
}

// Changes returns the next change of the requests that reg lists, nil if there is none. A leader that has just been elected
// counts the waits from its first call.
func (a *Adjudicator) Changes(now time.Time, reg registrar.Registry) *registrar.QuarantineMsg {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(reg)
	var m registrar.QuarantineMsg
	if a.since == nil {
		a.since = make(map[uint64]time.Time)
	}
	for fp, round := range reg.Quarantine().All() {
		if since, ok := a.since[fp]; !ok {
			a.since[fp] = now
		} else if a.cleared[fp] || now.Sub(since) >= wait(round) && round >= maxRound {
			m.Remove = append(m.Remove, fp)
		} else if now.Sub(since) >= wait(round) {
			m.Set = append(m.Set, registrar.Quarantined{
				Fingerprint: fp,
				Round:       round + 1,
			})
		}
	}
	for fp := range a.convicted {
		if _, ok := reg.Quarantine().Get(fp); !ok {
			m.Set = append(m.Set, registrar.Quarantined{
				Fingerprint: fp,
			})
		}
	}
	a.makeRoom(&m, reg)
	if len(m.Set)+len(m.Remove) == 0 {
		return nil
	}
	return &m
}

// wait returns how long a request is refused in a round, the first of which is 0.
func wait(round uint32) time.Duration {
	d := firstWait
	for range round {
		d *= waitFactor
	}
	return d
}

// makeRoom bounds what m adds, and removes the requests that have been refused for longest.
func (a *Adjudicator) makeRoom(m *registrar.QuarantineMsg, reg registrar.Registry) {
	slices.SortFunc(m.Set, func(x, y registrar.Quarantined) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	m.Set = m.Set[:min(len(m.Set), maxQuarantined)]
	excess := reg.Quarantine().Len() + len(m.Set) - len(m.Remove) - maxQuarantined
	if excess <= 0 {
		return
	}
	var listed []uint64
	for fp := range reg.Quarantine().All() {
		listed = append(listed, fp)
	}
	slices.SortFunc(listed, func(x, y uint64) int { return a.since[x].Compare(a.since[y]) })
	m.Remove = append(m.Remove, listed[:min(excess, len(listed))]...)
}

// forget drops what was kept of requests that reg no longer lists. The next losses of such a request count from zero.
func (a *Adjudicator) forget(reg registrar.Registry) {
	for fp := range a.since {
		if _, ok := reg.Quarantine().Get(fp); ok {
			continue
		}
		delete(a.since, fp)
		a.void(fp)
	}
	for fp := range a.cleared {
		if _, ok := reg.Quarantine().Get(fp); !ok {
			delete(a.cleared, fp)
		}
	}
}

// Committed records that m was committed, so that the waits of its rounds begin at now.
func (a *Adjudicator) Committed(now time.Time, m *registrar.QuarantineMsg) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range m.Set {
		counters.Add("verdicts", 1)
		a.since[q.Fingerprint] = now
	}
}
