// Package boottime reads CLOCK_BOOTTIME, a monotonic clock that keeps running while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since an arbitrary fixed point. Unlike Go's monotonic clock, it includes the time during
// which the machine was suspended.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME is available on every Linux system, and leases cannot be timed without it.
		panic(err)
	}
	return time.Duration(t.Nano())
}
