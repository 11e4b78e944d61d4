package auditor

import (
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/loadgenerator"
)

// Evidence is the input of an audit: what callers and targets recorded in one run of the bench, and what operators did.
type Evidence struct {
	Records  []loadgenerator.Record
	Runs     []emulator.Run
	Holdings []emulator.Holding
	Events   []Event
	// From is the start of the measured time. Runs before it count for the invariants, but not for the figures.
	From time.Time
	// Targets lists the names of all targets of each service, so that the imbalance includes targets without requests.
	Targets map[string][]string
	// Keyed reports for the name of a service whether the service is keyed.
	Keyed map[string]bool
}

// Event is one operation by operators during the run: a takeout or the planned stop of a host. Exactly one of
// DataCentre, Target and Entry is set.
type Event struct {
	// DataCentre or Target names what was taken out at At and restored at Until. A zero Until means never.
	DataCentre string
	Target     string
	// Entry is the caller address of a host whose planned stop began at At. Until is the time from which the host may
	// be unavailable; the audit does not use it.
	Entry netip.AddrPort
	At    time.Time
	Until time.Time
}

// Finding is one invariant violation.
type Finding struct {
	// Invariant is the number of the invariant in docs/design.md, such as I7.
	Invariant string
	Message   string
	// Evidence describes the records that show the violation, one record in each string.
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
	// KeyMoves counts changes of the target that ran the requests of a key, SlotMoves changes of the owner of a slot,
	// and SlotsHeld the slots that ever had an owner.
	KeyMoves  int
	SlotMoves int
	SlotsHeld int
	// Unavailable is the time without service summed over the keys, WorstUnavailable the longest time for one key, and
	// KeysUnavailable the number of keys affected. A time without service lasts from the first request of a key that
	// was not served to the next one that was, or to the end of the last one if none was served after it.
	Unavailable      time.Duration
	WorstUnavailable time.Duration
	KeysUnavailable  int
	// KeysLate counts the keys that were provably without service for more than 2 s: from a request that was not served
	// to the end of another one, with none served in between.
	KeysLate int
	// Outcomes summarizes what callers were told, by service; the empty name stands for all services.
	Outcomes map[string]loadgenerator.Summary
	// CallerRetries counts non-idempotent requests that ran more than once because their caller retried them after an
	// unknown outcome. That is the caller's own decision and violates no invariant.
	CallerRetries int
	// Rejected counts requests that targets rejected, by reason, and Crashes the runs that ended with a crash of their
	// target.
	Rejected map[string]int
	Crashes  int
}
