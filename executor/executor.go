package executor

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// compactInterval is the time between two scans for idle homes.
const compactInterval = time.Minute

// Executor is the state of one agent incarnation. It is not safe for concurrent use.
type Executor struct {
	opts Options

	homes        map[structs.Incarnation]*home
	jobCount     int // over all homes
	fenceCount   int // over all homes
	records      map[structs.TaskID]*record
	queue        []*record // tasks that wait for a slot, in order of admission
	running      int       // started tasks that have not finished
	payloadBytes int       // submissions of queued and running tasks
	results      resultList
	waitingCalls map[CallID]*record // calls that get their reply when the task ends
	nextCompact  time.Time

	documentRecord structs.DocumentRecord
	document       document.Document // parsed from documentRecord

	leaveRequested bool      // LeaveRequested was received
	leaving        bool      // by LeaveRequested or by the document
	leavingSince   time.Time // when the document's leave took effect here; zero if it has not
	graceOver      bool      // the document's grace has passed; running tasks were stopped
	drained        bool      // Drained was emitted
	stateSeq       uint64    // Seq of the last AgentState

	effects []Effect // of the current step
}

// New returns the Executor of one agent incarnation.
func New(opts Options) *Executor {
	return &Executor{
		opts:         opts,
		homes:        make(map[structs.Incarnation]*home),
		records:      make(map[structs.TaskID]*record),
		waitingCalls: make(map[CallID]*record),
	}
}

// Step applies one event and returns its effects in the order in which the
// caller must carry them out. now must not go back between calls.
func (e *Executor) Step(now time.Time, ev Event) []Effect {
	e.effects = nil
	e.updateLeaving(now)
	e.handle(now, ev)
	e.updateLeaving(now)
	e.startQueued(now)
	e.checkDrained()
	out := e.effects
	e.effects = nil
	return out
}

func (e *Executor) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case RunCalled:
		e.run(now, ev.Call, &ev.Request)
	case AwaitCalled:
		e.await(now, ev.Call, &ev.Request)
	case SettleCalled:
		e.settle(now, ev.Call, &ev.Request)
	case FenceCalled:
		e.fenceHome(now, ev.Call, &ev.Request)
	case HeartbeatCalled:
		e.heartbeat(now, ev.Call, &ev.Request)
	case DocumentCalled:
		e.putDocument(ev.Call, &ev.Record)
	case TaskFinished:
		e.taskFinished(now, &ev)
	case CallClosed:
		e.callClosed(ev.Call)
	case LeaveRequested:
		e.leaveRequested = true
	case Ticked:
		e.tick(now)
	}
}

func (e *Executor) tick(now time.Time) {
	e.expireQueued(now)
	if now.Before(e.nextCompact) {
		return
	}
	e.nextCompact = now.Add(compactInterval)
	e.compactIdleHomes(now)
}

// State returns the state that is sent with every reply. Each call increments
// its Seq.
func (e *Executor) State() structs.AgentState {
	e.stateSeq++
	return structs.AgentState{
		Incarnation: e.opts.Incarnation,
		Running:     e.running,
		Queued:      len(e.queue),
		Slots:       e.slots(),
		Leaving:     e.leaving,
		Revision:    e.documentRecord.Revision,
		Seq:         e.stateSeq,
	}
}

// slots returns how many tasks may run at the same time.
func (e *Executor) slots() int {
	if n := e.document.Limits.Slots; n > 0 {
		return n
	}
	return e.opts.Slots
}

// queueLimit returns how many tasks may wait in the queue. A document that sets
// no limit allows as many as there are slots.
func (e *Executor) queueLimit() int {
	n := e.document.Limits.Queue
	if n <= 0 {
		n = e.slots()
	}
	return min(n, e.opts.MaxQueue)
}

func (e *Executor) emit(ef Effect) { e.effects = append(e.effects, ef) }

func (e *Executor) reply(call CallID, message any) {
	e.emit(Reply{Call: call, Message: message})
}

// replyResult answers a Run or Await call with the final outcome of its task.
func (e *Executor) replyResult(call CallID, res structs.TaskResult, serviceTime time.Duration) {
	e.reply(call, &structs.RunReply{Result: res, State: e.State(), ServiceTime: serviceTime})
}

// replyError answers a Run or Await call with an error and its verdict.
func (e *Executor) replyError(call CallID, id structs.TaskID, err *structs.Error) {
	e.replyResult(call, structs.TaskResult{Index: id.Index, Verdict: err.Verdict, Error: err}, 0)
}

// logTask emits a log line about a task.
func (e *Executor) logTask(event string, id structs.TaskID, v structs.Verdict, detail string) {
	e.emit(LogEvent{Event: event, Task: id, Verdict: &v, Detail: detail})
}
