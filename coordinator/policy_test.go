package coordinator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/retry"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// fakeServer simulates an agent with its backend server. It runs as many tasks
// as it has slots and queues the rest.
type fakeServer struct {
	id            structs.Incarnation
	slots         int
	serviceTime   time.Duration
	failsAtOnce   bool // answers with an error at once
	failsWhenDone bool // answers with an error when the task ends
	refuses       bool // refuses every task as not run
	stalled       bool
	running       []fakeTask
	waiting       []fakeTask
	accepted      int
}

type fakeTask struct {
	ref  structs.TaskRef
	ends time.Time
}

// simulation drives one coordinator against fake servers in fixed time steps.
type simulation struct {
	*harness
	servers       map[structs.Incarnation]*fakeServer
	serverList    []*fakeServer
	calls         CallID
	replies       map[CallID]*Reply
	settleCount   int
	dispatchCount int
}

const simulationStep = 5 * time.Millisecond

func newSimulation(doc *document.Document, servers ...*fakeServer) *simulation {
	f := &simulation{harness: newHarness(), servers: make(map[structs.Incarnation]*fakeServer), replies: make(map[CallID]*Reply)}
	if doc == nil {
		doc = &document.Document{}
	}
	doc.Service, doc.Owner = "booking", "himalaya"
	f.apply(DocumentChanged{Record: structs.DocumentRecord{Service: "booking", Revision: 1}, Document: doc})
	for i, s := range servers {
		s.id = structs.Incarnation(i + 1)
		f.servers[s.id] = s
		f.serverList = append(f.serverList, s)
		f.apply(AgentAnnounced{Info: structs.AgentInfo{Name: fmt.Sprint(i), Incarnation: s.id, Service: "booking", RPCAddr: fmt.Sprint(i), Slots: s.slots}})
	}
	return f
}

func identicalServers(n int) []*fakeServer {
	list := make([]*fakeServer, n)
	for i := range list {
		list[i] = &fakeServer{slots: 8, serviceTime: 100 * time.Millisecond}
	}
	return list
}

// apply steps the coordinator and carries out the effects.
func (f *simulation) apply(ev Event) {
	for _, eff := range f.c.Step(f.now, ev) {
		switch e := eff.(type) {
		case Reply:
			f.replies[e.Call] = &e
		case Run:
			f.dispatchCount++
			f.servers[e.Agent].accept(f, structs.TaskRef{Task: e.Request.Task, Attempt: e.Request.Attempt})
		case Heartbeat:
			f.apply(AgentStateReceived{Agent: e.Agent, State: f.servers[e.Agent].state(f)})
		case Settle:
			f.settleCount++
			f.replySettle(e)
		}
	}
}

func (s *fakeServer) accept(f *simulation, ref structs.TaskRef) {
	s.accepted++
	s.waiting = append(s.waiting, fakeTask{ref: ref})
	s.startNext(f.now)
}

func (s *fakeServer) startNext(now time.Time) {
	for len(s.waiting) > 0 && len(s.running) < s.slots {
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		t.ends = now.Add(s.serviceTime)
		s.running = append(s.running, t)
	}
}

func (s *fakeServer) state(f *simulation) structs.AgentState {
	f.seq++
	return structs.AgentState{Incarnation: s.id, Slots: s.slots, Running: len(s.running), Queued: len(s.waiting), Seq: f.seq, Revision: 1}
}

// replySettle answers a settle: waiting tasks are given back, running ones
// continue.
func (f *simulation) replySettle(e Settle) {
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
	f.apply(SettleReplied{Agent: e.Agent, Tasks: e.Request.Tasks, Reply: reply})
}

// runFor advances the time by d and calls beforeStep before every step.
func (f *simulation) runFor(d time.Duration, beforeStep func()) {
	for until := f.now.Add(d); f.now.Before(until); {
		if beforeStep != nil {
			beforeStep()
		}
		f.now = f.now.Add(simulationStep)
		for _, s := range f.serverList {
			s.finish(f)
		}
		f.apply(Ticked{})
	}
}

func (s *fakeServer) finish(f *simulation) {
	if s.stalled {
		return
	}
	tasks := s.running
	s.running = nil
	for _, t := range tasks {
		if t.ends.After(f.now) && !s.failsAtOnce && !s.refuses {
			s.running = append(s.running, t)
			continue
		}
		f.apply(RunReplied{Agent: s.id, Ref: t.ref, Reply: s.outcome(f)})
	}
	s.startNext(f.now)
}

func (s *fakeServer) outcome(f *simulation) structs.RunReply {
	result := structs.TaskResult{Verdict: structs.Ran}
	switch {
	case s.refuses:
		result = structs.TaskResult{Verdict: structs.NotRun, Error: structs.Errorf(structs.CodeOverloaded, structs.NotRun, "refused")}
	case s.failsAtOnce, s.failsWhenDone:
		result.Error = structs.Errorf(structs.CodeBackend, structs.Ran, "failed")
	}
	reply := structs.RunReply{Result: result, State: s.state(f)}
	if result.Verdict == structs.Ran {
		reply.ServiceTime = s.serviceTime
	}
	return reply
}

// submit sends a job of the team and returns its call.
func (f *simulation) submit(team string, tasks int) CallID {
	sp := jobSpec(tasks)
	sp.Team = team
	return f.submitSpec(sp)
}

func (f *simulation) submitSpec(sp structs.JobSpec) CallID {
	f.calls++
	call := f.calls
	f.apply(SubmitCalled{Call: call, Spec: sp, Wait: true})
	return call
}

// replyError returns the error that a call was answered with, or nil.
func (f *simulation) replyError(call CallID) *structs.Error {
	if r := f.replies[call]; r != nil {
		return r.Error
	}
	return nil
}

func (f *simulation) complete(call CallID) bool {
	r := f.replies[call]
	return r != nil && r.Answer != nil && r.Answer.State == structs.JobComplete
}

func TestSmallJobDoesNotWaitBehindLargeJob(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(nil, identicalServers(2)...)
	f.submit("front-desk", 20)
	f.runFor(time.Second, nil)
	large := f.submit("front-desk", structs.MaxTasksPerJob)
	f.runFor(500*time.Millisecond, nil)
	small := f.submit("front-desk", 1)
	f.runFor(300*time.Millisecond, nil)
	g.Expect(f.complete(small)).To(BeTrue())
	g.Expect(f.complete(large)).To(BeFalse())
	f.runFor(10*time.Second, nil)
	g.Expect(f.complete(large)).To(BeTrue())
}

func TestFloodingTeamDoesNotStarveOtherTeams(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(nil, identicalServers(2)...)
	var flood, desk []CallID
	steps := 0
	f.runFor(5*time.Second, func() {
		flood = append(flood, f.submit("flood", 20))
		if steps++; steps%20 == 0 {
			desk = append(desk, f.submit("desk", 2))
		}
	})
	f.runFor(2*time.Second, nil)
	for _, call := range desk {
		g.Expect(f.complete(call)).To(BeTrue(), "%v", f.replyError(call))
	}
	refused := 0
	for _, call := range flood {
		if err := f.replyError(call); err != nil {
			refused++
			g.Expect(err.Verdict).To(Equal(structs.NotRun))
			g.Expect(err.RetryAfter).To(BeNumerically(">", 0))
		}
	}
	g.Expect(refused).To(BeNumerically(">", len(flood)/2))
}

func TestOverloadKeepsGoodputAndHonorsRetryAfter(t *testing.T) {
	for _, factor := range []int{2, 3} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			g := NewWithT(t)
			f := newSimulation(nil, identicalServers(2)...)
			f.submit("a", 16)
			f.runFor(time.Second, nil)
			type pendingRetry struct {
				spec structs.JobSpec
				at   time.Time
			}
			var calls []CallID
			var retries []pendingRetry
			retried, refusedAgain, job := 0, 0, 0
			send := func(sp structs.JobSpec, first bool) {
				call := f.submitSpec(sp)
				calls = append(calls, call)
				err := f.replyError(call)
				if !first {
					retried++
				}
				if err == nil {
					return
				}
				if !first {
					refusedAgain++
				}
				retries = append(retries, pendingRetry{sp, f.now.Add(err.RetryAfter)})
			}
			// The capacity is 160 tasks per second: 16 slots at 100 ms each. One
			// second has 200 simulation steps, so a step adds factor*160/200 jobs.
			steps := 0
			f.runFor(10*time.Second, func() {
				waiting := retries
				retries = nil
				for _, pending := range waiting {
					if pending.at.After(f.now) {
						retries = append(retries, pending)
						continue
					}
					send(pending.spec, false)
				}
				for steps += factor * 160; steps >= 200; steps -= 200 {
					job++
					sp := jobSpec(1)
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
			t.Logf("%d of 1600 possible jobs complete, %d retries, %d refused again", complete, retried, refusedAgain)
			g.Expect(complete).To(BeNumerically(">", 1600*9/10))
			g.Expect(refusedAgain).To(BeNumerically("<", retried/4))
		})
	}
}

func TestJobThatCannotMeetItsTimeoutIsRefused(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(nil, identicalServers(1)...)
	f.submit("a", 16)
	f.runFor(time.Second, nil)
	f.submit("a", 60)
	late := jobSpec(60)
	late.Timeout = 500 * time.Millisecond
	err := f.replyError(f.submitSpec(late))
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Code).To(Equal(structs.CodeOverloaded))
	g.Expect(err.Verdict).To(Equal(structs.NotRun))
}

// The hint was 100 ms whenever the wait exceeded the job's timeout only, and the caller
// was refused again and again.
func TestJobRefusedForItsTimeoutIsAcceptedAfterTheHint(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(nil, identicalServers(1)...)
	f.submit("a", 16)
	f.runFor(time.Second, nil)
	f.submit("a", 60)
	late := jobSpec(60)
	late.Timeout = 500 * time.Millisecond
	err := f.replyError(f.submitSpec(late))
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Code).To(Equal(structs.CodeOverloaded))
	f.runFor(err.RetryAfter, nil)
	g.Expect(f.replyError(f.submitSpec(late))).To(BeNil(), "%v; came back after %v", err, err.RetryAfter)
}

// A job that came back when nothing was queued was counted twice, among the queued tasks
// and among the retries to come, and others were refused because of it.
func TestScheduledRetryIntoEmptyQueueIsCountedOnce(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(nil, identicalServers(1)...)
	f.submit("a", 16)
	f.runFor(time.Second, nil)
	f.submit("a", 60)
	late := jobSpec(120)
	late.Timeout = 500 * time.Millisecond
	err := f.replyError(f.submitSpec(late))
	g.Expect(err).NotTo(BeNil())
	f.runFor(err.RetryAfter, nil)
	g.Expect(f.c.services["booking"].queue.Len()).To(BeZero())
	g.Expect(f.replyError(f.submitSpec(late))).To(BeNil())
	g.Expect(f.replyError(f.submit("b", 1))).To(BeNil(), "its team's turn comes next")
}

// The dump of a service that has had no work for minutes showed the rate of its last tasks.
func TestDumpedRateFallsWhileNoTaskEnds(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(nil, identicalServers(1)...)
	f.submit("a", 16)
	f.runFor(time.Second, nil)
	busy := f.c.Dump().Services[0].TasksPerSecond
	g.Expect(busy).To(BeNumerically(">", 1))
	f.runFor(10*rateWindow, nil)
	g.Expect(f.c.Dump().Services[0].TasksPerSecond).To(BeNumerically("<", busy/1000))
}

func TestJobThatCanNeverRunIsRejected(t *testing.T) {
	doc := &document.Document{
		Accept: document.Accept{Kinds: []string{"hold"}, MaxTasksPerJob: 100},
		Teams:  map[string]document.Quota{"front-desk": {MaxOpenTasks: 50}},
	}
	f := newSimulation(doc, identicalServers(1)...)
	other := jobSpec(1)
	other.Tasks[0].Kind = "publish"
	for name, sp := range map[string]structs.JobSpec{"kind": other, "tasks": jobSpec(101), "open tasks": jobSpec(51)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			err := f.replyError(f.submitSpec(sp))
			g.Expect(err).NotTo(BeNil())
			g.Expect(err.Code).To(Equal(structs.CodeRejected))
			g.Expect(err.Verdict).To(Equal(structs.NotRun))
			g.Expect(err.RetryAfter).To(BeZero())
			g.Expect(err.Message).NotTo(BeEmpty())
		})
	}
	g := NewWithT(t)
	empty := newSimulation(nil)
	err := empty.replyError(empty.submit("front-desk", 1))
	g.Expect(err.Code).To(Equal(structs.CodeUnavailable))
	g.Expect(err.RetryAfter).To(BeNumerically(">", 0))
}

func TestRetriesStayWithinBudget(t *testing.T) {
	g := NewWithT(t)
	servers := identicalServers(100)
	f := newSimulation(nil, servers...)
	var calls []CallID
	submit := func() { calls = append(calls, f.submit("a", 1)) }
	f.runFor(2*time.Second, submit)
	before := f.c.services["booking"].retries.Counts()
	for _, s := range servers[:50] {
		s.refuses = true
	}
	f.runFor(5*time.Second, submit)
	after := f.c.services["booking"].retries.Counts()
	// The default share is 0.2, the budget holds a reserve of 64, and it gains
	// 10 per second without any success.
	ran := float64(after.Successes - before.Successes)
	t.Logf("%v tasks ran, %d retries, %d denied", ran, after.Retries-before.Retries, after.Denied-before.Denied)
	g.Expect(after.Retries - before.Retries).To(BeNumerically("<=", 0.2*ran+64+5*10))
	for _, s := range servers[:50] {
		s.refuses = false
	}
	f.runFor(3*time.Second, nil)
	for _, call := range calls {
		g.Expect(f.complete(call)).To(BeTrue(), "%v", f.replyError(call))
	}
}

// The dump's number of denied retries grew with each event while a task waited for the
// budget, and said nothing about the number of tasks.
func TestTaskThatWaitsForRetryBudgetIsDeniedOnce(t *testing.T) {
	g := NewWithT(t)
	s := newHarness()
	s.addService(agentA)
	s.step(Ticked{}) // the next one refills by the time since
	svc := s.c.services["booking"]
	svc.retries = retry.NewBudgetOf(0, 1)
	svc.retries.Take()
	s.step(SubmitCalled{Call: 1, Spec: jobSpec(1)})
	s.replyRefused(agentA, taskRef(1, 0, 1), structs.CodeOverloaded)
	for range 10 {
		g.Expect(placements(s.advance(time.Millisecond).step(Ticked{}))).To(BeEmpty())
	}
	g.Expect(s.c.Dump().Services[0].Delayed).To(Equal(1))
	g.Expect(s.c.Dump().Services[0].Retries.Denied).To(Equal(uint64(1)))
	g.Expect(placements(s.advance(200 * time.Millisecond).step(Ticked{}))).To(HaveLen(1))
	g.Expect(s.c.Dump().Services[0].Retries).To(Equal(retry.Counts{Retries: 2, Denied: 1}))
}

func TestCancellationOfManyJobsIsBatched(t *testing.T) {
	g := NewWithT(t)
	f := newSimulation(nil, identicalServers(4)...)
	for range 200 {
		f.submit("a", 4)
	}
	dispatched := f.dispatchCount
	f.settleCount = 0
	for seq := range uint64(200) {
		f.apply(CancelCalled{Call: CallID(1000 + seq), ID: jobID(seq + 1)})
	}
	f.runFor(time.Second, nil)
	g.Expect(dispatched).To(BeNumerically("<=", 4*9))
	g.Expect(f.settleCount).To(BeNumerically("<=", dispatched))
	g.Expect(f.dispatchCount).To(BeNumerically("<", 200), "waiting tasks of canceled jobs must not start")
	complete := 0
	for seq := range uint64(200) {
		answer := f.replies[CallID(1000+seq)].Answer
		g.Expect(answer.State.Final()).To(BeTrue())
		if answer.State == structs.JobComplete {
			complete++
		}
	}
	g.Expect(complete).To(BeNumerically("<=", dispatched/4), "only jobs with every task started can complete")
}

func TestFaultyServerGetsFewTasks(t *testing.T) {
	faults := map[string]func(*fakeServer){
		"ten times slower": func(s *fakeServer) { s.serviceTime *= 10 },
		"fails at once":    func(s *fakeServer) { s.failsAtOnce = true },
		"fails slowly":     func(s *fakeServer) { s.failsWhenDone, s.serviceTime = true, 3*s.serviceTime },
		"stalls":           func(s *fakeServer) { s.stalled = true },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			servers := identicalServers(6)
			f := newSimulation(nil, servers...)
			submit := func() { f.submit("a", 1) }
			f.runFor(3*time.Second, submit)
			fault(servers[0])
			sent, total := servers[0].accepted, f.dispatchCount
			f.runFor(10*time.Second, submit)
			g.Expect(servers[0].accepted - sent).To(BeNumerically("<", (f.dispatchCount-total)/30))
		})
	}
}

// The speed of a server is learned from its answers, whether the declared times
// are right, ten times too short, ten times too long, or alternate between
// both. Half of the servers are five times slower: they have a sixth of the
// capacity, and must get less than a sixth of a load that the others can carry.
func TestWrongDeclaredTimesDoNotMisleadPlacement(t *testing.T) {
	for name, declared := range map[string][]time.Duration{
		"right":     {100 * time.Millisecond},
		"too short": {10 * time.Millisecond},
		"too long":  {time.Second},
		"both":      {10 * time.Millisecond, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			servers := identicalServers(8)
			for _, s := range servers[:4] {
				s.serviceTime *= 5
			}
			f := newSimulation(nil, servers...)
			jobs := 0
			f.runFor(10*time.Second, func() {
				sp := jobSpec(1)
				sp.Tasks[0].Declared = declared[jobs%len(declared)]
				f.submitSpec(sp)
				jobs++
			})
			slow := 0
			for _, s := range servers[:4] {
				slow += s.accepted
			}
			NewWithT(t).Expect(slow).To(BeNumerically("<", jobs/6))
		})
	}
}

func TestQueuedTasksAreRecalledFromSlowAgent(t *testing.T) {
	g := NewWithT(t)
	servers := identicalServers(2)
	f := newSimulation(nil, servers...)
	f.submit("a", 16)
	f.runFor(time.Second, nil)
	// The first server is full with the tasks of another entry and then stalls.
	servers[0].stalled = true
	for range 8 {
		servers[0].running = append(servers[0].running, fakeTask{})
	}
	first := f.submit("a", 1)
	calls := []CallID{first}
	for range 8 {
		calls = append(calls, f.submit("a", 1))
	}
	f.runFor(2*time.Second, nil)
	for _, call := range calls {
		g.Expect(f.complete(call)).To(BeTrue())
	}
}
