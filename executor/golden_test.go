package executor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// transcript steps an Executor and records its events and effects, one line each.
type transcript struct {
	exec *executor.Executor
	now  time.Time
	call executor.CallID
	text strings.Builder
}

func (s *transcript) step(ev executor.Event) {
	fmt.Fprintf(&s.text, "%6v  %s\n", s.now.Sub(epoch), describeEvent(ev))
	for _, ef := range s.exec.Step(s.now, ev) {
		fmt.Fprintf(&s.text, "        -> %s\n", describeEffect(ef))
	}
}

func (s *transcript) advance(d time.Duration) { s.now = s.now.Add(d) }

func (s *transcript) nextCall() executor.CallID {
	s.call++
	return s.call
}

func (s *transcript) title(text string) { fmt.Fprintf(&s.text, "\n# %s\n", text) }

func (s *transcript) run(id structs.TaskID, attempt uint32) {
	s.step(executor.RunCalled{Call: s.nextCall(), Request: request(id, attempt)})
}

func (s *transcript) settle(mode structs.SettleMode, refs ...structs.TaskRef) {
	req := structs.SettleRequest{Agent: agentIncarnation, Home: home, Mode: mode, Tasks: refs}
	s.step(executor.SettleCalled{Call: s.nextCall(), Request: req})
}

func (s *transcript) document(revision uint64, text string) {
	rec := structs.DocumentRecord{Service: "faq", Revision: revision, Text: documentHead + text}
	s.step(executor.DocumentCalled{Call: s.nextCall(), Record: rec})
}

func (s *transcript) done(id structs.TaskID, res structs.TaskResult) {
	s.step(executor.TaskFinished{Task: id, Result: res, ServiceTime: 80 * time.Millisecond})
}

func describeEvent(ev executor.Event) string {
	switch ev := ev.(type) {
	case executor.RunCalled:
		r := &ev.Request
		return fmt.Sprintf("RunCalled call=%d agent=%v task=%v attempt=%d timeout=%v watermark=%d", ev.Call, r.Agent, r.Task, r.Attempt, r.Timeout, r.Watermark)
	case executor.AwaitCalled:
		return fmt.Sprintf("AwaitCalled call=%d task=%v attempt=%d", ev.Call, ev.Request.Task, ev.Request.Attempt)
	case executor.SettleCalled:
		return fmt.Sprintf("SettleCalled call=%d mode=%d tasks=%s", ev.Call, ev.Request.Mode, describeRefs(ev.Request.Tasks))
	case executor.FenceCalled:
		return fmt.Sprintf("FenceCalled call=%d job=%v close=%v", ev.Call, ev.Request.Job, ev.Request.Close)
	case executor.HeartbeatCalled:
		return fmt.Sprintf("HeartbeatCalled call=%d entry=%v watermark=%d", ev.Call, ev.Request.Entry.Incarnation, ev.Request.Watermark)
	case executor.DocumentCalled:
		return fmt.Sprintf("DocumentCalled call=%d revision=%d %q", ev.Call, ev.Record.Revision, ev.Record.Text)
	case executor.TaskFinished:
		return fmt.Sprintf("TaskFinished task=%v %s", ev.Task, describeResult(&ev.Result))
	case executor.CallClosed:
		return fmt.Sprintf("CallClosed call=%d", ev.Call)
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", ev), "executor.")
}

func describeEffect(ef executor.Effect) string {
	switch ef := ef.(type) {
	case executor.StartTask:
		return fmt.Sprintf("StartTask task=%v attempt=%d kind=%s payload=%q team=%s timeout=%v", ef.Task, ef.Attempt, ef.Spec.Kind, ef.Spec.Payload, ef.Team, ef.Timeout)
	case executor.StopTask:
		return fmt.Sprintf("StopTask task=%v", ef.Task)
	case executor.Reply:
		return fmt.Sprintf("Reply call=%d %s", ef.Call, describeMessage(ef.Message))
	case executor.Announce:
		return "Announce " + describeState(ef.State)
	case executor.LogEvent:
		return fmt.Sprintf("LogEvent %s %s", ef.Event, ef.Detail)
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", ef), "executor.")
}

func describeMessage(message any) string {
	switch msg := message.(type) {
	case *structs.RunReply:
		return describeResult(&msg.Result) + " " + describeState(msg.State)
	case *structs.SettleReply:
		var b strings.Builder
		for i := range msg.Statuses {
			st := &msg.Statuses[i]
			fmt.Fprintf(&b, "%v@%d=%v ", st.Task, st.Attempt, st.Phase)
		}
		return fmt.Sprintf("%sforgotten=%v %s", b.String(), msg.Forgotten, describeState(msg.State))
	case *structs.HeartbeatReply:
		return describeState(msg.State)
	case *structs.DocumentReply:
		return fmt.Sprintf("revision=%d %s", msg.Record.Revision, describeState(msg.State))
	}
	return fmt.Sprintf("%T", message)
}

func describeResult(res *structs.TaskResult) string {
	if res.Error != nil {
		return fmt.Sprintf("verdict=%v code=%s", res.Verdict, res.Error.Code)
	}
	return fmt.Sprintf("verdict=%v body=%q", res.Verdict, res.Body)
}

func describeState(s structs.AgentState) string {
	text := fmt.Sprintf("[seq=%d running=%d queued=%d slots=%d revision=%d", s.Seq, s.Running, s.Queued, s.Slots, s.Revision)
	if s.Leaving {
		text += " leaving"
	}
	return text + "]"
}

func describeRefs(refs []structs.TaskRef) string {
	names := make([]string, len(refs))
	for i, r := range refs {
		names[i] = fmt.Sprintf("%v@%d", r.Task, r.Attempt)
	}
	return strings.Join(names, ",")
}

func ran(text string) structs.TaskResult {
	return structs.TaskResult{Verdict: structs.Ran, Body: []byte(text)}
}

func failed(code structs.ErrorCode, v structs.Verdict) structs.TaskResult {
	return structs.TaskResult{Verdict: v, Error: structs.Errorf(code, v, "outcome of the backend call")}
}

// TestGoldenSession compares the effects of one agent incarnation, from its first
// document to its graceful shutdown, with testdata/session.golden. The flag
// -update rewrites that file.
func TestGoldenSession(t *testing.T) {
	s := &transcript{exec: executor.New(testOptions()), now: epoch}

	s.title("A document takes effect; an older revision does not.")
	s.document(2, "[limits]\nslots = 1\nqueue = 2\n")
	s.document(1, "")

	s.title("One task runs, two are queued, a fourth is refused.")
	for i := range 4 {
		s.run(task(1, i), 1)
	}

	s.title("The first task is requested again while it runs and after it has finished.")
	s.run(task(1, 0), 1)
	s.advance(80 * time.Millisecond)
	s.done(task(1, 0), ran("answer 0"))
	s.step(executor.AwaitCalled{Call: s.nextCall(), Request: structs.AwaitRequest{Agent: agentIncarnation, Task: task(1, 0), Attempt: 1}})

	s.title("A caller disconnects; over a new connection the home settles its open tasks and recalls a queued one.")
	s.step(executor.CallClosed{Call: 4})
	s.settle(structs.SettleQuery, ref(task(1, 1), 1), ref(task(1, 2), 1), ref(task(1, 4), 1))
	s.settle(structs.SettleRecall, ref(task(1, 2), 1))

	s.title("A late Run of a fenced attempt is refused; the next attempt is queued.")
	s.run(task(1, 4), 1)
	s.run(task(1, 4), 2)

	s.title("The backend server declines one task; the call of another fails.")
	s.advance(20 * time.Millisecond)
	s.done(task(1, 1), failed(structs.CodeUnavailable, structs.NotRun))
	s.done(task(1, 4), failed(structs.CodeBackend, structs.MayHaveRun))

	s.title("A Run for another incarnation is refused.")
	stale := request(task(1, 5), 1)
	stale.Agent = otherIncarnation
	s.step(executor.RunCalled{Call: s.nextCall(), Request: stale})

	s.title("The home settles the job; a late Run then finds no record of its task.")
	s.step(executor.HeartbeatCalled{Call: s.nextCall(), Request: structs.HeartbeatRequest{
		Agent: agentIncarnation, Entry: structs.EntryInfo{Incarnation: home}, Watermark: 2,
	}})
	s.run(task(1, 0), 1)

	s.title("The home crashes; another entry fences it and asks for the statuses of its job.")
	s.run(task(2, 0), 1)
	s.run(task(2, 1), 1)
	s.step(executor.FenceCalled{Call: s.nextCall(), Request: structs.FenceRequest{Agent: agentIncarnation, Job: task(2, 0).Job, Close: true}})
	s.run(task(3, 0), 1)

	s.title("The agent stops gracefully, after the running task has finished.")
	s.step(executor.LeaveRequested{})
	s.advance(time.Second)
	s.done(task(2, 0), ran("answer 2"))
	s.step(executor.Ticked{})

	goldie.New(t).Assert(t, "session", []byte(s.text.String()))
}
