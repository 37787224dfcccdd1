package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, including the time in which it was
// suspended, as an offset from an arbitrary date.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return monotonicNow()
	}
	return origin.Add(time.Duration(ts.Nano()))
}
