// Package clock provides the clock that lease and term durations are measured
// with.
//
// A VM can be suspended for seconds. Go's monotonic clock does not advance while
// the VM is suspended, so after resuming, a process would believe that its lease
// has as much time left as before, and keep sending orders after another process
// took over. The wall clock advances during suspension, but it may jump. The
// kernel's boot clock (CLOCK_BOOTTIME) advances and does not jump.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is the arbitrary zero point of the times that Now returns.
var epoch = time.Unix(0, 0)

// Now returns the time of the boot clock. Only the difference between two such
// times is meaningful. If the kernel has no boot clock, Now returns [time.Now].
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return epoch.Add(time.Duration(ts.Nano()))
}
