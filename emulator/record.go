package emulator

import (
	"slices"
	"time"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// Result says how a run ended.
type Result string

// The results of a run. A run that crashed, or that was cancelled or passed its deadline, may have had its effect.
const (
	ResultRunning   Result = "running"
	ResultFinished  Result = "finished"
	ResultCrashed   Result = "crashed"
	ResultCancelled Result = "cancelled"
	// ResultStale is a run whose lease lapsed before it took effect; the caller was told notRun.
	ResultStale Result = "stale"
	// ResultRefused is a request that the target refused on arrival with notRun.
	ResultRefused Result = "refused"
)

// Run is one request that the target began to run or refused.
type Run struct {
	Target      string
	DataCentre  string
	Service     string
	Incarnation uint64
	// Request is the router's identity of the request, Identity the caller's and Attempt the number of the caller's
	// attempt.
	Request  string
	Identity string
	Attempt  int
	Method   string
	Key      string
	// Keyed says that Slot and Epoch were stated.
	Keyed   bool
	Slot    keyer.Slot
	Epoch   fencer.Epoch
	Started time.Time
	// Ended is zero while the run goes on.
	Ended  time.Time
	Result Result
	// Reason is the reason of a refusal.
	Reason string
	// LeaseUntil is the end of the target's lease as known when the run started.
	LeaseUntil time.Time
	// InFlight counts the requests in progress with this one, and ColdLimit how many the target could handle then.
	InFlight  int
	ColdLimit int
	// DrainingSince is the time since which the target said that it drains, zero if it did not.
	DrainingSince time.Time
}

// Holding is a time for which the target believed that it owned a slot under an epoch.
type Holding struct {
	Target      string
	DataCentre  string
	Service     string
	Incarnation uint64
	Slot        keyer.Slot
	Epoch       fencer.Epoch
	From        time.Time
	Until       time.Time
}

// Runs returns a copy of the record of all runs, of all incarnations, in the order of their start.
func (e *Emulator) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// Holdings returns a copy of the record of the slots that the target believed to own.
func (e *Emulator) Holdings() []Holding {
	e.mu.Lock()
	defer e.mu.Unlock()
	holdings := slices.Clone(e.past)
	if e.current != nil {
		for _, h := range e.current.owned {
			holdings = append(holdings, *h)
		}
	}
	slices.SortFunc(holdings, func(a, b Holding) int {
		return a.From.Compare(b.From)
	})
	return holdings
}

// endHolding moves the holding of slot to the past; it ended at now or when the lease lapsed, whichever was first.
// The caller holds e.mu.
func (l *incarnation) endHolding(slot keyer.Slot, now time.Time) {
	h, ok := l.owned[slot]
	if !ok {
		return
	}
	if now.Before(h.Until) {
		h.Until = now
	}
	l.e.past = append(l.e.past, *h)
	delete(l.owned, slot)
}
