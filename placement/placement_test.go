package placement_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

var start = time.Date(2026, 3, 12, 9, 0, 0, 0, time.UTC)

// backend simulates a backend server: for a task that arrives at a time since
// start, it returns the service time and whether the task fails.
type backend func(at time.Duration) (serviceTime time.Duration, fails bool)

// constant returns a backend that succeeds after the same service time always.
func constant(serviceTime time.Duration) backend {
	return func(time.Duration) (time.Duration, bool) { return serviceTime, false }
}

type runningTask struct {
	agent  int
	ends   time.Duration
	failed bool
	took   time.Duration
}

// simulation runs tasks on the backends that a policy picks, and counts the
// tasks sent to each.
type simulation struct {
	policy   placement.Policy
	backends []backend
	now      time.Duration
	running  []runningTask
	sent     []int
}

func newSimulation(p placement.Policy, slots int, backends ...backend) *simulation {
	for i := range backends {
		p.Add(structs.AgentInfo{Incarnation: structs.Incarnation(i + 1), Slots: slots})
	}
	return &simulation{policy: p, backends: backends, sent: make([]int, len(backends))}
}

// run keeps inFlight tasks in flight, or as many as the policy allows, up to the
// given time since start.
func (sim *simulation) run(inFlight int, until time.Duration) {
	for sim.now < until {
		sim.fill(inFlight)
		sim.finish()
		sim.now += time.Millisecond
	}
}

func (sim *simulation) fill(inFlight int) {
	for len(sim.running) < inFlight {
		sim.policy.SetQueuePosition(inFlight - len(sim.running))
		id, ok := sim.policy.Pick(start.Add(sim.now), &structs.TaskSpec{})
		if !ok {
			return
		}
		sim.policy.Dispatched(start.Add(sim.now), id)
		i := int(id) - 1
		serviceTime, fails := sim.backends[i](sim.now)
		sim.sent[i]++
		sim.running = append(sim.running, runningTask{agent: i, ends: sim.now + serviceTime, failed: fails, took: serviceTime})
	}
}

func (sim *simulation) finish() {
	sort.SliceStable(sim.running, func(i, j int) bool { return sim.running[i].ends < sim.running[j].ends })
	for len(sim.running) > 0 && sim.running[0].ends <= sim.now {
		r := sim.running[0]
		sim.running = sim.running[1:]
		sim.policy.Finished(start.Add(sim.now), structs.Incarnation(r.agent+1),
			placement.Outcome{Failed: r.failed, Took: r.took, ServiceTime: r.took})
	}
}

func TestFastFailingServerIsEjected(t *testing.T) {
	p := placement.NewLeastExpectedFinish(1)
	g := NewWithT(t)
	failing := func(time.Duration) (time.Duration, bool) { return time.Millisecond, true }
	sim := newSimulation(p, 8, failing, constant(100*time.Millisecond), constant(100*time.Millisecond), constant(100*time.Millisecond))
	sim.run(16, 30*time.Second)
	total := sim.sent[0] + sim.sent[1] + sim.sent[2] + sim.sent[3]
	g.Expect(sim.sent[0]).To(BeNumerically("<", total/100), "of %d tasks sent in total", total)
	g.Expect(sim.sent[0]).To(BeNumerically(">", 5), "a failing server still receives occasional probe tasks")
}

func TestRepairedServerRejoinsAfterEjection(t *testing.T) {
	g := NewWithT(t)
	repaired := func(at time.Duration) (time.Duration, bool) { return 50 * time.Millisecond, at < 5*time.Second }
	sim := newSimulation(placement.NewLeastExpectedFinish(1), 8, repaired, constant(50*time.Millisecond), constant(50*time.Millisecond))
	sim.run(12, 40*time.Second)
	before := append([]int(nil), sim.sent...)
	sim.run(12, 50*time.Second)
	g.Expect(sim.sent[0] - before[0]).To(BeNumerically(">", (sim.sent[1]-before[1])/2))
}

func TestAtMostOneThirdOfAgentsIsEjected(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewLeastExpectedFinish(1)
	var backends []backend
	for i := range 12 {
		failing := i < 8
		backends = append(backends, func(time.Duration) (time.Duration, bool) { return 20 * time.Millisecond, failing })
	}
	sim := newSimulation(p, 8, backends...)
	maxEjected := 0
	for range 2000 {
		sim.run(60, sim.now+10*time.Millisecond)
		maxEjected = max(maxEjected, p.EjectedCount())
	}
	g.Expect(maxEjected).To(BeNumerically("<=", 4))
	g.Expect(maxEjected).To(BeNumerically(">", 0))
}

func TestSlowServerReceivesFewTasks(t *testing.T) {
	g := NewWithT(t)
	slow := func(at time.Duration) (time.Duration, bool) {
		if at > 5*time.Second {
			return time.Second, false
		}
		return 100 * time.Millisecond, false
	}
	sim := newSimulation(placement.NewLeastExpectedFinish(1), 8, slow, constant(100*time.Millisecond), constant(100*time.Millisecond))
	sim.run(12, 10*time.Second)
	before := append([]int(nil), sim.sent...)
	sim.run(12, 30*time.Second)
	g.Expect(sim.sent[0] - before[0]).To(BeNumerically("<", (sim.sent[1]-before[1])/20))
}

func TestTaskWaitsForFasterServer(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewLeastExpectedFinish(1)
	sim := newSimulation(p, 8, constant(50*time.Millisecond), constant(250*time.Millisecond))
	sim.run(17, 20*time.Second)
	p.SetQueuePosition(1)
	for range 9 {
		p.Dispatched(start.Add(sim.now), 1)
	}
	_, ok := p.Pick(start.Add(sim.now), &structs.TaskSpec{})
	g.Expect(ok).To(BeFalse(), "a single task should wait for the faster server")
	p.SetQueuePosition(890)
	id, ok := p.Pick(start.Add(sim.now), &structs.TaskSpec{})
	g.Expect(ok).To(BeTrue(), "a long queue should use the slower server as well")
	g.Expect(id).To(Equal(structs.Incarnation(2)))
}

func TestTaskDoesNotWaitForServerWithoutOwnTasks(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewLeastExpectedFinish(1)
	sim := newSimulation(p, 8, constant(50*time.Millisecond), constant(250*time.Millisecond))
	sim.run(17, 20*time.Second)
	sim.run(0, 21*time.Second)
	p.Observe(start.Add(sim.now), 1, structs.AgentState{Running: 8, Queued: 60, Slots: 8, Seq: 1})
	id, ok := p.Pick(start.Add(sim.now), &structs.TaskSpec{})
	g.Expect(ok).To(BeTrue())
	g.Expect(id).To(Equal(structs.Incarnation(2)))
}

func TestAgentThatRefusesIsBackedOff(t *testing.T) {
	p := placement.NewLeastExpectedFinish(1)
	g := NewWithT(t)
	p.Add(structs.AgentInfo{Incarnation: 1, Slots: 8})
	dispatched := 0
	for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
		id, ok := p.Pick(start.Add(at), &structs.TaskSpec{})
		if !ok {
			continue
		}
		dispatched++
		p.Dispatched(start.Add(at), id)
		p.Finished(start.Add(at), id, placement.Outcome{Refused: true})
	}
	g.Expect(dispatched).To(BeNumerically("<", 20))
	g.Expect(dispatched).To(BeNumerically(">", 8))
}

func TestLeavingAgentReceivesNoTasks(t *testing.T) {
	p := placement.NewLeastExpectedFinish(1)
	g := NewWithT(t)
	p.Add(structs.AgentInfo{Incarnation: 1, Slots: 8})
	p.Observe(start, 1, structs.AgentState{Slots: 8, Leaving: true, Seq: 1})
	_, ok := p.Pick(start, &structs.TaskSpec{})
	g.Expect(ok).To(BeFalse())
	p.SetLeaving(1, false)
	_, ok = p.Pick(start, &structs.TaskSpec{})
	g.Expect(ok).To(BeTrue())
}

func TestObservedTasksOfOtherEntriesCountUntilStale(t *testing.T) {
	p := placement.NewLeastExpectedFinish(1)
	g := NewWithT(t)
	p.Add(structs.AgentInfo{Incarnation: 1, Slots: 8})
	p.Observe(start, 1, structs.AgentState{Running: 8, Queued: 4, Slots: 8, Seq: 2})
	p.Observe(start, 1, structs.AgentState{Slots: 8, Seq: 1})
	_, ok := p.Pick(start, &structs.TaskSpec{})
	g.Expect(ok).To(BeTrue(), "an entry without tasks at the agent may send one")
	p.Dispatched(start, 1)
	_, ok = p.Pick(start, &structs.TaskSpec{})
	g.Expect(ok).To(BeFalse(), "tasks of other entries should use up the slots")
	_, ok = p.Pick(start.Add(5*time.Second), &structs.TaskSpec{})
	g.Expect(ok).To(BeTrue())
}

func TestSameSeedGivesSamePicks(t *testing.T) {
	g := NewWithT(t)
	var sent [2][]int
	for i := range sent {
		sim := newSimulation(placement.NewLeastExpectedFinish(7), 4, constant(50*time.Millisecond), constant(80*time.Millisecond), constant(90*time.Millisecond))
		sim.run(9, 5*time.Second)
		sent[i] = sim.sent
	}
	g.Expect(sent[0]).To(Equal(sent[1]))
}

func BenchmarkPick(b *testing.B) {
	for _, agents := range []int{11, 100, 650} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) { benchmarkPick(b, agents) })
	}
}

func benchmarkPick(b *testing.B, agents int) {
	const slots = 8
	p := placement.NewLeastExpectedFinish(1)
	for i := range agents {
		p.Add(structs.AgentInfo{Incarnation: structs.Incarnation(i + 1), Slots: slots})
	}
	var inFlight []structs.Incarnation
	now := start
	spec := &structs.TaskSpec{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		id, ok := p.Pick(now, spec)
		if ok {
			p.Dispatched(now, id)
			inFlight = append(inFlight, id)
		}
		if !ok || len(inFlight) > agents*slots*85/100 {
			id = inFlight[0]
			inFlight = inFlight[1:]
			p.Finished(now, id, placement.Outcome{ServiceTime: time.Duration(50+uint64(id)%200) * time.Millisecond})
		}
	}
}
