package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	selfHome  = structs.Incarnation(0xe1)
	otherHome = structs.Incarnation(0xe2)
	agentA    = structs.Incarnation(0xa1)
	agentB    = structs.Incarnation(0xb1)
)

var startTime = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

// harness drives one coordinator and records events and effects in a
// transcript.
type harness struct {
	c          *Coordinator
	now        time.Time
	transcript strings.Builder
	seq        uint64
}

func newHarness() *harness {
	self := structs.EntryInfo{Name: "entry-1", Incarnation: selfHome}
	return &harness{c: New(Options{Self: self, Seed: 1}), now: startTime}
}

func (s *harness) section(format string, args ...any) {
	fmt.Fprintf(&s.transcript, "\n# "+format+"\n", args...)
}

// step applies an event and returns the effects.
func (s *harness) step(ev Event) []Effect {
	fmt.Fprintf(&s.transcript, "%6s > %s\n", s.now.Sub(startTime), describe(ev))
	effects := s.c.Step(s.now, ev)
	for _, eff := range effects {
		fmt.Fprintf(&s.transcript, "       < %s\n", describe(eff))
	}
	return effects
}

func (s *harness) advance(d time.Duration) *harness {
	s.now = s.now.Add(d)
	return s
}

func (s *harness) nextState(agent structs.Incarnation) structs.AgentState {
	s.seq++
	return structs.AgentState{Incarnation: agent, Slots: 2, Seq: s.seq, Revision: 1}
}

// addService adds the service with its document and agents.
func (s *harness) addService(agents ...structs.Incarnation) {
	doc := &document.Document{Service: "booking", Owner: "himalaya"}
	s.step(DocumentChanged{Record: structs.DocumentRecord{Service: "booking", Revision: 1}, Document: doc})
	for _, id := range agents {
		info := structs.AgentInfo{Name: "agent-" + id.String()[14:], Incarnation: id, Service: "booking", RPCAddr: "127.0.0.1:" + id.String()[14:], Slots: 2}
		s.step(AgentAnnounced{Info: info})
		s.step(AgentStateReceived{Agent: id, State: s.nextState(id)})
	}
}

func (s *harness) replyRan(agent structs.Incarnation, ref structs.TaskRef) []Effect {
	result := structs.TaskResult{Verdict: structs.Ran, Body: []byte("ok " + ref.Task.String())}
	return s.step(RunReplied{Agent: agent, Ref: ref, Reply: structs.RunReply{Result: result, State: s.nextState(agent)}})
}

func (s *harness) replyRefused(agent structs.Incarnation, ref structs.TaskRef, code structs.ErrorCode) []Effect {
	result := structs.TaskResult{Verdict: structs.NotRun, Error: structs.Errorf(code, structs.NotRun, "refused")}
	return s.step(RunReplied{Agent: agent, Ref: ref, Reply: structs.RunReply{Result: result, State: s.nextState(agent)}})
}

// placements returns the agent that each attempt among the effects was sent to.
func placements(effects []Effect) map[structs.TaskRef]structs.Incarnation {
	placed := make(map[structs.TaskRef]structs.Incarnation)
	for _, eff := range effects {
		if r, ok := eff.(Run); ok {
			placed[structs.TaskRef{Task: r.Request.Task, Attempt: r.Request.Attempt}] = r.Agent
		}
	}
	return placed
}

// findReply returns the first reply among the effects, or nil.
func findReply(effects []Effect) *Reply {
	for _, eff := range effects {
		if r, ok := eff.(Reply); ok {
			return &r
		}
	}
	return nil
}

func jobSpec(tasks int) structs.JobSpec {
	s := structs.JobSpec{Service: "booking", Team: "front-desk"}
	for i := range tasks {
		s.Tasks = append(s.Tasks, structs.TaskSpec{Kind: "hold", Payload: fmt.Appendf(nil, "slot %d", i)})
	}
	return s
}

func jobID(seq uint64) structs.JobID { return structs.JobID{Home: selfHome, Seq: seq} }

func taskRef(seq uint64, index int, attempt uint32) structs.TaskRef {
	return structs.TaskRef{Task: structs.TaskID{Job: jobID(seq), Index: index}, Attempt: attempt}
}

func TestEventsAndEffectsGolden(t *testing.T) {
	s := newHarness()
	s.section("the service has a document and one agent")
	s.addService(agentA)

	s.section("a job of two tasks runs")
	s.step(ReserveCalled{Call: 1, Count: 2})
	s.step(SubmitCalled{Call: 2, ID: jobID(1), Spec: jobSpec(2), Wait: true})
	s.advance(20*time.Millisecond).replyRan(agentA, taskRef(1, 1, 1))
	s.advance(5*time.Millisecond).replyRan(agentA, taskRef(1, 0, 1))

	s.section("a repeated submission returns the same job; different content is refused")
	s.step(SubmitCalled{Call: 3, ID: jobID(1), Spec: jobSpec(2)})
	s.step(SubmitCalled{Call: 4, ID: jobID(1), Spec: jobSpec(1)})

	s.section("the connection breaks while the agent runs a task; the task is awaited")
	s.step(SubmitCalled{Call: 5, ID: jobID(2), Spec: jobSpec(1), Wait: true})
	s.advance(time.Second).step(RunInDoubt{Agent: agentA, Ref: taskRef(2, 0, 1)})
	running := structs.TaskStatus{Task: taskRef(2, 0, 1).Task, Attempt: 1, Phase: structs.TaskRunning}
	s.step(SettleReplied{
		Agent: agentA,
		Tasks: []structs.TaskRef{taskRef(2, 0, 1)},
		Reply: structs.SettleReply{Statuses: []structs.TaskStatus{running}, State: s.nextState(agentA)},
	})
	s.advance(time.Second).replyRan(agentA, taskRef(2, 0, 1))

	s.section("the agent refuses a task, which is placed again under a new attempt")
	s.step(SubmitCalled{Call: 6, Spec: jobSpec(1), Wait: true})
	s.replyRefused(agentA, taskRef(3, 0, 1), structs.CodeOverloaded)
	s.advance(200 * time.Millisecond).step(Ticked{})
	s.replyRan(agentA, taskRef(3, 0, 2))

	s.section("the agent process is replaced while it holds a task")
	s.step(SubmitCalled{Call: 7, Spec: jobSpec(1), Wait: true})
	s.step(RunInDoubt{Agent: agentA, Ref: taskRef(4, 0, 1)})
	s.step(SettleReplied{
		Agent: agentA,
		Tasks: []structs.TaskRef{taskRef(4, 0, 1)},
		Reply: structs.SettleReply{State: s.nextState(agentB)},
	})
	s.advance(100 * time.Millisecond).step(Ticked{})

	s.section("the service has no agent, then the entry leaves")
	s.step(SubmitCalled{Call: 8, Spec: jobSpec(1)})
	s.step(LeaveRequested{})
	s.step(ReserveCalled{Call: 9, Count: 1})

	goldie.New(t).Assert(t, "session", []byte(s.transcript.String()))
}

// describe formats an event or effect.
func describe(v any) string {
	name := strings.TrimPrefix(fmt.Sprintf("%T", v), "coordinator.")
	switch e := v.(type) {
	case SubmitCalled:
		return fmt.Sprintf("%s call=%d id=%s tasks=%d wait=%t", name, e.Call, e.ID, len(e.Spec.Tasks), e.Wait)
	case RunReplied:
		return fmt.Sprintf("%s agent=%s %s %s", name, e.Agent, refText(e.Ref), resultText(&e.Reply.Result))
	case RunInDoubt:
		return fmt.Sprintf("%s agent=%s %s", name, e.Agent, refText(e.Ref))
	case SettleReplied:
		text := fmt.Sprintf("%s agent=%s from=%s", name, e.Agent, e.Reply.State.Incarnation)
		for _, st := range e.Reply.Statuses {
			text += fmt.Sprintf(" %s#%d=%s", st.Task, st.Attempt, st.Phase)
		}
		return text
	case DocumentChanged:
		return fmt.Sprintf("%s service=%s revision=%d", name, e.Record.Service, e.Record.Revision)
	case AgentAnnounced:
		return fmt.Sprintf("%s agent=%s name=%s", name, e.Info.Incarnation, e.Info.Name)
	case AgentStateReceived:
		return fmt.Sprintf("%s agent=%s seq=%d", name, e.Agent, e.State.Seq)
	case ReplyIDs:
		return fmt.Sprintf("%s call=%d ids=%v error=%v", name, e.Call, e.IDs, errorText(e.Error))
	case Reply:
		return fmt.Sprintf("%s call=%d %s", name, e.Call, replyText(&e))
	case Run:
		return fmt.Sprintf("%s agent=%s %s revision=%d watermark=%d", name, e.Agent,
			refText(structs.TaskRef{Task: e.Request.Task, Attempt: e.Request.Attempt}), e.Request.Revision, e.Request.Watermark)
	case Await:
		return fmt.Sprintf("%s agent=%s %s", name, e.Agent, refText(e.Ref))
	case Settle:
		return fmt.Sprintf("%s agent=%s mode=%d tasks=%v", name, e.Agent, e.Request.Mode, e.Request.Tasks)
	case ConnectAgent:
		return fmt.Sprintf("%s agent=%s", name, e.Info.Incarnation)
	case LogEvent:
		return fmt.Sprintf("%s %s %s", name, e.Event, e.Detail)
	}
	return fmt.Sprintf("%s %+v", name, v)
}

func refText(ref structs.TaskRef) string {
	return fmt.Sprintf("task=%s attempt=%d", ref.Task, ref.Attempt)
}

func resultText(r *structs.TaskResult) string {
	return fmt.Sprintf("verdict=%s body=%q error=%s", r.Verdict, r.Body, errorText(r.Error))
}

func errorText(err *structs.Error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}

func replyText(r *Reply) string {
	if r.Answer == nil {
		return "error=" + errorText(r.Error)
	}
	text := fmt.Sprintf("id=%s state=%s done=%d/%d error=%s", r.Answer.ID, r.Answer.State, r.Answer.Done, r.Answer.Total, errorText(r.Answer.Error))
	for i := range r.Answer.Results {
		text += fmt.Sprintf("\n           [%d] %s", i, resultText(&r.Answer.Results[i]))
	}
	return text
}

func TestRefusedJobIDCannotBeSubmittedAgain(t *testing.T) {
	g := NewWithT(t)
	s := newHarness()
	s.step(ReserveCalled{Call: 1, Count: 1})
	first := findReply(s.step(SubmitCalled{Call: 2, ID: jobID(1), Spec: jobSpec(1)}))
	g.Expect(first.Error.Verdict).To(Equal(structs.NotRun))
	s.addService(agentA)
	again := s.step(SubmitCalled{Call: 3, ID: jobID(1), Spec: jobSpec(1)})
	g.Expect(placements(again)).To(BeEmpty())
	g.Expect(findReply(again).Error.Verdict).To(Equal(structs.NotRun))
}

func TestExpiredIDNeverStarts(t *testing.T) {
	g := NewWithT(t)
	s := newHarness()
	s.addService(agentA)
	s.step(ReserveCalled{Call: 1, Count: 1})
	s.advance(defaultReservationTTL + time.Second).step(Ticked{})
	late := s.step(SubmitCalled{Call: 2, ID: jobID(1), Spec: jobSpec(1)})
	g.Expect(placements(late)).To(BeEmpty())
	g.Expect(findReply(late).Error.Code).To(Equal(structs.CodeExpired))
}

func TestCanceledJobIDCannotBeSubmitted(t *testing.T) {
	g := NewWithT(t)
	s := newHarness()
	s.addService(agentA)
	s.step(ReserveCalled{Call: 1, Count: 1})
	s.step(CancelCalled{Call: 2, ID: jobID(1)})
	g.Expect(placements(s.step(SubmitCalled{Call: 3, ID: jobID(1), Spec: jobSpec(1)}))).To(BeEmpty())
}
