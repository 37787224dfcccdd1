package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/overload"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// newBusyQueue returns a turnQueue whose turns are all taken, and a function that ends them.
func newBusyQueue() (*turnQueue, func()) {
	q := newTurnQueue()
	for range cap(q.slots) {
		q.slots <- struct{}{}
	}
	return q, func() {
		for range cap(q.slots) {
			<-q.slots
		}
	}
}

type awaited struct {
	Turn *Turn
	Err  error
}

func awaitAsync(ctx context.Context, q *turnQueue, job string) chan awaited {
	ch := make(chan awaited, 1)
	go func() {
		t, err := q.await(ctx, job)
		ch <- awaited{t, err}
	}()
	return ch
}

// Guards against turns that are lost when callers leave, after which no request is served.
func TestTurnsOutliveCallersThatLeave(t *testing.T) {
	g := NewWithT(t)
	q, free := newBusyQueue()
	ctx, leave := context.WithCancel(context.Background())
	first, second := awaitAsync(ctx, q, "a"), awaitAsync(context.Background(), q, "b")
	g.Eventually(func() int { return q.state().waiting }).Should(Equal(2))
	leave()
	g.Eventually(first).Should(Receive(HaveField("Err", errCallerLeft)))
	free()
	var b awaited
	g.Eventually(second).Should(Receive(&b))
	g.Expect(b.Turn).NotTo(BeNil())
	b.Turn.End()
	b.Turn.End()
	for range 2 * cap(q.slots) {
		turn, err := q.await(context.Background(), "c")
		g.Expect(turn, err).NotTo(BeNil())
		turn.End()
	}
	g.Expect(q.byJob).To(BeEmpty())
}

// Guards against a copy of a submission that is rejected as not run while the other goes on.
func TestCopiesOfSubmissionShareTurn(t *testing.T) {
	g := NewWithT(t)
	q, free := newBusyQueue()
	first, second := awaitAsync(context.Background(), q, "a"), awaitAsync(context.Background(), q, "a")
	g.Eventually(func() int {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.byJob["a"].calls()
	}).Should(Equal(2))
	free()
	var a, b awaited
	g.Eventually(first).Should(Receive(&a))
	g.Eventually(second).Should(Receive(&b))
	g.Expect(a.Turn).To(BeIdenticalTo(b.Turn))
	a.Turn.End()
	b.Turn.End()
	g.Eventually(func() int { return len(q.slots) }).Should(BeZero())
}

func (t *Turn) calls() int {
	if t == nil {
		return 0
	}
	return t.callers
}

// Guards against an entry that goes on admitting jobs for which it has no processor time,
// and against one that rejects a copy of a job that it runs.
func TestOverloadedEntryRejectsNewJobsOnly(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	gw := newIdleGateway(&out)
	for range cap(gw.turns.slots) {
		gw.turns.slots <- struct{}{}
	}
	gw.step(dispatch.SessionOpened{ID: 1, Agent: "agent", State: session.State{
		Ready: true, FreeCPU: 10, Stamp: session.ClockReading{Run: 1}, Slowness: 1000,
		Identity: &session.Identity{Service: "s", Server: "server", Capacity: 10},
	}})
	gw.step(dispatch.SubmitCalled{Call: 1, Job: dispatch.Job{Name: "known", Tasks: 1, CPU: 1, Estimate: time.Second, Queue: routing.Queue{Name: "q", Service: "s", Stretch: 2}}})
	g.Expect(gw.knows("q", "known")).To(BeTrue())

	now := time.Now()
	for range 100 { // turns that are far apart while others wait
		gw.turns.controller.Arrive(now)
	}
	for i := range 50 {
		gw.turns.controller.Turn(now.Add(time.Duration(i)*20*time.Millisecond), 0)
	}
	turn, refused := gw.AwaitTurn(t.Context(), "q", "new")
	g.Expect(turn).To(BeNil())
	g.Expect(refused).To(And(HaveField("Code", structs.CodeOverloaded), HaveField("Verdict", structs.NotRun)))
	g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(out.String()).To(ContainSubstring("event=job_refused job=new queue=q"))

	turn, refused = gw.AwaitTurn(t.Context(), "q", "known")
	g.Expect(turn).To(BeNil())
	g.Expect(refused).To(BeNil())
}

// Guards against a copy of a submission that is rejected as not run although the other was
// submitted while it waited: it had looked for the job before.
func TestCopySubmittedMeanwhileIsNotRejected(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	gw := newIdleGateway(&out)
	q, free := newBusyQueue()
	gw.turns = q
	gw.step(dispatch.SessionOpened{ID: 1, Agent: "agent", State: session.State{
		Ready: true, FreeCPU: 10, Stamp: session.ClockReading{Run: 1}, Slowness: 1000,
		Identity: &session.Identity{Service: "s", Server: "server", Capacity: 10},
	}})
	refused := make(chan *structs.Error, 1)
	go func() {
		_, err := gw.AwaitTurn(t.Context(), "q", "job")
		refused <- err
	}()
	g.Eventually(func() int { return q.state().waiting }).Should(Equal(1))
	gw.step(dispatch.SubmitCalled{Call: 1, Job: dispatch.Job{Name: "job", Tasks: 1, CPU: 1, Estimate: time.Second, Queue: routing.Queue{Name: "q", Service: "s", Stretch: 2}}})
	g.Expect(gw.knows("q", "job")).To(BeTrue())
	time.Sleep(overload.MaxWait + time.Millisecond) // the turn has expired
	free()
	g.Eventually(refused).Should(Receive(BeNil()))
}

// Guards against a turn that ends while a copy of the submission still uses it, so that the next
// copy is rejected as not run: the caller that leaves as the turn is granted ended it.
func TestLeavingCallerDoesNotEndSharedTurn(t *testing.T) {
	g := NewWithT(t)
	q, free := newBusyQueue()
	first, second := awaitAsync(t.Context(), q, "a"), awaitAsync(t.Context(), q, "a")
	g.Eventually(func() int {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.byJob["a"].calls()
	}).Should(Equal(2))
	free()
	var a, b awaited
	g.Eventually(first).Should(Receive(&a))
	g.Eventually(second).Should(Receive(&b))
	q.leave(a.Turn)
	g.Expect(q.byJob).To(HaveKey("a"))
	b.Turn.End()
	g.Expect(q.byJob).To(BeEmpty())
	g.Eventually(func() int { return len(q.slots) }).Should(BeZero())
}

// Guards against a lost turn: both callers leave as it is granted.
func TestTurnEndsWhenAllItsCallersLeave(t *testing.T) {
	g := NewWithT(t)
	q, free := newBusyQueue()
	first, second := awaitAsync(t.Context(), q, "a"), awaitAsync(t.Context(), q, "a")
	g.Eventually(func() int {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.byJob["a"].calls()
	}).Should(Equal(2))
	free()
	var a, b awaited
	g.Eventually(first).Should(Receive(&a))
	g.Eventually(second).Should(Receive(&b))
	q.leave(a.Turn)
	q.leave(b.Turn)
	g.Expect(q.byJob).To(BeEmpty())
	g.Eventually(func() int { return len(q.slots) }).Should(BeZero())
}
