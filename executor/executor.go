package executor

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// compactInterval is how often silent homes are looked for.
const compactInterval = time.Minute

// Executor is the state of one agent run. It is not safe for concurrent use.
type Executor struct {
	opts Options

	homes        map[structs.Incarnation]*home
	jobs         int // over all homes
	fences       int // over all homes
	records      map[structs.TaskID]*record
	queue        []*record
	running      int
	payloadBytes int
	results      results
	waiting      map[CallID]*record
	nextCompact  time.Time

	record   structs.DocumentRecord
	document document.Document

	leaveRequested bool
	leaving        bool
	leavingSince   time.Time // by the document
	graceOver      bool
	drained        bool
	seq            uint64

	effects []Effect
}

// New returns the Executor of one agent run.
func New(opts Options) *Executor {
	return &Executor{
		opts:    opts,
		homes:   make(map[structs.Incarnation]*home),
		records: make(map[structs.TaskID]*record),
		waiting: make(map[CallID]*record),
	}
}

// Step takes in one event and returns its effects, in the order in which they
// are to be carried out. Now must not go back.
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
		e.backendDone(now, &ev)
	case CallClosed:
		e.callGone(ev.Call)
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
	e.compactQuietHomes(now)
}

// State returns the state that rides on a reply; each call advances its Seq.
func (e *Executor) State() structs.AgentState {
	e.seq++
	return structs.AgentState{
		Incarnation: e.opts.Incarnation,
		Running:     e.running,
		Queued:      len(e.queue),
		Slots:       e.slots(),
		Leaving:     e.leaving,
		Revision:    e.record.Revision,
		Seq:         e.seq,
	}
}

// slots returns how many tasks may run at once.
func (e *Executor) slots() int {
	if n := e.document.Limits.Slots; n > 0 {
		return n
	}
	return e.opts.Slots
}

// queueLimit returns how many tasks may wait.
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

// replyResult answers Run or Await with a final outcome.
func (e *Executor) replyResult(call CallID, res structs.TaskResult, took time.Duration) {
	e.reply(call, &structs.RunReply{Result: res, State: e.State(), ServiceTime: took})
}

// replyError answers Run or Await with an outcome that has no result.
func (e *Executor) replyError(call CallID, id structs.TaskID, err *structs.Error) {
	e.replyResult(call, structs.TaskResult{Index: id.Index, Verdict: err.Verdict, Error: err}, 0)
}

// logTask emits a log line about a task.
func (e *Executor) logTask(event string, id structs.TaskID, v structs.Verdict, detail string) {
	e.emit(LogEvent{Event: event, Task: id, Verdict: &v, Detail: detail})
}
