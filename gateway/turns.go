package gateway

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/overload"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// overloadLogInterval is the least time between two log lines on the entry's overload.
const overloadLogInterval = time.Second

// errCallerLeft means that a caller has disconnected before its job was submitted.
var errCallerLeft = errors.New("the caller has disconnected")

// turnQueue gives new requests their turns, in the order of their arrival: as many at a time
// as there are processors, and only when no other goroutine is ready to run. Messages of
// sessions and answers of jobs are thus handled before new requests.
type turnQueue struct {
	slots chan struct{} // one element for each turn that has not ended

	mu         sync.Mutex
	controller *overload.Controller
	waiting    []*Turn          // oldest first
	byJob      map[string]*Turn // those that wait or have not ended, by the job's name
	serving    bool             // serve runs
	loggedAt   time.Time
}

// Turn is the right of one request to be decoded and submitted. Copies of a submission share
// it. A nil Turn is one that was not waited for.
type Turn struct {
	queue   *turnQueue
	job     string
	arrived time.Time
	callers int           // that have not left before they learned of the decision
	decided chan struct{} // closed when granted is set
	granted bool          // the request may be handled
	endOnce sync.Once
}

func newTurnQueue() *turnQueue {
	return &turnQueue{controller: overload.NewController(), slots: make(chan struct{}, runtime.GOMAXPROCS(0)), byJob: make(map[string]*Turn)}
}

// End ends a turn that was granted. Further calls have no effect.
func (t *Turn) End() {
	if t == nil {
		return
	}
	t.endOnce.Do(func() {
		t.queue.mu.Lock()
		delete(t.queue.byJob, t.job)
		t.queue.mu.Unlock()
		<-t.queue.slots
	})
}

// await waits for the turn of a submission. It returns nil if the request has to be rejected,
// and errCallerLeft if ctx ends first.
func (q *turnQueue) await(ctx context.Context, job string) (*Turn, error) {
	t := q.enter(time.Now(), job)
	if t == nil {
		return nil, nil
	}
	select {
	case <-t.decided:
	case <-ctx.Done():
		q.leave(t)
		return nil, errCallerLeft
	}
	if !t.granted {
		return nil, nil
	}
	return t, nil
}

// enter returns the turn that a request waits for, or nil if it has to be rejected.
func (q *turnQueue) enter(now time.Time, job string) *Turn {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.byJob[job]
	if t == nil {
		if !q.controller.Arrive(now) {
			return nil
		}
		t = &Turn{queue: q, job: job, arrived: now, decided: make(chan struct{})}
		q.waiting = append(q.waiting, t)
		q.byJob[job] = t
	}
	t.callers++
	if !q.serving {
		q.serving = true
		go q.serve()
	}
	return t
}

// leave removes a caller that waited for a turn, and the turn if it has no other.
func (q *turnQueue) leave(t *Turn) {
	q.mu.Lock()
	t.callers--
	i := slices.Index(q.waiting, t)
	last := t.callers == 0
	if i >= 0 && last {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		delete(q.byJob, t.job)
		q.controller.Leave(time.Now())
	}
	q.mu.Unlock()
	if i >= 0 || !last {
		return
	}
	<-t.decided
	if t.granted {
		t.End()
	}
}

// serve gives turns until no request waits.
func (q *turnQueue) serve() {
	for {
		q.slots <- struct{}{}
		runtime.Gosched() // the goroutines that are ready come first
		t := q.next(time.Now())
		if t == nil || !t.granted {
			<-q.slots
		}
		if t == nil {
			return
		}
		close(t.decided)
	}
}

// next removes the turn that has waited longest and decides on it. It returns nil if none
// waits; serve then has to end.
func (q *turnQueue) next(now time.Time) *Turn {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.serving = false
		return nil
	}
	t := q.waiting[0]
	q.waiting = q.waiting[1:]
	t.granted = q.controller.Turn(now, now.Sub(t.arrived))
	if !t.granted {
		delete(q.byJob, t.job)
	}
	return t
}

// observeMessage records by how much a message of a session was handled late.
func (q *turnQueue) observeMessage(now time.Time, delay time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.controller.ObserveMessage(now, delay)
}

// turnState is the state of a turnQueue for logs and metrics.
type turnState struct {
	waiting      int
	expectedWait time.Duration
	retryAfter   time.Duration
	share        float64
	overloaded   bool
	counts       overload.Counts
}

func (q *turnQueue) state() turnState {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.controller
	return turnState{
		waiting: len(q.waiting), expectedWait: c.ExpectedWait(), retryAfter: c.RetryAfter(),
		share: c.Share(), overloaded: c.Overloaded(), counts: c.Counts(),
	}
}

// logDue reports whether a log line on the overload is due.
func (q *turnQueue) logDue(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.loggedAt) < overloadLogInterval {
		return false
	}
	q.loggedAt = now
	return true
}

// overloaded reports whether the entry rejects new requests because it is short of processor
// time.
func (g *Gateway) overloaded() bool { return g.turns.state().overloaded }

// knows reports whether the answer to a submission of the job depends on an earlier request.
func (g *Gateway) knows(queue, job string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Knows(queue, job)
}

// AwaitTurn waits until a new request may be decoded and submitted. The turn must be ended,
// which Submit does. If the entry is overloaded, AwaitTurn returns why the request is
// rejected; the job has not run then. A submission of a job that this entry knows needs no
// turn, because it cannot be rejected as not run.
func (g *Gateway) AwaitTurn(ctx context.Context, queue, name string) (*Turn, *structs.Error) {
	if g.knows(queue, name) {
		return nil, nil
	}
	arrived := time.Now()
	t, err := g.turns.await(ctx, name)
	now := time.Now()
	g.metrics.turnWait.Update(now.Sub(arrived).Microseconds())
	switch {
	case err != nil:
		return nil, structs.Errorf(structs.CodeUnavailable, structs.NotRun, "%v", err)
	case t != nil:
		return t, nil
	case g.knows(queue, name): // a copy was submitted since
		return nil, nil
	}
	return nil, g.rejectOverloaded(queue, name, now, now.Sub(arrived))
}

// rejectOverloaded logs and counts the rejection of a request for which the entry has no
// processor time.
func (g *Gateway) rejectOverloaded(queue, name string, now time.Time, waited time.Duration) *structs.Error {
	s := g.turns.state()
	err := structs.Errorf(structs.CodeOverloaded, structs.NotRun, "the entry is overloaded: %d requests wait for its processor, for %d ms",
		s.waiting, s.expectedWait.Milliseconds()).WithRetryAfter(max(s.retryAfter, time.Second))
	verdict := structs.NotRun
	g.log(time.Now(), &dispatch.LogEvent{Event: "job_refused", Job: name, Queue: queue, Verdict: &verdict,
		Detail: fmt.Sprintf("code=%s reason=%q retry_after_ms=%d waited_ms=%d", err.Code, err.Message, err.RetryAfter.Milliseconds(), waited.Milliseconds())})
	g.metrics.recordJob(&dispatch.JobMetrics{Queue: queue, Took: waited})
	if g.turns.logDue(now) {
		level.Warn(g.logger).Log("event", "overloaded", "waiting", s.waiting, "expected_wait_ms", s.expectedWait.Milliseconds(),
			"share", s.share, "turns", s.counts.Turns, "rejected", s.counts.Rejected, "expired", s.counts.Expired)
	}
	return err
}
