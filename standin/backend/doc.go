// Package backend is a stand-in for a backend server, for tests, load
// generation and trying the system out. It keeps the convention of
// docs/BACKENDS.md.
//
// A task works for the time that its JSON payload or a header names:
//
//	{"work_ms": 80}
//	Standin-Work-Ms: 80
//
// and its result is its payload. The record of every start is the judge of
// tests: GET /starts returns it. GET /behavior and PUT /behavior read and change
// how the server behaves at run time.
package backend
