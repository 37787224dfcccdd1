// Package agent implements the process of an agent, which runs beside a backend
// server. It performs the I/O for the state machine of package executor: it serves
// entries over net/rpc, calls the backend server over HTTP, discovers entries and
// announces itself to them, and serves operators over HTTP.
package agent
