// Package executor is the state machine of an agent, the guard of one backend
// server: it decides whether and when a task starts there.
//
// It is a pure reducer. Step takes the present time and one event and returns
// effects as data; it does no I/O, reads no clock, starts no goroutine and
// draws no random numbers. The caller carries the effects out.
//
// Invariants:
//   - A TaskID gets at most one StartBackend effect in the life of an Executor.
//   - An attempt (structs.TaskRef) for which NotRun was ever answered gets no
//     StartBackend effect, before or after. A later attempt may.
//   - Each RPC event gets exactly one Reply effect, unless it is a repetition
//     by the same call id.
package executor
