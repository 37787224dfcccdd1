package executor_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	agentIncarnation structs.Incarnation = 1
	otherIncarnation structs.Incarnation = 2
)

var epoch = time.Date(2026, 3, 12, 9, 0, 0, 0, time.UTC)

// tightOptions sets most limits so low that a short history reaches them.
func tightOptions() executor.Options {
	opts := executor.DefaultOptions()
	opts.Name = "a1"
	opts.Service = "faq"
	opts.Incarnation = agentIncarnation
	opts.Slots = 1
	opts.MaxRecords = 5
	opts.MaxJobs = 3
	opts.MaxFences = 3
	opts.MaxHomes = 2
	opts.MaxWaiters = 2
	opts.MaxResultBytes = 60
	opts.MaxReplyBytes = 60
	opts.HomeIdleTimeout = 2 * time.Minute
	return opts
}

// startState is the model's state of a started task.
type startState struct {
	attempt      uint32
	running      bool
	provenNotRun bool // ended with the verdict NotRun
}

// model sends an Executor random requests, also repeated, delayed and reordered
// ones, from homes that do not follow the protocol. It checks the invariants in
// doc.go.
type model struct {
	opts         executor.Options
	exec         *executor.Executor
	now          time.Time
	lastCall     executor.CallID
	pending      map[executor.CallID]any // request of each call without a reply
	starts       map[structs.TaskID]*startState
	notRun       map[structs.TaskID]uint32 // newest attempt reported as NotRun or fenced
	sent         []any                     // all requests so far, for resend
	lastStateSeq uint64
	revision     uint64
	slots        int
	drained      bool
}

func newModel() *model {
	opts := tightOptions()
	return &model{
		opts:    opts,
		exec:    executor.New(opts),
		now:     epoch,
		slots:   opts.Slots,
		pending: make(map[executor.CallID]any),
		starts:  make(map[structs.TaskID]*startState),
		notRun:  make(map[structs.TaskID]uint32),
	}
}

func (m *model) send(t *rapid.T, req any) {
	m.sent = append(m.sent, req)
	m.lastCall++
	m.pending[m.lastCall] = req
	var ev executor.Event
	switch req := req.(type) {
	case structs.RunRequest:
		ev = executor.RunCalled{Call: m.lastCall, Request: req}
	case structs.AwaitRequest:
		ev = executor.AwaitCalled{Call: m.lastCall, Request: req}
	case structs.SettleRequest:
		ev = executor.SettleCalled{Call: m.lastCall, Request: req}
	case structs.FenceRequest:
		ev = executor.FenceCalled{Call: m.lastCall, Request: req}
	case structs.HeartbeatRequest:
		ev = executor.HeartbeatCalled{Call: m.lastCall, Request: req}
	case structs.DocumentRecord:
		ev = executor.DocumentCalled{Call: m.lastCall, Record: req}
	}
	m.step(t, ev)
}

func (m *model) step(t *rapid.T, ev executor.Event) {
	for _, ef := range m.exec.Step(m.now, ev) {
		switch ef := ef.(type) {
		case executor.StartTask:
			m.checkStart(t, ef)
		case executor.Reply:
			m.checkReply(t, ef)
		case executor.Announce:
			m.checkState(t, ef.State)
		case executor.Drained:
			m.drained = true
		}
	}
}

func (m *model) checkStart(t *rapid.T, ef executor.StartTask) {
	if s := m.starts[ef.Task]; s != nil && !s.provenNotRun {
		t.Fatalf("%v started twice", ef.Task)
	}
	if m.notRun[ef.Task] >= ef.Attempt {
		t.Fatalf("%v attempt %d started after it was reported as not run", ef.Task, ef.Attempt)
	}
	if m.drained {
		t.Fatalf("%v started after the agent had drained", ef.Task)
	}
	m.starts[ef.Task] = &startState{attempt: ef.Attempt, running: true}
	if n := m.running(); n > m.slots {
		t.Fatalf("%d tasks running on %d slots", n, m.slots)
	}
}

func (m *model) running() int {
	n := 0
	for _, s := range m.starts {
		if s.running {
			n++
		}
	}
	return n
}

func (m *model) checkNotRun(t *rapid.T, id structs.TaskID, attempt uint32) {
	if s := m.starts[id]; s != nil && !s.provenNotRun && s.attempt <= attempt {
		t.Fatalf("%v attempt %d reported as not run, but attempt %d started", id, attempt, s.attempt)
	}
	m.notRun[id] = max(m.notRun[id], attempt)
}

func (m *model) checkState(t *rapid.T, s structs.AgentState) {
	if s.Seq <= m.lastStateSeq {
		t.Fatalf("state sequence is %d after %d", s.Seq, m.lastStateSeq)
	}
	if s.Revision < m.revision {
		t.Fatalf("revision decreased from %d to %d", m.revision, s.Revision)
	}
	if s.Incarnation != agentIncarnation {
		t.Fatalf("state has incarnation %v", s.Incarnation)
	}
	m.lastStateSeq, m.revision, m.slots = s.Seq, s.Revision, s.Slots
}

func (m *model) checkReply(t *rapid.T, ef executor.Reply) {
	req, ok := m.pending[ef.Call]
	if !ok {
		t.Fatalf("reply to call %d, which has no pending request", ef.Call)
	}
	delete(m.pending, ef.Call)
	switch msg := ef.Message.(type) {
	case *structs.RunReply:
		m.checkState(t, msg.State)
		m.checkRunReply(t, req, msg)
	case *structs.SettleReply:
		m.checkState(t, msg.State)
		m.checkSettleReply(t, req, msg)
	case *structs.HeartbeatReply:
		m.checkState(t, msg.State)
	case *structs.DocumentReply:
		m.checkState(t, msg.State)
	}
}

func (m *model) checkRunReply(t *rapid.T, req any, msg *structs.RunReply) {
	var agent structs.Incarnation
	var ref structs.TaskRef
	switch req := req.(type) {
	case structs.RunRequest:
		agent, ref = req.Agent, structs.TaskRef{Task: req.Task, Attempt: req.Attempt}
	case structs.AwaitRequest:
		agent, ref = req.Agent, structs.TaskRef{Task: req.Task, Attempt: req.Attempt}
	}
	if agent != agentIncarnation {
		if msg.Result.Error == nil || msg.Result.Error.Code != structs.CodeStaleIncarnation {
			t.Fatalf("request for incarnation %v was not refused as stale", agent)
		}
		return
	}
	m.checkResult(t, ref.Task, &msg.Result)
	if msg.Result.Verdict == structs.NotRun {
		m.checkNotRun(t, ref.Task, ref.Attempt)
	}
}

// checkResult checks that a result belongs to the task, whose id the body names,
// and that its verdict agrees with the error and with the task's state.
func (m *model) checkResult(t *rapid.T, id structs.TaskID, res *structs.TaskResult) {
	if res.Index != id.Index {
		t.Fatalf("result has index %d, task is %v", res.Index, id)
	}
	if res.Verdict != structs.Ran && res.Error == nil {
		t.Fatalf("%v: verdict %v without an error", id, res.Verdict)
	}
	s := m.starts[id]
	if res.Verdict == structs.Ran && (s == nil || s.running) {
		t.Fatalf("%v reported as ran, but it has not started or has not finished", id)
	}
	if res.Error == nil && string(res.Body) != body(id) {
		t.Fatalf("%v has unexpected result body %q", id, res.Body)
	}
}

func (m *model) checkSettleReply(t *rapid.T, req any, msg *structs.SettleReply) {
	seen := make(map[structs.TaskID]bool)
	for i := range msg.Statuses {
		m.checkStatus(t, &msg.Statuses[i])
		seen[msg.Statuses[i].Task] = true
	}
	switch req := req.(type) {
	case structs.SettleRequest:
		m.checkSettleCoverage(t, &req, msg)
	case structs.FenceRequest:
		m.checkFence(t, &req, msg, seen)
	}
}

func (m *model) checkSettleCoverage(t *rapid.T, req *structs.SettleRequest, msg *structs.SettleReply) {
	want := len(req.Tasks)
	if req.Agent != agentIncarnation {
		want = 0
	}
	if len(msg.Statuses) != want {
		t.Fatalf("%d statuses for %d tasks", len(msg.Statuses), want)
	}
}

// checkFence checks the tasks without a status in the answer to a FenceRequest
// that closed the home: no attempt of theirs may have run or start later.
func (m *model) checkFence(t *rapid.T, req *structs.FenceRequest, msg *structs.SettleReply, seen map[structs.TaskID]bool) {
	if req.Agent != agentIncarnation || !req.Close || msg.Forgotten {
		return
	}
	for index := range maxIndex + 1 {
		if id := (structs.TaskID{Job: req.Job, Index: index}); !seen[id] {
			m.checkNotRun(t, id, ^uint32(0))
		}
	}
}

func (m *model) checkStatus(t *rapid.T, st *structs.TaskStatus) {
	s := m.starts[st.Task]
	switch st.Phase {
	case structs.TaskFenced:
		m.checkNotRun(t, st.Task, st.Attempt)
	case structs.TaskQueued:
		if s != nil && s.running {
			t.Fatalf("%v reported as queued, but it is running", st.Task)
		}
	case structs.TaskRunning:
		if s == nil {
			t.Fatalf("%v reported as running, but it has not started", st.Task)
		}
	case structs.TaskDone:
		m.checkResult(t, st.Task, &st.Result)
	default:
		t.Fatalf("%v has unexpected phase %v", st.Task, st.Phase)
	}
}

// checkBounds checks the limits and the state after each action.
func (m *model) checkBounds(t *rapid.T) {
	d := m.exec.Dump()
	o := &m.opts
	if d.Records > o.MaxRecords || d.Jobs > o.MaxJobs || d.Fences > o.MaxFences || d.Homes > o.MaxHomes || d.ResultBytes > o.MaxResultBytes {
		t.Fatalf("a limit is exceeded: %+v", d)
	}
	s := m.exec.State()
	m.checkState(t, s)
	if s.Running != m.running() {
		t.Fatalf("%d tasks running, but the state reports %d", m.running(), s.Running)
	}
	if s.Queued > 0 && s.Leaving {
		t.Fatalf("%d tasks queued at a leaving agent", s.Queued)
	}
	if s.Queued > 0 && s.Running < s.Slots {
		t.Fatalf("%d tasks queued while only %d of %d slots are in use", s.Queued, s.Running, s.Slots)
	}
}

const (
	firstHome  = 11
	lastHome   = 13
	lastJobSeq = 3
	maxIndex   = 1
)

// taskIDs holds the tasks that the model draws from.
var taskIDs = allTasks()

func allTasks() []structs.TaskID {
	var ids []structs.TaskID
	for home := firstHome; home <= lastHome; home++ {
		for seq := 1; seq <= lastJobSeq; seq++ {
			for index := range maxIndex + 1 {
				job := structs.JobID{Home: structs.Incarnation(home), Seq: uint64(seq)}
				ids = append(ids, structs.TaskID{Job: job, Index: index})
			}
		}
	}
	return ids
}

func body(id structs.TaskID) string { return "result of " + id.String() }

func drawTask(t *rapid.T) structs.TaskID {
	return rapid.SampledFrom(taskIDs).Draw(t, "task")
}

func drawRef(t *rapid.T) structs.TaskRef {
	return structs.TaskRef{Task: drawTask(t), Attempt: rapid.Uint32Range(1, 3).Draw(t, "attempt")}
}

func drawAgent(t *rapid.T) structs.Incarnation {
	return rapid.SampledFrom([]structs.Incarnation{agentIncarnation, agentIncarnation, agentIncarnation, agentIncarnation, agentIncarnation, otherIncarnation}).Draw(t, "agent")
}

func drawWatermark(t *rapid.T) uint64 {
	return rapid.SampledFrom([]uint64{0, 0, 0, 0, 1, 2, 3, 4}).Draw(t, "watermark")
}

func (m *model) runTask(t *rapid.T) {
	ref := drawRef(t)
	m.send(t, structs.RunRequest{
		Agent:     drawAgent(t),
		Task:      ref.Task,
		Attempt:   ref.Attempt,
		Spec:      structs.TaskSpec{Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"), Payload: []byte("p")},
		Service:   "faq",
		Timeout:   time.Duration(rapid.IntRange(0, 20).Draw(t, "timeout")) * time.Second,
		Watermark: drawWatermark(t),
	})
}

func (m *model) await(t *rapid.T) {
	ref := drawRef(t)
	m.send(t, structs.AwaitRequest{Agent: drawAgent(t), Task: ref.Task, Attempt: ref.Attempt})
}

func (m *model) settle(t *rapid.T) {
	m.send(t, structs.SettleRequest{
		Agent: drawAgent(t),
		Mode:  structs.SettleMode(rapid.IntRange(0, 2).Draw(t, "mode")),
		Tasks: rapid.SliceOfN(rapid.Custom(drawRef), 0, 4).Draw(t, "tasks"),
	})
}

func (m *model) fence(t *rapid.T) {
	m.send(t, structs.FenceRequest{Agent: drawAgent(t), Job: drawTask(t).Job, Close: rapid.Bool().Draw(t, "close")})
}

func (m *model) heartbeat(t *rapid.T) {
	m.send(t, structs.HeartbeatRequest{
		Agent:     drawAgent(t),
		Entry:     structs.EntryInfo{Incarnation: drawTask(t).Job.Home},
		Watermark: drawWatermark(t),
	})
}

func (m *model) document(t *rapid.T) {
	rev := rapid.Uint64Range(0, 20).Draw(t, "revision")
	text := rapid.SampledFrom([]string{
		"[limits]\nslots = 2\nqueue = 1\n",
		"[limits]\nslots = 3\n",
		"[accept]\nkinds = ['a']\n",
		"[leave]\nstop_canceled = true\n",
		"[leave]\nbackend_servers = ['a1']\n",
		"[leave]\ndrain = true\ngrace = '5s'\n",
		"not TOML",
	}).Draw(t, "text")
	m.send(t, structs.DocumentRecord{Service: "faq", Revision: rev, Text: documentHead + text})
}

func (m *model) resend(t *rapid.T) {
	if len(m.sent) > 0 {
		m.send(t, rapid.SampledFrom(m.sent).Draw(t, "request to resend"))
	}
}

func (m *model) finishAny(t *rapid.T) {
	for _, id := range taskIDs {
		if s := m.starts[id]; s != nil && s.running && rapid.Bool().Draw(t, "finish task") {
			m.finish(t, id, s)
			return
		}
	}
}

func (m *model) finish(t *rapid.T, id structs.TaskID, s *startState) {
	v := rapid.SampledFrom([]structs.Verdict{structs.Ran, structs.Ran, structs.Ran, structs.NotRun, structs.MayHaveRun}).Draw(t, "verdict")
	s.running = false
	s.provenNotRun = v == structs.NotRun
	res := structs.TaskResult{Index: id.Index, Verdict: v}
	if v == structs.Ran {
		res.Body = []byte(body(id))
	}
	m.step(t, executor.TaskFinished{Task: id, Result: res})
}

func (m *model) callClosed(t *rapid.T) {
	if m.lastCall == 0 {
		return
	}
	call := executor.CallID(rapid.Uint64Range(1, uint64(m.lastCall)).Draw(t, "call"))
	delete(m.pending, call)
	m.step(t, executor.CallClosed{Call: call})
}

func (m *model) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 10, 150}).Draw(t, "seconds")) * time.Second)
	m.step(t, executor.Ticked{})
}

func (m *model) leave(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
		m.step(t, executor.LeaveRequested{})
	}
}

// finishAll ends all running tasks and lets timeouts pass, after which every call
// must have a reply.
func (m *model) finishAll(t *rapid.T) {
	for range 100 {
		m.now = m.now.Add(time.Second)
		for _, id := range taskIDs {
			if s := m.starts[id]; s != nil && s.running {
				m.finish(t, id, s)
			}
		}
		m.step(t, executor.Ticked{})
	}
	if len(m.pending) > 0 {
		t.Fatalf("calls without a reply: %v", m.pending)
	}
}

// TestModel runs random histories against the invariants in doc.go. On failure it
// prints its seed, which the flag -rapid.seed replays. Rapid sorts the actions by
// name before it picks one, so a seed is valid only for this order of names.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"run":                 m.runTask,
			"run2":                m.runTask,
			"run3":                m.runTask,
			"await":               m.await,
			"settle":              m.settle,
			"fence":               m.fence,
			"heartbeat":           m.heartbeat,
			"document":            m.document,
			"again":               m.resend,
			"backendFinishesTask": m.finishAny,
			"callClosed":          m.callClosed,
			"tick":                m.tick,
			"leave":               m.leave,
			"":                    m.checkBounds,
		})
		m.finishAll(t)
	})
}
