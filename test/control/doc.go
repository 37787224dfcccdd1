// Package control measures the cost of keeping entries and agents up to date:
// the time until a revision is in force, and the control traffic while no task
// runs. Its benchmarks run complete entries and agents in one process on
// loopback.
package control
