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

// backend is how a fake backend server treats a task at a time since start.
type backend func(at time.Duration) (takes time.Duration, fails bool)

func steady(takes time.Duration) backend {
	return func(time.Duration) (time.Duration, bool) { return takes, false }
}

type running struct {
	agent  int
	ends   time.Duration
	failed bool
	took   time.Duration
}

// drive keeps tasks in flight at once on the backends for a time, or as many as
// the policy lets, and returns the number sent to each.
type drive struct {
	policy   placement.Policy
	backends []backend
	now      time.Duration
	running  []running
	sent     []int
}

func newDrive(p placement.Policy, slots int, backends ...backend) *drive {
	for i := range backends {
		p.Add(structs.AgentInfo{Incarnation: structs.Incarnation(i + 1), Slots: slots})
	}
	return &drive{policy: p, backends: backends, sent: make([]int, len(backends))}
}

func (d *drive) run(inFlight int, until time.Duration) {
	for d.now < until {
		d.fill(inFlight)
		d.finish()
		d.now += time.Millisecond
	}
}

func (d *drive) fill(inFlight int) {
	for len(d.running) < inFlight {
		d.policy.SetQueuePosition(inFlight - len(d.running))
		id, ok := d.policy.Pick(start.Add(d.now), &structs.TaskSpec{})
		if !ok {
			return
		}
		d.policy.Dispatched(start.Add(d.now), id)
		i := int(id) - 1
		takes, fails := d.backends[i](d.now)
		d.sent[i]++
		d.running = append(d.running, running{agent: i, ends: d.now + takes, failed: fails, took: takes})
	}
}

func (d *drive) finish() {
	sort.SliceStable(d.running, func(i, j int) bool { return d.running[i].ends < d.running[j].ends })
	for len(d.running) > 0 && d.running[0].ends <= d.now {
		r := d.running[0]
		d.running = d.running[1:]
		d.policy.Finished(start.Add(d.now), structs.Incarnation(r.agent+1),
			placement.Outcome{Failed: r.failed, Took: r.took, ServiceTime: r.took})
	}
}

func TestFastFailingServerIsEjected(t *testing.T) {
	p := placement.NewLeastExpectedFinish(1)
	g := NewWithT(t)
	failing := func(time.Duration) (time.Duration, bool) { return time.Millisecond, true }
	d := newDrive(p, 8, failing, steady(100*time.Millisecond), steady(100*time.Millisecond), steady(100*time.Millisecond))
	d.run(16, 30*time.Second)
	total := d.sent[0] + d.sent[1] + d.sent[2] + d.sent[3]
	g.Expect(d.sent[0]).To(BeNumerically("<", total/100), "of %d", total)
	g.Expect(d.sent[0]).To(BeNumerically(">", 5), "a trickle tries it")
}

func TestEjectedServerComesBack(t *testing.T) {
	g := NewWithT(t)
	repaired := func(at time.Duration) (time.Duration, bool) { return 50 * time.Millisecond, at < 5*time.Second }
	d := newDrive(placement.NewLeastExpectedFinish(1), 8, repaired, steady(50*time.Millisecond), steady(50*time.Millisecond))
	d.run(12, 40*time.Second)
	before := append([]int(nil), d.sent...)
	d.run(12, 50*time.Second)
	g.Expect(d.sent[0] - before[0]).To(BeNumerically(">", (d.sent[1]-before[1])/2))
}

func TestAtMostAThirdIsOut(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewLeastExpectedFinish(1)
	var backends []backend
	for i := range 12 {
		failing := i < 8
		backends = append(backends, func(time.Duration) (time.Duration, bool) { return 20 * time.Millisecond, failing })
	}
	d := newDrive(p, 8, backends...)
	most := 0
	for range 2000 {
		d.run(60, d.now+10*time.Millisecond)
		most = max(most, p.EjectedCount())
	}
	g.Expect(most).To(BeNumerically("<=", 4))
	g.Expect(most).To(BeNumerically(">", 0))
}

func TestSlowServerGetsLittle(t *testing.T) {
	g := NewWithT(t)
	slow := func(at time.Duration) (time.Duration, bool) {
		if at > 5*time.Second {
			return time.Second, false
		}
		return 100 * time.Millisecond, false
	}
	d := newDrive(placement.NewLeastExpectedFinish(1), 8, slow, steady(100*time.Millisecond), steady(100*time.Millisecond))
	d.run(12, 10*time.Second)
	before := append([]int(nil), d.sent...)
	d.run(12, 30*time.Second)
	g.Expect(d.sent[0] - before[0]).To(BeNumerically("<", (d.sent[1]-before[1])/20))
}

func TestHoldsBackForFasterServer(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewLeastExpectedFinish(1)
	d := newDrive(p, 8, steady(50*time.Millisecond), steady(250*time.Millisecond))
	d.run(17, 20*time.Second)
	p.SetQueuePosition(1)
	for range 9 {
		p.Dispatched(start.Add(d.now), 1)
	}
	_, ok := p.Pick(start.Add(d.now), &structs.TaskSpec{})
	g.Expect(ok).To(BeFalse(), "one task waits for the faster server")
	p.SetQueuePosition(890)
	id, ok := p.Pick(start.Add(d.now), &structs.TaskSpec{})
	g.Expect(ok).To(BeTrue(), "a burst uses the slower one too")
	g.Expect(id).To(Equal(structs.Incarnation(2)))
}

func TestHoldsNothingBackWithoutOwnTasksElsewhere(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewLeastExpectedFinish(1)
	d := newDrive(p, 8, steady(50*time.Millisecond), steady(250*time.Millisecond))
	d.run(17, 20*time.Second)
	d.run(0, 21*time.Second)
	p.Observe(start.Add(d.now), 1, structs.AgentState{Running: 8, Queued: 60, Slots: 8, Seq: 1})
	id, ok := p.Pick(start.Add(d.now), &structs.TaskSpec{})
	g.Expect(ok).To(BeTrue())
	g.Expect(id).To(Equal(structs.Incarnation(2)))
}

func TestRefusalBacksOff(t *testing.T) {
	p := placement.NewLeastExpectedFinish(1)
	g := NewWithT(t)
	p.Add(structs.AgentInfo{Incarnation: 1, Slots: 8})
	asked := 0
	for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
		id, ok := p.Pick(start.Add(at), &structs.TaskSpec{})
		if !ok {
			continue
		}
		asked++
		p.Dispatched(start.Add(at), id)
		p.Finished(start.Add(at), id, placement.Outcome{Refused: true})
	}
	g.Expect(asked).To(BeNumerically("<", 20))
	g.Expect(asked).To(BeNumerically(">", 8))
}

func TestLeavingAgentGetsNothing(t *testing.T) {
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

func TestOthersTasksCountAndGoStale(t *testing.T) {
	p := placement.NewLeastExpectedFinish(1)
	g := NewWithT(t)
	p.Add(structs.AgentInfo{Incarnation: 1, Slots: 8})
	p.Observe(start, 1, structs.AgentState{Running: 8, Queued: 4, Slots: 8, Seq: 2})
	p.Observe(start, 1, structs.AgentState{Slots: 8, Seq: 1})
	_, ok := p.Pick(start, &structs.TaskSpec{})
	g.Expect(ok).To(BeTrue(), "an entry with none there may send one")
	p.Dispatched(start, 1)
	_, ok = p.Pick(start, &structs.TaskSpec{})
	g.Expect(ok).To(BeFalse(), "the others' tasks fill it")
	_, ok = p.Pick(start.Add(5*time.Second), &structs.TaskSpec{})
	g.Expect(ok).To(BeTrue())
}

func TestSameSeedSamePicks(t *testing.T) {
	g := NewWithT(t)
	var sent [2][]int
	for i := range sent {
		d := newDrive(placement.NewLeastExpectedFinish(7), 4, steady(50*time.Millisecond), steady(80*time.Millisecond), steady(90*time.Millisecond))
		d.run(9, 5*time.Second)
		sent[i] = d.sent
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
	var flight []structs.Incarnation
	now := start
	spec := &structs.TaskSpec{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		id, ok := p.Pick(now, spec)
		if ok {
			p.Dispatched(now, id)
			flight = append(flight, id)
		}
		if !ok || len(flight) > agents*slots*85/100 {
			id = flight[0]
			flight = flight[1:]
			p.Finished(now, id, placement.Outcome{ServiceTime: time.Duration(50+uint64(id)%200) * time.Millisecond})
		}
	}
}
