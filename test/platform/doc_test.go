// Package platform_test runs the real programs as separate processes, on
// loopback, against stand-ins of the users' platform: directed cases, and a
// soak that injects drawn faults from outside the processes.
package platform_test
