// Package sessions simulates entries and agents, the state machines of packages
// dispatch and taskrunner, with stand-in backend servers under randomly drawn
// faults: processes are killed, suspended and cut off from the network, calls to
// servers are carried out late, servers restart, and callers submit their jobs again.
package sessions
