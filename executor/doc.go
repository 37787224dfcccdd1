// Package executor is the state machine of an agent. It decides whether and when
// a task starts at the agent's backend server, and keeps the records that make a
// task start there at most once.
//
// It is a pure reducer: Step takes the current time and one event and returns
// effects as data. It does no I/O, reads no clock, starts no goroutine and draws
// no random numbers. The caller carries the effects out.
//
// Invariants:
//   - A TaskID gets at most one StartTask effect in the life of an Executor,
//     unless the TaskFinished event of the earlier one had the verdict NotRun.
//   - An attempt (structs.TaskRef) that was answered with NotRun, to a request
//     addressed to this incarnation, gets no StartTask effect afterwards, and any
//     earlier one ended with the verdict NotRun. A later attempt of the task may
//     start. The same holds for an attempt reported as TaskFenced.
//   - Each RPC event gets exactly one Reply effect, unless its caller closed the
//     call or the event repeats the id of a call that is still waiting.
//   - No task starts while as many run as there are slots. A document that lowers
//     the number of slots stops no running task.
//   - The revision of the service's document never decreases.
//
// # Records and fences
//
// An admitted task has a record until its home reports, by its watermark, that
// the job is settled. For a task that was refused or fenced, the newest such
// attempt is stored as a fence in its job: this attempt and the ones before it
// never start.
//
// When a limit leaves no space for a fence, the home's floor is raised to the job.
// A task without a record in that job or an earlier one is refused from then on,
// so the refusal holds without a fence.
//
// A home that sends nothing for Options.HomeIdleTimeout and has no open task is
// compacted: its watermark is raised above its last job, which drops its records
// and fences.
//
// When the record of a task that may have run is dropped, the job's sequence is
// kept as the home's forgotten sequence. Up to it, a task without a record is
// refused with the verdict MayHaveRun, above it with NotRun.
//
// Homes are never removed. When the limit on homes is reached, every task of a
// further home is refused, which also holds without a fence.
package executor
