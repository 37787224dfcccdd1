// Package coordinator implements the state machine of an entry. An entry is the
// home of the jobs whose identifiers it reserved: it admits them, places their
// tasks on agents and returns one complete answer for each job.
//
// The state machine is a pure reducer. Step takes the current time and one
// event and returns effects as data; it does no I/O, reads no clock, starts no
// goroutine and draws random numbers only from the seed it was created with.
//
// Invariants:
//   - Only the incarnation in a JobID places the job's tasks.
//   - A task is at no more than one agent at a time. It is placed again only
//     on evidence that the agent it was sent to has not started it and never
//     will.
//   - A job's answer never changes once it is final. It is either complete,
//     with every task's result, or failed, with every task's verdict.
//   - A task gets the verdict NotRun only on evidence. Every unknown outcome
//     is MayHaveRun.
package coordinator
