package auditor

import (
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/loadgenerator"
)

// Evidence is what callers and targets recorded in one run of the bench.
type Evidence struct {
	Records  []loadgenerator.Record
	Runs     []emulator.Run
	Holdings []emulator.Holding
	Events   []Event
	// From is the start of the measured time. Runs before it count for the invariants, but not for the figures.
	From time.Time
	// Targets has the names of the targets of each service, so that those without work count for the imbalance.
	Targets map[string][]string
	// Keyed has the keyed services.
	Keyed map[string]bool
}

// Event is what operators did during the run. Exactly one of DataCentre, Target and Entry is set.
type Event struct {
	// DataCentre or Target was taken out at At, and restored at Until unless that is zero.
	DataCentre string
	Target     string
	// Entry is the caller address of a host whose planned stop began at At; Until is when it may be gone.
	Entry netip.AddrPort
	At    time.Time
	Until time.Time
}

// Finding is one violation of an invariant.
type Finding struct {
	// Invariant is the number of the invariant in docs/design.md, such as I7.
	Invariant string
	Message   string
	// Evidence has the records that show it, one a line.
	Evidence []string
}

// Report is the result of an audit.
type Report struct {
	Findings []Finding
	Numbers  Numbers
}

// Numbers are the measured figures of one run.
type Numbers struct {
	// Imbalance is the maximum over the mean of finished requests for each target of a service.
	Imbalance map[string]float64
	// KeyMoves counts changes of the target that ran a key, SlotMoves changes of the owner of a slot, and SlotsHeld the
	// slots that ever had an owner.
	KeyMoves  int
	SlotMoves int
	SlotsHeld int
	// Unavailable is the time without service summed over the keys, WorstUnavailable the longest time for one key, and
	// KeysUnavailable the number of keys concerned. A time without service runs from the first request of a key that was
	// not served to the next one that is.
	Unavailable      time.Duration
	WorstUnavailable time.Duration
	KeysUnavailable  int
	// KeysLate counts the keys that were surely without service for more than 2 s: from a request that was not served to
	// the end of another one, with none served in between.
	KeysLate int
	// Outcomes has the callers' summary for each service, and under the empty name for all.
	Outcomes map[string]loadgenerator.Summary
	// CallerRepeats counts non-idempotent requests that ran more than once because their caller sent them again after
	// an unknown outcome; that is the caller's own decision.
	CallerRepeats int
	// Refused counts requests that targets refused, by reason, and Crashes runs that ended with their target.
	Refused map[string]int
	Crashes int
}
