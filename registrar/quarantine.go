package registrar

import (
	"time"

	"bramleyline.example/bramleyline/indexer"
)

// QuarantineMsg adds requests to the quarantine, or moves them to another round, and removes requests from it.
type QuarantineMsg struct {
	Set    []Quarantined
	Remove []uint64
}

// Quarantined is a request that crashes the targets that run it.
type Quarantined struct {
	// Fingerprint is a hash of the request, as in reporter.SuspectMsg.
	Fingerprint uint64
	// Round is the number of trials that were due so far. In each round but the first, one host may send the request once.
	Round uint32
	// Since is the time of day, to the millisecond, at which the round began.
	Since time.Time
}

// Quarantine returns the requests that are refused, by fingerprint.
func (r Registry) Quarantine() indexer.Map[uint64, Quarantined] {
	return r.quarantine
}

// SetQuarantine changes the requests that are refused.
func (r Registry) SetQuarantine(m QuarantineMsg) Registry {
	for _, q := range m.Set {
		r.quarantine = r.quarantine.With(q.Fingerprint, q)
	}
	for _, fp := range m.Remove {
		r.quarantine = r.quarantine.Without(fp)
	}
	return r
}
