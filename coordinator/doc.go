// Package coordinator is the state machine of an entry: the home of the jobs
// whose identifiers it reserved. It admits jobs, places their tasks on agents
// and gathers whole answers.
//
// It is a pure reducer. Step takes the present time and one event and returns
// effects as data; it does no I/O, reads no clock, starts no goroutine and draws
// random numbers only from the seed it was made with.
//
// Invariants:
//   - Only the incarnation in a JobID places the job's tasks.
//   - A task is at one agent at most. It is placed again only after evidence
//     that the agent it was sent to has not started it and never will.
//   - A job's answer, once final, never changes. It is complete, with every
//     result, or failed, with every task's verdict.
//   - NotRun is said of a task only on evidence; everything unknown is
//     MayHaveRun.
package coordinator
