// Package clock tells time that also passes while the machine is suspended.
// Leases are counted on it: Go's monotonic clock stands still in a suspend.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, suspended time included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no boot time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
