// Package clock is the clock by which leases and authority are counted.
//
// A VM can be suspended for seconds. Go's monotonic clock does not count that
// time, so a process that wakes up would believe that its authority has all the
// time left that it had before, and go on giving orders after somebody else took
// over. The time of day counts it, but may jump. The kernel's boot clock does the
// one and not the other.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is an arbitrary beginning for the times that Now returns.
var epoch = time.Unix(0, 0)

// Now returns the boot clock's time. Only differences between two of its times
// mean anything. Where the kernel has no such clock it returns the runtime's.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return epoch.Add(time.Duration(ts.Nano()))
}
