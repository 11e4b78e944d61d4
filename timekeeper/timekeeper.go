// Package timekeeper tells the time on a clock that goes on while the machine is suspended.
//
// Go's monotonic clock stands still while a machine is suspended, so a lease that is measured with it seems valid after
// the machine wakes up. CLOCK_BOOTTIME counts that time, and no step of the time of day moves it.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a Time. It carries no monotonic reading, so differences are exact, but it is not
// the time of day. Where CLOCK_BOOTTIME is missing it falls back to the monotonic clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return fallback()
	}
	return time.Unix(ts.Unix())
}

// Since returns the time that has passed since t, which Now returned.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

var started = time.Now()

func fallback() time.Time {
	return time.Unix(0, 0).Add(time.Since(started))
}
