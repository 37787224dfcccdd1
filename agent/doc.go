// Package agent is the process beside a backend server: the shell round package
// executor. It serves the entries by net/rpc, calls the backend server by HTTP,
// finds entries and announces itself to them, and answers operators.
package agent
