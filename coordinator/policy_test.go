package coordinator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// fakeServer is an agent with its backend server: it runs what it has slots
// for and refuses the rest.
type fakeServer struct {
	id       structs.Incarnation
	slots    int
	takes    time.Duration
	failing  bool // answers with an error at once
	errs     bool // answers with an error when it is done
	declines bool // refuses everything as not run
	stalled  bool
	running  []fakeTask
	waiting  []fakeTask
	runs     int
}

type fakeTask struct {
	ref  structs.TaskRef
	ends time.Time
}

// fleet drives one coordinator against fake servers in steps of time.
type fleet struct {
	*session
	servers  map[structs.Incarnation]*fakeServer
	order    []*fakeServer
	calls    CallID
	final    map[CallID]*Reply
	settles  int
	dispatch int
}

const fleetStep = 5 * time.Millisecond

func newFleet(doc *document.Document, servers ...*fakeServer) *fleet {
	f := &fleet{session: newSession(), servers: make(map[structs.Incarnation]*fakeServer), final: make(map[CallID]*Reply)}
	if doc == nil {
		doc = &document.Document{}
	}
	doc.Service, doc.Owner = "booking", "himalaya"
	f.do(DocumentChanged{Record: structs.DocumentRecord{Service: "booking", Revision: 1}, Document: doc})
	for i, s := range servers {
		s.id = structs.Incarnation(i + 1)
		f.servers[s.id] = s
		f.order = append(f.order, s)
		f.do(AgentAnnounced{Info: structs.AgentInfo{Name: fmt.Sprint(i), Incarnation: s.id, Service: "booking", RPCAddr: fmt.Sprint(i), Slots: s.slots}})
	}
	return f
}

func equalServers(n int) []*fakeServer {
	list := make([]*fakeServer, n)
	for i := range list {
		list[i] = &fakeServer{slots: 8, takes: 100 * time.Millisecond}
	}
	return list
}

// do steps the coordinator and carries the effects out.
func (f *fleet) do(ev Event) {
	for _, eff := range f.c.Step(f.now, ev) {
		switch e := eff.(type) {
		case Reply:
			f.final[e.Call] = &e
		case Run:
			f.dispatch++
			f.servers[e.Agent].accept(f, structs.TaskRef{Task: e.Request.Task, Attempt: e.Request.Attempt})
		case Heartbeat:
			f.do(AgentStateReceived{Agent: e.Agent, State: f.servers[e.Agent].state(f)})
		case Settle:
			f.settles++
			f.settle(e)
		}
	}
}

func (s *fakeServer) accept(f *fleet, ref structs.TaskRef) {
	s.runs++
	s.waiting = append(s.waiting, fakeTask{ref: ref})
	s.startNext(f.now)
}

func (s *fakeServer) startNext(now time.Time) {
	for len(s.waiting) > 0 && len(s.running) < s.slots {
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		t.ends = now.Add(s.takes)
		s.running = append(s.running, t)
	}
}

func (s *fakeServer) state(f *fleet) structs.AgentState {
	f.seq++
	return structs.AgentState{Incarnation: s.id, Slots: s.slots, Running: len(s.running), Queued: len(s.waiting), Seq: f.seq, Revision: 1}
}

// settle answers a recall: what waits is given back.
func (f *fleet) settle(e Settle) {
	s := f.servers[e.Agent]
	reply := structs.SettleReply{}
	for _, ref := range e.Request.Tasks {
		phase := structs.TaskFenced
		for _, t := range s.running {
			if t.ref == ref {
				phase = structs.TaskRunning
			}
		}
		for i, t := range s.waiting {
			if t.ref == ref {
				s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
				break
			}
		}
		reply.Statuses = append(reply.Statuses, structs.TaskStatus{Task: ref.Task, Attempt: ref.Attempt, Phase: phase})
	}
	reply.State = s.state(f)
	f.do(SettleReplied{Agent: e.Agent, Tasks: e.Request.Tasks, Reply: reply})
}

// run lets time pass, with each called before every step.
func (f *fleet) run(d time.Duration, each func()) {
	for until := f.now.Add(d); f.now.Before(until); {
		if each != nil {
			each()
		}
		f.now = f.now.Add(fleetStep)
		for _, s := range f.order {
			s.finish(f)
		}
		f.do(Ticked{})
	}
}

func (s *fakeServer) finish(f *fleet) {
	if s.stalled {
		return
	}
	tasks := s.running
	s.running = nil
	for _, t := range tasks {
		if t.ends.After(f.now) && !s.failing && !s.declines {
			s.running = append(s.running, t)
			continue
		}
		f.do(RunReplied{Agent: s.id, Ref: t.ref, Reply: s.outcome(f)})
	}
	s.startNext(f.now)
}

func (s *fakeServer) outcome(f *fleet) structs.RunReply {
	result := structs.TaskResult{Verdict: structs.Ran}
	switch {
	case s.declines:
		result = structs.TaskResult{Verdict: structs.NotRun, Error: structs.Errorf(structs.CodeOverloaded, structs.NotRun, "declined")}
	case s.failing, s.errs:
		result.Error = structs.Errorf(structs.CodeBackend, structs.Ran, "failed")
	}
	reply := structs.RunReply{Result: result, State: s.state(f)}
	if result.Verdict == structs.Ran {
		reply.ServiceTime = s.takes
	}
	return reply
}

// submit sends a job and returns its call.
func (f *fleet) submit(team string, tasks int) CallID {
	sp := spec(tasks)
	sp.Team = team
	return f.submitSpec(sp)
}

func (f *fleet) submitSpec(sp structs.JobSpec) CallID {
	f.calls++
	call := f.calls
	f.do(SubmitCalled{Call: call, Spec: sp, Wait: true})
	return call
}

// refusal returns the error that a call got, or nil.
func (f *fleet) refusal(call CallID) *structs.Error {
	if r := f.final[call]; r != nil {
		return r.Error
	}
	return nil
}

func (f *fleet) complete(call CallID) bool {
	r := f.final[call]
	return r != nil && r.Answer != nil && r.Answer.State == structs.JobComplete
}

func TestHoldDoesNotWaitBehindBurst(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(nil, equalServers(2)...)
	f.submit("front-desk", 20)
	f.run(time.Second, nil)
	burst := f.submit("front-desk", structs.MaxTasksPerJob)
	f.run(500*time.Millisecond, nil)
	hold := f.submit("front-desk", 1)
	f.run(300*time.Millisecond, nil)
	g.Expect(f.complete(hold)).To(BeTrue())
	g.Expect(f.complete(burst)).To(BeFalse())
	f.run(10*time.Second, nil)
	g.Expect(f.complete(burst)).To(BeTrue())
}

func TestFloodingTeamDoesNotShutOthersOut(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(nil, equalServers(2)...)
	var flood, desk []CallID
	steps := 0
	f.run(5*time.Second, func() {
		flood = append(flood, f.submit("flood", 20))
		if steps++; steps%20 == 0 {
			desk = append(desk, f.submit("desk", 2))
		}
	})
	f.run(2*time.Second, nil)
	for _, call := range desk {
		g.Expect(f.complete(call)).To(BeTrue(), "%v", f.refusal(call))
	}
	refused := 0
	for _, call := range flood {
		if err := f.refusal(call); err != nil {
			refused++
			g.Expect(err.Verdict).To(Equal(structs.NotRun))
			g.Expect(err.RetryAfter).To(BeNumerically(">", 0))
		}
	}
	g.Expect(refused).To(BeNumerically(">", len(flood)/2))
}

func TestOverloadKeepsGoodputAndRetryAfterHolds(t *testing.T) {
	for _, factor := range []int{2, 3} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(nil, equalServers(2)...)
			f.submit("a", 16)
			f.run(time.Second, nil)
			type back struct {
				spec structs.JobSpec
				at   time.Time
			}
			var calls []CallID
			var due []back
			returned, again, job := 0, 0, 0
			send := func(sp structs.JobSpec, first bool) {
				call := f.submitSpec(sp)
				calls = append(calls, call)
				err := f.refusal(call)
				if !first {
					returned++
				}
				if err == nil {
					return
				}
				if !first {
					again++
				}
				due = append(due, back{sp, f.now.Add(err.RetryAfter)})
			}
			// 160 tasks a second is the capacity: 16 slots of 100 ms.
			steps := 0
			f.run(10*time.Second, func() {
				waiting := due
				due = nil
				for _, b := range waiting {
					if b.at.After(f.now) {
						due = append(due, b)
						continue
					}
					send(b.spec, false)
				}
				for steps += factor * 160; steps >= 200; steps -= 200 {
					job++
					sp := spec(1)
					sp.Tasks[0].Payload = fmt.Append(nil, job)
					send(sp, true)
				}
			})
			complete := 0
			for _, call := range calls {
				if f.complete(call) {
					complete++
				}
			}
			t.Logf("%d complete of 1600 possible, %d returned, %d refused again", complete, returned, again)
			g.Expect(complete).To(BeNumerically(">", 1600*9/10))
			g.Expect(again).To(BeNumerically("<", returned/4))
		})
	}
}

func TestDeadlineAwareAdmission(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(nil, equalServers(1)...)
	f.submit("a", 16)
	f.run(time.Second, nil)
	f.submit("a", 60)
	late := spec(60)
	late.Timeout = 500 * time.Millisecond
	err := f.refusal(f.submitSpec(late))
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Code).To(Equal(structs.CodeOverloaded))
	g.Expect(err.Verdict).To(Equal(structs.NotRun))
}

func TestJobThatCanNeverRunIsRefusedAtOnce(t *testing.T) {
	doc := &document.Document{
		Accept: document.Accept{Kinds: []string{"hold"}, MaxTasksPerJob: 100},
		Teams:  map[string]document.Quota{"front-desk": {MaxOpenTasks: 50}},
	}
	f := newFleet(doc, equalServers(1)...)
	other := spec(1)
	other.Tasks[0].Kind = "publish"
	for name, sp := range map[string]structs.JobSpec{"kind": other, "tasks": spec(101), "open tasks": spec(51)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			err := f.refusal(f.submitSpec(sp))
			g.Expect(err).NotTo(BeNil())
			g.Expect(err.Code).To(Equal(structs.CodeRejected))
			g.Expect(err.Verdict).To(Equal(structs.NotRun))
			g.Expect(err.RetryAfter).To(BeZero())
			g.Expect(err.Message).NotTo(BeEmpty())
		})
	}
	g := NewWithT(t)
	empty := newFleet(nil)
	err := empty.refusal(empty.submit("front-desk", 1))
	g.Expect(err.Code).To(Equal(structs.CodeUnavailable))
	g.Expect(err.RetryAfter).To(BeNumerically(">", 0))
}

func TestRetriesStayWithinBudget(t *testing.T) {
	g := NewWithT(t)
	servers := equalServers(100)
	f := newFleet(nil, servers...)
	var calls []CallID
	submit := func() { calls = append(calls, f.submit("a", 1)) }
	f.run(2*time.Second, submit)
	before := f.c.services["booking"].retries.Counts()
	for _, s := range servers[:50] {
		s.declines = true
	}
	f.run(5*time.Second, submit)
	after := f.c.services["booking"].retries.Counts()
	// The default share is 0.2, 64 are held in reserve, and 10 a second come
	// without a success.
	ran := float64(after.Successes - before.Successes)
	t.Logf("%v ran, %d retries, %d denied", ran, after.Retries-before.Retries, after.Denied-before.Denied)
	g.Expect(after.Retries - before.Retries).To(BeNumerically("<=", 0.2*ran+64+5*10))
	for _, s := range servers[:50] {
		s.declines = false
	}
	f.run(3*time.Second, nil)
	for _, call := range calls {
		g.Expect(f.complete(call)).To(BeTrue(), "%v", f.refusal(call))
	}
}

func TestCancelWaveIsBatched(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(nil, equalServers(4)...)
	for range 200 {
		f.submit("a", 4)
	}
	dispatched := f.dispatch
	f.settles = 0
	for seq := range uint64(200) {
		f.do(CancelCalled{Call: CallID(1000 + seq), ID: jobID(seq + 1)})
	}
	f.run(time.Second, nil)
	g.Expect(dispatched).To(BeNumerically("<=", 4*9))
	g.Expect(f.settles).To(BeNumerically("<=", dispatched))
	g.Expect(f.dispatch).To(BeNumerically("<", 200), "what waits never starts")
	complete := 0
	for seq := range uint64(200) {
		answer := f.final[CallID(1000+seq)].Answer
		g.Expect(answer.State.Final()).To(BeTrue())
		if answer.State == structs.JobComplete {
			complete++
		}
	}
	g.Expect(complete).To(BeNumerically("<=", dispatched/4), "only jobs whose every task had started")
}

func TestFaultyServerGetsLittle(t *testing.T) {
	faults := map[string]func(*fakeServer){
		"ten times slower": func(s *fakeServer) { s.takes *= 10 },
		"fails at once":    func(s *fakeServer) { s.failing = true },
		"fails slowly":     func(s *fakeServer) { s.errs, s.takes = true, 3*s.takes },
		"stalls":           func(s *fakeServer) { s.stalled = true },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			servers := equalServers(6)
			f := newFleet(nil, servers...)
			submit := func() { f.submit("a", 1) }
			f.run(3*time.Second, submit)
			fault(servers[0])
			sent, total := servers[0].runs, f.dispatch
			f.run(10*time.Second, submit)
			g.Expect(servers[0].runs - sent).To(BeNumerically("<", (f.dispatch-total)/30))
		})
	}
}

// What counts of a server is learned from its answers, whether declared times
// are right, ten times too short, ten times too long, or both in turn. Half of
// the servers are five times slower; they have a sixth of the capacity, and get
// less than that of a load which the others could carry.
func TestDeclaredTimesDoNotMislead(t *testing.T) {
	for name, declared := range map[string][]time.Duration{
		"right":     {100 * time.Millisecond},
		"too short": {10 * time.Millisecond},
		"too long":  {time.Second},
		"both":      {10 * time.Millisecond, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			servers := equalServers(8)
			for _, s := range servers[:4] {
				s.takes *= 5
			}
			f := newFleet(nil, servers...)
			jobs := 0
			f.run(10*time.Second, func() {
				sp := spec(1)
				sp.Tasks[0].Declared = declared[jobs%len(declared)]
				f.submitSpec(sp)
				jobs++
			})
			slow := 0
			for _, s := range servers[:4] {
				slow += s.runs
			}
			NewWithT(t).Expect(slow).To(BeNumerically("<", jobs/6))
		})
	}
}

func TestQueuedTasksAreRecalledFromStraggler(t *testing.T) {
	g := NewWithT(t)
	servers := equalServers(2)
	f := newFleet(nil, servers...)
	f.submit("a", 16)
	f.run(time.Second, nil)
	// Another entry's tasks fill the first server, which then stalls.
	servers[0].stalled = true
	for range 8 {
		servers[0].running = append(servers[0].running, fakeTask{})
	}
	hold := f.submit("a", 1)
	calls := []CallID{hold}
	for range 8 {
		calls = append(calls, f.submit("a", 1))
	}
	f.run(2*time.Second, nil)
	for _, call := range calls {
		g.Expect(f.complete(call)).To(BeTrue())
	}
}
