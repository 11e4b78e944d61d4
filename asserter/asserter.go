// Package asserter checks the invariants of the system inside the running program.
package asserter

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

// Invariant identifies one invariant of docs/design.md.
type Invariant string

// The invariants that the program asserts.
const (
	SingleOwner          Invariant = "I1SingleOwner"
	DurableAssignment    Invariant = "I2DurableAssignment"
	ColdAllowance        Invariant = "I3ColdAllowance"
	WholeAnswer          Invariant = "I5WholeAnswer"
	TrueNotRun           Invariant = "I6TrueNotRun"
	AtMostOnce           Invariant = "I7AtMostOnce"
	DrainedTarget        Invariant = "I8DrainedTarget"
	ConfigurationForward Invariant = "I10ConfigurationForward"
)

var violations = expvar.NewMap("invariantViolations")

var fatal atomic.Bool

// SetFatal makes every violation panic. Tests switch it on.
func SetFatal(on bool) {
	fatal.Store(on)
}

// Check counts a violation of i unless ok, and panics if SetFatal is on. It returns ok.
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
