// Package backend is a stand-in for a backend server, for tests, load generation
// and demonstrations. It implements the interface to agents that
// docs/BACKENDS.md describes.
//
// A task runs for the work time given in its JSON payload or in a header:
//
//	{"work_ms": 80}
//	Standin-Work-Ms: 80
//
// and its result is its payload. GET /starts returns the record of all task
// starts, from which tests determine how often each task ran. GET /behavior and
// PUT /behavior read and change the behavior of the server at run time, for
// instance to inject faults.
package backend
