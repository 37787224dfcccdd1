package fairqueue_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/fairqueue"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

type task struct {
	team string
	job  uint64
	n    int
}

func jobID(seq uint64) structs.JobID { return structs.JobID{Home: 1, Seq: seq} }

func push(q *fairqueue.Queue[task], team string, job uint64, count int) {
	for n := range count {
		q.Push(team, jobID(job), task{team, job, n})
	}
}

func TestSmallJobOvertakesLargeJob(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.New[task](2000)
	push(q, "front-desk", 1, 890)
	for small := uint64(2); small < 2500; small++ {
		push(q, "front-desk", small, 1)
		popped := 0
		for {
			got, ok := q.Pop()
			g.Expect(ok).To(BeTrue())
			popped++
			if got.job == small {
				break
			}
		}
		g.Expect(popped).To(BeNumerically("<=", 2), "tasks popped until small job %d was served", small)
	}
}

func TestLeastUrgentTaskIsOfLargeJob(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.New[task](2000)
	push(q, "front-desk", 1, 890)
	push(q, "front-desk", 2, 1)
	for n := range 890 {
		got, ok := q.PopLeastUrgent()
		g.Expect(ok).To(BeTrue())
		g.Expect(got).To(Equal(task{"front-desk", 1, n}))
	}
	got, _ := q.PopLeastUrgent()
	g.Expect(got.job).To(Equal(uint64(2)))
}

func TestLargeJobIsNotStarvedBySmallJobs(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.New[task](2000)
	push(q, "school", 1, 890)
	served := 0
	for small := uint64(2); small < 4000; small++ {
		push(q, "school", small, 1)
		if got, _ := q.Pop(); got.job == 1 {
			served++
		}
	}
	g.Expect(served).To(BeNumerically(">", 890/2))
}

func TestTeamsAreServedByWeight(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.New[task](10000)
	q.SetWeight("desk", 3)
	push(q, "flood", 1, 890)
	push(q, "flood", 2, 890)
	push(q, "desk", 3, 600)
	count := map[string]int{}
	for range 400 {
		got, _ := q.Pop()
		count[got.team]++
	}
	g.Expect(count["desk"]).To(BeNumerically("~", 300, 2))
	g.Expect(count["flood"]).To(BeNumerically("~", 100, 2))
}

func TestIdleTeamGainsNoCredit(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.New[task](10000)
	push(q, "a", 1, 800)
	for range 500 {
		q.Pop()
	}
	push(q, "b", 2, 800)
	count := map[string]int{}
	for range 100 {
		got, _ := q.Pop()
		count[got.team]++
	}
	g.Expect(count["a"]).To(BeNumerically("~", 50, 1))
}

// A team that submits its next task whenever the last one has been served must not
// precede a team with queued tasks each time: it had 400 turns of 400.
func TestTeamThatSubmitsOneTaskAtATimeGetsItsShare(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.New[task](2000)
	push(q, "queued", 1, 400)
	served := make(map[string]int)
	for n := range 400 {
		push(q, "single", uint64(n+2), 1)
		got, ok := q.Pop()
		g.Expect(ok).To(BeTrue())
		served[got.team]++
		if got.team == "queued" { // the single task of the other team is still queued
			q.RemoveJob(jobID(uint64(n + 2)))
		}
	}
	g.Expect(served["queued"]).To(BeNumerically("~", 200, 2))
}

func TestEstimateBacklog(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.New[task](10000)
	g.Expect(q.EstimateBacklog("desk", 1)).To(Equal(1.0))
	push(q, "desk", 1, 890)
	g.Expect(q.EstimateBacklog("desk", 1)).To(Equal(2.0), "a small job overtakes the large one")
	g.Expect(q.EstimateBacklog("desk", 890)).To(Equal(1780.0))
	push(q, "flood", 2, 890)
	push(q, "flood", 3, 890)
	g.Expect(q.EstimateBacklog("desk", 1)).To(Equal(4.0))
	g.Expect(q.EstimateBacklog("other", 10)).To(Equal(30.0))
	q.RemoveJob(jobID(1))
	g.Expect(q.EstimateBacklog("desk", 1)).To(Equal(2.0))
}

func TestReturnedTaskIsFirstOfItsJob(t *testing.T) {
	g := NewWithT(t)
	q := fairqueue.New[task](3)
	push(q, "a", 1, 3)
	first, _ := q.Pop()
	push(q, "a", 2, 1)
	q.PushFront("a", jobID(1), first)
	g.Expect(q.Len()).To(Equal(4))
	g.Expect(q.RemoveJob(jobID(1))).To(Equal([]task{{"a", 1, 0}, {"a", 1, 1}, {"a", 1, 2}}))
	g.Expect(q.Push("a", jobID(3), task{})).To(BeTrue())
	g.Expect(q.Push("a", jobID(3), task{})).To(BeTrue())
	g.Expect(q.Push("a", jobID(3), task{})).To(BeFalse())
}

// TestEachTaskIsPoppedOnce applies random operations and compares the contents of
// the queue with a set.
func TestEachTaskIsPoppedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := fairqueue.New[task](50)
		want := map[task]bool{}
		next := map[uint64]int{}
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				id := rapid.Uint64Range(1, 6).Draw(rt, "job")
				x := task{team: string(rune('a' + id%3)), job: id, n: next[id]}
				if q.Push(x.team, jobID(id), x) {
					next[id]++
					want[x] = true
				}
			},
			"pop": func(rt *rapid.T) {
				pop := q.Pop
				if rapid.Bool().Draw(rt, "last") {
					pop = q.PopLeastUrgent
				}
				x, ok := pop()
				if ok != (len(want) > 0) || ok && !want[x] {
					rt.Fatalf("popped task %v, ok = %v, with %d tasks queued", x, ok, len(want))
				}
				if ok && rapid.Bool().Draw(rt, "return") {
					q.PushFront(x.team, jobID(x.job), x)
					return
				}
				delete(want, x)
			},
			"remove": func(rt *rapid.T) {
				for _, x := range q.RemoveJob(jobID(rapid.Uint64Range(1, 6).Draw(rt, "job"))) {
					if !want[x] {
						rt.Fatalf("RemoveJob returned task %v, which is not queued", x)
					}
					delete(want, x)
				}
			},
			"": func(rt *rapid.T) {
				if q.Len() != len(want) {
					rt.Fatalf("queue length %d, want %d", q.Len(), len(want))
				}
			},
		})
	})
}

func BenchmarkPushPop(b *testing.B) {
	q := fairqueue.New[task](1 << 20)
	for job := range uint64(1000) {
		push(q, string(rune('a'+job%20)), job, 50)
	}
	b.ReportAllocs()
	for b.Loop() {
		x, _ := q.Pop()
		q.Push(x.team, jobID(x.job), x)
	}
}
