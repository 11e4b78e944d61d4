package loadgenerator

import (
	"net/netip"
	"time"
)

// The verdicts on the body of an answer with status 200.
const (
	VerdictWhole = "whole"
	// VerdictForeign is an answer to another request or attempt.
	VerdictForeign = "foreign"
	// VerdictDamaged is a complete HTTP response whose body is not what the target wrote.
	VerdictDamaged = "damaged"
)

// Record is the record of one request of a caller, with the answers to its attempts.
type Record struct {
	Identity   string
	Service    string
	Key        string
	Method     string
	Idempotent bool
	Poison     bool
	// Intended is the scheduled time of arrival; Ended is when the last attempt ended. Their difference is the latency.
	Intended time.Time
	Ended    time.Time
	Attempts []Attempt
}

// Attempt is one sending of a request to an entry host.
type Attempt struct {
	Number  int
	Entry   netip.AddrPort
	Started time.Time
	Ended   time.Time
	// Status is the HTTP status, zero without a complete answer; Fault is then the text of the error.
	Status  int
	Outcome string
	Reason  string
	// Request is the router's ID of the request, if the answer stated one.
	Request string
	Target  string
	// Verdict is empty without an answer of status 200.
	Verdict string
	Fault   string
	// Refused is true if the entry host refused the connection, so that nothing was sent.
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

// Latency returns the time from the intended start to the end of the last attempt.
func (r Record) Latency() time.Duration {
	return r.Ended.Sub(r.Intended)
}

// CallerOutcome returns the outcome of the attempt for the caller: "ok", "notRun", "unknown", "failed" for another
// status of the target itself, and "lost" without a complete answer. A refused connection is "notRun".
func (a Attempt) CallerOutcome() string {
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
