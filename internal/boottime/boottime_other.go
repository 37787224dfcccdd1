//go:build !linux

package boottime

import "time"

// Now returns the time since the process was started, as an offset from an arbitrary date.
func Now() time.Time { return monotonicNow() }
