// Package sessions runs the reducers of entries and agents, package dispatch and
// package guard, against stand-in servers under drawn faults: processes that are
// killed, frozen and cut off, orders that are carried out late, servers that are
// born again, and callers that send copies of their jobs.
package sessions
