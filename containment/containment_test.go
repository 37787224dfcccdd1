package containment_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/containment"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func task(job string) containment.Task { return containment.Task{Job: job} }

func crash(agent string, incarnation int64, losses ...containment.Loss) containment.ServerCrashed {
	return containment.ServerCrashed{Agent: agent, Incarnation: incarnation, Losses: losses}
}

// The users' bound: a task is started fewer than three times more after three servers
// have crashed under it.
func TestNoTaskSurvivesFiveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := containment.New()
		now := start
		for i := range 5 {
			now = now.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "ms")) * time.Millisecond)
			ran := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ran")) * time.Millisecond
			tracker.Step(now, crash("agent", int64(i+1), containment.Loss{Task: task("job"), Queue: "q", Ran: ran, Started: rapid.Bool().Draw(t, "started")}))
		}
		if !tracker.Suspicion(task("job")).GiveUp() {
			t.Fatalf("a task with five crashes is not given up: %+v", tracker.Suspicion(task("job")))
		}
	})
}

func TestTaskIsNotGivenUpForCrashesOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := containment.New()
		for i := range rapid.IntRange(1, 50).Draw(t, "crashes") {
			tracker.Step(start, crash("agent", int64(i+1), containment.Loss{Task: task("other")}))
		}
		if s := tracker.Suspicion(task("job")); s != (containment.Suspicion{}) {
			t.Fatalf("evidence against a task that no server had started: %+v", s)
		}
	})
}

func TestLossesOfTasksAreForgotten(t *testing.T) {
	g := NewWithT(t)
	tracker := containment.New()
	tracker.Step(start, crash("agent", 1, containment.Loss{Task: task("job"), Started: true}))
	tracker.Step(start.Add(59*time.Second), crash("agent", 2, containment.Loss{Task: task("job"), Started: true}))
	tracker.Step(start.Add(61*time.Second), containment.Ticked{})
	g.Expect(tracker.Suspicion(task("job")).Crashes).To(Equal(2), "the last crash is recent")
	tracker.Step(start.Add(120*time.Second), containment.Ticked{})
	g.Expect(tracker.Suspicion(task("job")).Crashes).To(BeZero())
}

// load is the state of a drawn history of crashes.
type load struct {
	tracker *containment.Tracker
	now     time.Time
	run     int64
}

func newLoad() *load { return &load{tracker: containment.New(), now: start} }

// crash reports a crash of the agent's server, which had just started tasks of the
// queues young and had run those of old for long. Each server starts 20 tasks of each
// queue per second.
func (l *load) crash(agent string, young, old []string) []containment.Change {
	l.now = l.now.Add(300 * time.Millisecond)
	l.run++
	ev := containment.ServerCrashed{Agent: agent, Service: "s", Servers: 12, Incarnation: l.run, At: l.now}
	for _, q := range young {
		ev.Losses = append(ev.Losses, containment.Loss{Task: task(fmt.Sprint(q, l.run)), Queue: q, Ran: 8 * time.Millisecond, Started: true})
	}
	for _, q := range old {
		ev.Losses = append(ev.Losses, containment.Loss{Task: task(fmt.Sprint(q, "old", l.run)), Queue: q, Ran: 200 * time.Millisecond, Started: true})
	}
	for _, q := range []string{"a", "b", "c"} {
		ev.Rates = append(ev.Rates, containment.Rate{Queue: q, PerSecond: 20})
	}
	return l.tracker.Step(l.now, ev)
}

func (l *load) complete(queue string, after time.Duration) []containment.Change {
	l.now = l.now.Add(after)
	return l.tracker.Step(l.now, containment.JobCompleted{Queue: queue})
}

func agentName(i int) string { return fmt.Sprintf("agent-%d", i) }

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, agentName(i))
	}
	return list
}

// Crashes of servers without a queue in common at their starts confine no queue.
func TestQueueWithoutYoungTasksIsNeverConfined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoad()
		for range rapid.IntRange(1, 40).Draw(t, "crashes") {
			l.crash(agentName(rapid.IntRange(0, 10).Draw(t, "agent")), nil, []string{"a", "b", "c"})
		}
		if q := l.tracker.ConfinedQueues(); len(q) > 0 {
			t.Fatalf("confined without evidence: %v", q)
		}
	})
}

// A server that crashes again and again is no evidence against a queue that it serves.
func TestOneServerThatCrashesConfinesNoQueue(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for range 10 {
		l.crash("agent-1", []string{"a"}, nil)
	}
	g.Expect(l.tracker.ConfinedQueues()).To(BeEmpty())
}

// Guards against a queue that is confined because its servers failed together, as when
// a rack loses power.
func TestServersThatCrashTogetherConfineNoQueue(t *testing.T) {
	g := NewWithT(t)
	tracker := containment.New()
	for i := range 6 {
		tracker.Step(start, containment.ServerCrashed{
			Agent: agentName(i), Incarnation: 1, At: start.Add(time.Duration(i) * 10 * time.Millisecond),
			Losses: []containment.Loss{{Task: task(agentName(i)), Queue: "a", Ran: 5 * time.Millisecond, Started: true}},
		})
	}
	g.Expect(tracker.ConfinedQueues()).To(BeEmpty())
}

func TestQueueWhoseTasksCrashServersIsConfinedAndKeepsServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoad()
		for i := range 3 {
			l.crash(agentName(i), []string{"a"}, []string{"b", "c"})
		}
		if q := l.tracker.ConfinedQueues(); len(q) != 1 || q[0] != "a" {
			t.Fatalf("confined: %v", q)
		}
		all := names(rapid.IntRange(1, 200).Draw(t, "known"))
		servers := l.tracker.Servers("a", all)
		if len(servers) == 0 || len(all) > 2 && 2*len(servers) > len(all) {
			t.Fatalf("confined to %d of %d servers", len(servers), len(all))
		}
		if l.tracker.Servers("b", all) != nil {
			t.Fatal("b is confined too")
		}
	})
}

func TestTwoQueuesThatCrashServersAtOnceAreBothConfined(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for i := range 12 {
		l.crash(agentName(i), [][]string{{"a"}, {"b"}}[i%2], []string{"c"})
	}
	g.Expect(l.tracker.ConfinedQueues()).To(Equal([]string{"a", "b"}))
}

// The share of jobs that crash servers varies; crashes after the confinement come from
// the confined queue, and others that are there by chance are not confined with it.
func TestCrashExplainedByConfinedQueueAccusesNoOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoad()
		for i := range 3 {
			l.crash(agentName(i), []string{"a"}, nil)
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "crashes") {
			l.crash(agentName(i%11), []string{"a", "b"}, nil)
		}
		if q := l.tracker.ConfinedQueues(); len(q) != 1 {
			t.Fatalf("confined: %v", q)
		}
	})
}

// A queue returns step by step while its jobs end well, and at its next crash it goes
// back to the fewest servers.
func TestConfinedQueueReturnsStepByStep(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for i := range 3 {
		l.crash(agentName(i), []string{"a"}, nil)
	}
	all := names(12)
	fewest := l.tracker.Servers("a", all)
	g.Expect(l.tracker.Avoided("a", all)).To(Equal(fewest))
	var kinds []string
	for range 120 {
		for _, c := range l.complete("a", 20*time.Millisecond) {
			kinds = append(kinds, c.Kind.String())
			if len(kinds) == 1 {
				g.Expect(l.tracker.Servers("a", all)).To(ContainElements(fewest), "steps only add servers")
				g.Expect(len(l.tracker.Servers("a", all))).To(BeNumerically(">", len(fewest)))
				g.Expect(l.tracker.Avoided("a", all)).To(BeEmpty(), "others use them too")
				l.crash(agentName(0), []string{"a"}, nil)
				g.Expect(l.tracker.Servers("a", all)).To(Equal(fewest))
			}
		}
	}
	g.Expect(kinds).To(Equal([]string{"widened", "widened", "widened", "released"}))
	g.Expect(l.tracker.Servers("a", all)).To(BeNil())
}

// A queue with few jobs, or none, is not confined for ever.
func TestQuietQueueIsReleased(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for i := range 3 {
		l.crash(agentName(i), []string{"a"}, nil)
	}
	for range 4 {
		l.complete("a", time.Second)
	}
	g.Expect(l.complete("a", time.Second)).To(ConsistOf(HaveField("Kind", containment.Widened)), "five jobs in more than three seconds")
	l.now = l.now.Add(30 * time.Second)
	g.Expect(l.tracker.Step(l.now, containment.Ticked{})).To(ConsistOf(HaveField("Kind", containment.Released)))
}

func TestEvidenceDecays(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for i := range 20 {
		l.crash(agentName(i), []string{"a"}, nil)
		l.now = l.now.Add(time.Minute)
	}
	g.Expect(l.tracker.ConfinedQueues()).To(BeEmpty())
}

// Guards against a queue that is confined although hardly any server is down: the
// others lose less by the crashes than it would by the confinement.
func TestQueueThatCrashesFewServersIsNotConfined(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for i := range 12 {
		l.crash(agentName(i), []string{"a"}, nil)
		l.now = l.now.Add(3 * time.Second)
	}
	g.Expect(l.tracker.ConfinedQueues()).To(BeEmpty())
}

// Guards against servers that stand idle beside a confined queue: it gets as large a
// part of them as of the work.
func TestConfinedQueueGetsItsShareOfTheWork(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for range 2000 {
		l.now = l.now.Add(5 * time.Millisecond)
		l.tracker.Step(l.now, containment.JobAdmitted{Queue: "a", Service: "s", Work: 3})
		l.tracker.Step(l.now, containment.JobAdmitted{Queue: "b", Service: "s", Work: 1})
		l.tracker.Step(l.now, containment.JobAdmitted{Queue: "c", Service: "other", Work: 9})
	}
	for i := range 3 {
		l.crash(agentName(i), []string{"a"}, nil)
	}
	g.Expect(l.tracker.Servers("a", names(12))).To(HaveLen(9))
	g.Expect(l.tracker.Avoided("a", names(12))).To(HaveLen(9), "b has the others to itself")
}

// Guards against an entry that has just started, and judges the work of a queue by its
// first job.
func TestStartedEntryConfinesQueueToFewestServers(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	l.tracker.Step(l.now, containment.JobAdmitted{Queue: "a", Service: "s", Work: 3})
	for i := range 3 {
		l.crash(agentName(i), []string{"a"}, nil)
	}
	g.Expect(l.tracker.Servers("a", names(12))).To(HaveLen(2))
}

// Guards against crashes of many servers before a busy queue is confined: a task that is
// started again and crashes its second server tells more than one that is new.
func TestTaskThatCrashesItsSecondServerConfinesBusyQueue(t *testing.T) {
	g := NewWithT(t)
	tracker := containment.New()
	for i := range 2 {
		ev := crash(agentName(i), int64(i+1), containment.Loss{Task: task("deadly"), Queue: "busy", Ran: 8 * time.Millisecond, Started: true})
		ev.At, ev.Servers = start.Add(time.Duration(i)*300*time.Millisecond), 11
		ev.Rates = []containment.Rate{{Queue: "busy", PerSecond: 35}}
		tracker.Step(ev.At, ev)
	}
	g.Expect(tracker.ConfinedQueues()).To(Equal([]string{"busy"}))
}

// Guards against an entry that has just started and confines a queue by crashes that were
// long ago, which agents report to it when its sessions open.
func TestOldCrashesConfineNoQueue(t *testing.T) {
	g := NewWithT(t)
	tracker := containment.New()
	for i := range 6 {
		ev := crash(agentName(i), 1, containment.Loss{Task: task(agentName(i)), Queue: "a", Ran: 8 * time.Millisecond, Started: true})
		ev.At, ev.Servers = start.Add(time.Duration(i)*300*time.Millisecond), 6
		tracker.Step(start.Add(20*time.Second), ev)
	}
	g.Expect(tracker.ConfinedQueues()).To(BeEmpty())
	g.Expect(tracker.Suspicion(task(agentName(0))).Crashes).To(Equal(1), "but the tasks are remembered")
}

// Guards against a malformed rate that makes the evidence against a queue useless.
func TestMalformedRateDoesNotDisableEvidence(t *testing.T) {
	for _, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e300} {
		g := NewWithT(t)
		l := newLoad()
		ev := crash(agentName(20), 1, containment.Loss{Task: task("x"), Queue: "a", Ran: 8 * time.Millisecond, Started: true})
		ev.At, ev.Servers, ev.Rates = l.now, 12, []containment.Rate{{Queue: "a", PerSecond: rate}}
		l.tracker.Step(l.now, ev)
		for i := range 3 {
			l.crash(agentName(i), []string{"a"}, nil)
		}
		g.Expect(l.tracker.ConfinedQueues()).To(Equal([]string{"a"}), "rate %v", rate)
	}
}
