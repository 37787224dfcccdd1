package executor_test

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// documentHead holds the fields that every document must have.
const documentHead = "service = 'faq'\nowner = 'faq-team'\n"

// home is the incarnation of the entry that owns the test jobs.
const home structs.Incarnation = 11

// harness steps an Executor and collects its effects by type.
type harness struct {
	exec      *executor.Executor
	now       time.Time
	lastCall  executor.CallID
	replies   map[executor.CallID]any
	started   []structs.TaskRef
	stopped   []structs.TaskID
	announced []structs.AgentState
	drained   int
}

func testOptions() executor.Options {
	opts := executor.DefaultOptions()
	opts.Name = "a1"
	opts.Service = "faq"
	opts.Incarnation = agentIncarnation
	opts.Slots = 1
	return opts
}

func newHarness(change func(*executor.Options)) *harness {
	opts := testOptions()
	if change != nil {
		change(&opts)
	}
	return &harness{exec: executor.New(opts), now: epoch, replies: make(map[executor.CallID]any)}
}

func (h *harness) step(ev executor.Event) {
	for _, ef := range h.exec.Step(h.now, ev) {
		switch ef := ef.(type) {
		case executor.StartTask:
			h.started = append(h.started, structs.TaskRef{Task: ef.Task, Attempt: ef.Attempt})
		case executor.StopTask:
			h.stopped = append(h.stopped, ef.Task)
		case executor.Reply:
			h.replies[ef.Call] = ef.Message
		case executor.Announce:
			h.announced = append(h.announced, ef.State)
		case executor.Drained:
			h.drained++
		}
	}
}

// run sends a RunRequest and returns the id of its call.
func (h *harness) run(req structs.RunRequest) executor.CallID {
	h.lastCall++
	h.step(executor.RunCalled{Call: h.lastCall, Request: req})
	return h.lastCall
}

// result returns the result that a Run or Await call was answered with, or nil.
func (h *harness) result(call executor.CallID) *structs.TaskResult {
	if msg, ok := h.replies[call].(*structs.RunReply); ok {
		return &msg.Result
	}
	return nil
}

func (h *harness) await(id structs.TaskID, attempt uint32) executor.CallID {
	h.lastCall++
	h.step(executor.AwaitCalled{Call: h.lastCall, Request: structs.AwaitRequest{Agent: agentIncarnation, Task: id, Attempt: attempt}})
	return h.lastCall
}

func (h *harness) settle(mode structs.SettleMode, refs ...structs.TaskRef) *structs.SettleReply {
	h.lastCall++
	h.step(executor.SettleCalled{Call: h.lastCall, Request: structs.SettleRequest{Agent: agentIncarnation, Home: home, Mode: mode, Tasks: refs}})
	return h.replies[h.lastCall].(*structs.SettleReply)
}

func (h *harness) fence(job structs.JobID) *structs.SettleReply {
	h.lastCall++
	h.step(executor.FenceCalled{Call: h.lastCall, Request: structs.FenceRequest{Agent: agentIncarnation, Job: job, Close: true}})
	return h.replies[h.lastCall].(*structs.SettleReply)
}

func (h *harness) document(revision uint64, text string) *structs.DocumentReply {
	h.lastCall++
	rec := structs.DocumentRecord{Service: "faq", Revision: revision, Text: documentHead + text}
	h.step(executor.DocumentCalled{Call: h.lastCall, Record: rec})
	return h.replies[h.lastCall].(*structs.DocumentReply)
}

func (h *harness) heartbeat(watermark uint64) {
	h.step(executor.HeartbeatCalled{Request: structs.HeartbeatRequest{
		Agent:     agentIncarnation,
		Entry:     structs.EntryInfo{Incarnation: home},
		Watermark: watermark,
	}})
}

func (h *harness) done(id structs.TaskID, v structs.Verdict, result string) {
	h.step(executor.TaskFinished{Task: id, Result: structs.TaskResult{Verdict: v, Body: []byte(result)}})
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(executor.Ticked{})
}

func task(seq uint64, index int) structs.TaskID {
	return structs.TaskID{Job: structs.JobID{Home: home, Seq: seq}, Index: index}
}

func ref(id structs.TaskID, attempt uint32) structs.TaskRef {
	return structs.TaskRef{Task: id, Attempt: attempt}
}

func request(id structs.TaskID, attempt uint32) structs.RunRequest {
	return structs.RunRequest{
		Agent:    agentIncarnation,
		Task:     id,
		Attempt:  attempt,
		JobTasks: 2,
		Spec:     structs.TaskSpec{Kind: "preview", ContentType: "text/plain", Payload: []byte("hello")},
		Service:  "faq",
		Team:     "shop",
		Timeout:  10 * time.Second,
	}
}
