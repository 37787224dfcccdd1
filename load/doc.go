// Package load is an open-loop load generator for entries. It measures the
// slowdown of jobs (response time over the ideal response time), goodput,
// refusals, and messages per task.
//
// Each job is sent at its intended arrival time, whatever the state of earlier
// jobs, and its response time counts from that intended time. A stall of the
// system therefore cannot hide its own effect by delaying later requests
// (coordinated omission).
//
// The ideal response time of a job is the time that it would take alone on idle
// backend servers of known speeds: its tasks are placed longest first, each on
// the slot where it finishes earliest, and messages take no time.
package load
