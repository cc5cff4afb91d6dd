// Package clock reads a clock that also advances while the machine is suspended. Leases
// are measured with it, because Go's monotonic clock stops during a suspend.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including the time in suspend. It panics if the
// system has no such clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
