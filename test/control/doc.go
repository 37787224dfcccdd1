// Package control measures what keeping entries and agents up to date costs:
// the time until a revision is in force, and the control traffic when no task
// runs. Its benchmarks run whole entries and agents in one process on loopback.
package control
