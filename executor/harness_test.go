package executor_test

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// documentHead is what every document begins with.
const documentHead = "service = 'faq'\nowner = 'faq-team'\n"

const home structs.Incarnation = 11

// harness steps an Executor and sorts its effects.
type harness struct {
	exec     *executor.Executor
	now      time.Time
	calls    executor.CallID
	replies  map[executor.CallID]any
	started  []structs.TaskRef
	stopped  []structs.TaskID
	announce []structs.AgentState
	drained  int
}

func testOptions() executor.Options {
	opts := executor.DefaultOptions()
	opts.Name = "a1"
	opts.Service = "faq"
	opts.Incarnation = me
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
			h.announce = append(h.announce, ef.State)
		case executor.Drained:
			h.drained++
		}
	}
}

// run sends a Run and returns its call.
func (h *harness) run(req structs.RunRequest) executor.CallID {
	h.calls++
	h.step(executor.RunCalled{Call: h.calls, Request: req})
	return h.calls
}

// result returns the outcome that a call of Run or Await got, or nil.
func (h *harness) result(call executor.CallID) *structs.TaskResult {
	if msg, ok := h.replies[call].(*structs.RunReply); ok {
		return &msg.Result
	}
	return nil
}

func (h *harness) await(id structs.TaskID, attempt uint32) executor.CallID {
	h.calls++
	h.step(executor.AwaitCalled{Call: h.calls, Request: structs.AwaitRequest{Agent: me, Task: id, Attempt: attempt}})
	return h.calls
}

func (h *harness) settle(mode structs.SettleMode, refs ...structs.TaskRef) *structs.SettleReply {
	h.calls++
	h.step(executor.SettleCalled{Call: h.calls, Request: structs.SettleRequest{Agent: me, Home: home, Mode: mode, Tasks: refs}})
	return h.replies[h.calls].(*structs.SettleReply)
}

func (h *harness) fence(job structs.JobID) *structs.SettleReply {
	h.calls++
	h.step(executor.FenceCalled{Call: h.calls, Request: structs.FenceRequest{Agent: me, Job: job, Close: true}})
	return h.replies[h.calls].(*structs.SettleReply)
}

func (h *harness) document(revision uint64, text string) *structs.DocumentReply {
	h.calls++
	rec := structs.DocumentRecord{Service: "faq", Revision: revision, Text: documentHead + text}
	h.step(executor.DocumentCalled{Call: h.calls, Record: rec})
	return h.replies[h.calls].(*structs.DocumentReply)
}

func (h *harness) heartbeat(watermark uint64) {
	h.step(executor.HeartbeatCalled{Request: structs.HeartbeatRequest{
		Agent:     me,
		Entry:     structs.EntryInfo{Incarnation: home},
		Watermark: watermark,
	}})
}

func (h *harness) done(id structs.TaskID, v structs.Verdict, result string) {
	h.step(executor.TaskFinished{Task: id, Result: structs.TaskResult{Verdict: v, Body: []byte(result)}})
}

func (h *harness) wait(d time.Duration) {
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
		Agent:    me,
		Task:     id,
		Attempt:  attempt,
		JobTasks: 2,
		Spec:     structs.TaskSpec{Kind: "preview", ContentType: "text/plain", Payload: []byte("hello")},
		Service:  "faq",
		Team:     "shop",
		Timeout:  10 * time.Second,
	}
}
