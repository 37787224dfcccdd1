// Package platform_test runs the real programs as separate processes on the loopback
// interface, against stand-ins for the users' platform. It contains tests of single
// cases, and a soak test that injects randomly drawn faults from outside the processes.
package platform_test
