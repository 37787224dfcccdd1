// Package load generates load on entries and measures it: response time over
// the ideal, goodput, refusals, and messages per task.
//
// Arrivals are open-loop: each job is sent at its intended time whatever became
// of the earlier ones, and its response time counts from the intended time, so
// that a system that stalls is not measured less often while it does.
//
// The ideal of a job is the time it would take alone on idle backend servers of
// the known speeds: its tasks, longest first, each on the slot where it ends
// first, with no message taking any time.
package load
