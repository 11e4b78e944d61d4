// Package timekeeper is a monotonic clock that keeps running while the machine is suspended.
//
// Go's monotonic clock stops while the machine is suspended, so a lease that is measured with it seems valid after the
// machine wakes up, however long the suspension was. CLOCK_BOOTTIME counts that time, and changes of the time of day do
// not affect it.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a Time. The Time has no monotonic reading, so differences between two of them are
// exact, but it is not the time of day. Where CLOCK_BOOTTIME is missing, Now falls back to Go's monotonic clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return monotonicNow()
	}
	return time.Unix(ts.Unix())
}

// Since returns the time that has elapsed since t, a result of Now.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

var processStart = time.Now()

func monotonicNow() time.Time {
	return time.Unix(0, 0).Add(time.Since(processStart))
}
