package loadgenerator

import (
	"net/netip"
	"time"
)

// The verdicts of a caller on the body of an answer with status 200.
const (
	VerdictWhole = "whole"
	// VerdictForeign is an answer to another request.
	VerdictForeign = "foreign"
	// VerdictDamaged is a complete HTTP response whose content is not what a target made.
	VerdictDamaged = "damaged"
)

// Record is one request of a caller and what the caller was told.
type Record struct {
	Identity   string
	Service    string
	Key        string
	Method     string
	Idempotent bool
	Poison     bool
	// Intended is the time of arrival; Ended is when the caller had its last answer. Their difference is the latency.
	Intended time.Time
	Ended    time.Time
	Attempts []Attempt
}

// Attempt is one sending of a request.
type Attempt struct {
	Number  int
	Entry   netip.AddrPort
	Started time.Time
	Ended   time.Time
	// Status is zero without a complete answer, and Fault then says why.
	Status  int
	Outcome string
	Reason  string
	// Request is the router's identity of the request, if it stated one.
	Request string
	Target  string
	// Verdict is empty without an answer of status 200.
	Verdict string
	Fault   string
	// Refused says that the entry host refused the connection, so that nothing was written.
	Refused bool
}

// Served reports whether the caller got a whole answer to its own request.
func (r Record) Served() bool {
	return r.Last().Status == 200 && r.Last().Verdict == VerdictWhole
}

// Last returns the last attempt, the zero Attempt if none was sent.
func (r Record) Last() Attempt {
	if len(r.Attempts) == 0 {
		return Attempt{}
	}
	return r.Attempts[len(r.Attempts)-1]
}

// Latency returns the time from the intended start to the last answer.
func (r Record) Latency() time.Duration {
	return r.Ended.Sub(r.Intended)
}

// Told returns what the caller knows after the attempt: "ok", "notRun", "unknown", "failed" for a status of the target
// itself, and "lost" without a complete answer.
func (a Attempt) Told() string {
	switch {
	case a.Status == 200:
		return "ok"
	case a.Outcome != "":
		return a.Outcome
	case a.Refused:
		return "notRun"
	case a.Status == 0:
		return "lost"
	}
	return "failed"
}
