// Package asserter provides runtime assertions for the invariants of the system. A violation is counted in the expvar
// map "invariantViolations"; in tests it panics.
package asserter

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

// Invariant is the name of an invariant in docs/design.md, prefixed with its number there.
type Invariant string

// The invariants that the program asserts.
const (
	// SingleOwner: a slot has at most one owner at a time, and its epochs only rise.
	SingleOwner Invariant = "I1SingleOwner"
	// DurableAssignment: committed log entries are never lost, and a term has at most one leader.
	DurableAssignment Invariant = "I2DurableAssignment"
	// ColdAllowance: a target gets no more requests in progress than its warm-up allows.
	ColdAllowance Invariant = "I3ColdAllowance"
	// WholeAnswer: a caller never takes part of an answer for the whole.
	WholeAnswer Invariant = "I5WholeAnswer"
	// TrueNotRun: a request that is answered as not run did not run.
	TrueNotRun Invariant = "I6TrueNotRun"
	// AtMostOnce: a request that may have run is not attempted again, unless its method is idempotent for the service.
	AtMostOnce Invariant = "I7AtMostOnce"
	// DrainedTarget: a target that is draining or out of service gets no new requests and no new slots.
	DrainedTarget Invariant = "I8DrainedTarget"
	// ConfigurationForward: the version of the configuration in force never decreases.
	ConfigurationForward Invariant = "I10ConfigurationForward"
)

var violations = expvar.NewMap("invariantViolations")

var fatal atomic.Bool

// SetFatal sets whether a violation panics. Tests turn it on; it is off by default.
func SetFatal(on bool) {
	fatal.Store(on)
}

// Check counts a violation of i unless ok is true, and then panics if SetFatal turned that on. It returns ok.
func Check(ok bool, i Invariant, format string, args ...any) bool {
	if ok {
		return true
	}
	violations.Add(string(i), 1)
	if fatal.Load() {
		panic(fmt.Sprintf("invariant %s violated: %s", i, fmt.Sprintf(format, args...)))
	}
	return false
}

// Violations returns the number of violations of all invariants since the process started.
func Violations() int64 {
	var n int64
	violations.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			n += v.Value()
		}
	})
	return n
}
