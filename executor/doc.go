// Package executor is the state machine of an agent, the guard of one backend
// server: it decides whether and when a task starts there.
//
// It is a pure reducer. Step takes the present time and one event and returns
// effects as data; it does no I/O, reads no clock, starts no goroutine and
// draws no random numbers. The caller carries the effects out.
//
// Invariants:
//   - A TaskID gets at most one StartTask effect in the life of an Executor,
//     but for those whose TaskFinished proved that the backend server never saw
//     the task.
//   - An attempt (structs.TaskRef) for which NotRun was answered, to a request
//     addressed to this incarnation, gets no StartTask effect afterwards, and
//     got none before without such proof. A later attempt may. TaskFenced is
//     said under the same condition as NotRun.
//   - Each RPC event gets exactly one Reply effect, unless its caller has gone
//     or it is a repetition by the same call id.
//   - At most as many tasks run as there are slots, and a change of the
//     document's slots only affects later starts.
//   - The revision of the service's document never goes back.
//
// # What is remembered
//
// A task that was accepted has a record until its home reports, by its
// watermark, that the job is settled. Of a task that was refused or
// fenced, the newest such attempt is remembered. At the caps, the home's floor is raised
// to the refused task's job: an unknown task of that job or an earlier one never
// starts here, so the refusal holds without being stored. A home that has been
// silent for long is compacted the same way. The highest job whose started
// tasks were dropped is kept too: of an unknown task at or below it nothing is
// known, so it is refused as MayHaveRun; above it, as NotRun. The number of
// homes is capped for the life of the Executor, so a refusal to an unknown home
// at that cap holds for ever as well.
package executor
