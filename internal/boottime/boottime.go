// Package boottime reads a clock that never jumps and that counts the time in which the
// machine is suspended, which the monotonic clock of package time does not.
package boottime

import "time"

// origin is the date that stands for the start of the clock.
var origin = time.Unix(0, 0).UTC()

var processStarted = time.Now()

// monotonicNow is the clock where the system has none that counts suspensions.
func monotonicNow() time.Time { return origin.Add(time.Since(processStarted)) }
