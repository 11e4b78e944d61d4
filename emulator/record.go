package emulator

import (
	"slices"
	"time"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// Result is how a run ended, or that it is still in progress.
type Result string

// The results of a run. A run that crashed, was cancelled or passed its deadline may have taken effect.
const (
	ResultRunning   Result = "running"
	ResultFinished  Result = "finished"
	ResultCrashed   Result = "crashed"
	ResultCancelled Result = "cancelled"
	// ResultStale is a run without effect, because the lease had expired or the target had lost the slot or its epoch
	// before the run took effect; the answer said notRun.
	ResultStale Result = "stale"
	// ResultRejected is a request that the target rejected on arrival; the answer said notRun.
	ResultRejected Result = "refused"
)

// Run is the record of one request that the target began to run or rejected.
type Run struct {
	Target      string
	DataCentre  string
	Service     string
	Incarnation uint64
	// Request is the router's ID of the request, Identity the caller's, and Attempt the number of the caller's attempt.
	Request  string
	Identity string
	Attempt  int
	Method   string
	Key      string
	// Keyed is true if the request stated a slot; only then are Slot and Epoch valid.
	Keyed   bool
	Slot    keyer.Slot
	Epoch   fencer.Epoch
	Started time.Time
	// Ended is zero while the run is in progress.
	Ended  time.Time
	Result Result
	// Reason is the reason of a rejection.
	Reason string
	// LeaseUntil is the end of the target's lease, as of the start of the run.
	LeaseUntil time.Time
	// InFlight is the number of requests in progress at the start, including this one unless it was rejected, and
	// ColdLimit how many the target could handle then.
	InFlight  int
	ColdLimit int
	// DrainingSince is the time since which the target had been draining at the start, zero if it was not.
	DrainingSince time.Time
}

// Holding is a period in which the target considered itself the owner of a slot under an epoch.
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

// Runs returns a copy of the records of all runs of all incarnations, in the order of their start.
func (e *Emulator) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// Holdings returns a copy of all past and current holdings, in the order of their start.
func (e *Emulator) Holdings() []Holding {
	e.mu.Lock()
	defer e.mu.Unlock()
	holdings := slices.Clone(e.pastHoldings)
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

// endHolding moves the holding of slot to pastHoldings. It ended at now or when the lease expired, whichever was first.
// The caller holds emulator.mu.
func (inc *incarnation) endHolding(slot keyer.Slot, now time.Time) {
	h, ok := inc.owned[slot]
	if !ok {
		return
	}
	if now.Before(h.Until) {
		h.Until = now
	}
	inc.emulator.pastHoldings = append(inc.emulator.pastHoldings, *h)
	delete(inc.owned, slot)
}
