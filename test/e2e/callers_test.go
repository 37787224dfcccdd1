package e2e_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

var seedFlag = flag.Uint64("e2e.seed", 0, "seed of the callers' random choices; 0 selects a random seed")

const (
	// roundWait is how long one request waits for the final answer.
	roundWait = time.Second
	// maxHomeLost is the number of consecutive errors without the verdict
	// NotRun, such as "home lost", after which a caller abandons the job.
	maxHomeLost   = 4
	homeLostDelay = 500 * time.Millisecond
)

// callers are concurrent clients that submit each job through two entries at
// once, and resubmit it until they have a final answer. Some cancel their jobs
// or disconnect early.
type callers struct {
	c       *cluster
	history *history
	stop    chan struct{}
	wait    sync.WaitGroup
	jobs    atomic.Int64
	cancels bool
}

func (c *cluster) startCallers(h *history, clients int, cancels bool) *callers {
	seed := *seedFlag
	if seed == 0 {
		seed = rand.Uint64()
	}
	c.t.Logf("random seed of the callers: -e2e.seed=%d", seed)
	l := &callers{c: c, history: h, stop: make(chan struct{}), cancels: cancels}
	for i := range clients {
		l.wait.Go(func() { l.run(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	return l
}

func (l *callers) run(i int, rng *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		l.runJob(fmt.Sprintf("%d-%d", i, n), rng)
		l.jobs.Add(1)
	}
}

// runJob submits one job and follows it to its end.
func (l *callers) runJob(name string, rng *rand.Rand) {
	k := newCaller(l.c, l.history)
	s := newSubmission(name, 1+rng.IntN(12), 5+rng.IntN(60))
	first := rng.IntN(1 << 16)
	ok := false
	for !ok {
		if s.id, ok = k.reserve(l.c.entry(first)); !ok {
			first++
			time.Sleep(pollInterval)
		}
		select {
		case <-l.stop:
			return
		default:
		}
	}
	var concurrent sync.WaitGroup
	delay := time.Duration(rng.IntN(60)) * time.Millisecond
	entry := l.c.entry(rng.IntN(1 << 16))
	action := rng.IntN(8)
	concurrent.Go(func() {
		time.Sleep(delay)
		switch {
		case action == 0 && l.cancels:
			k.cancel(entry, s)
		case action == 1:
			disconnecting := newCaller(l.c, l.history)
			disconnecting.http.Timeout = 10 * time.Millisecond
			disconnecting.submit(entry, s, roundWait)
		default:
			k.submit(entry, s, roundWait)
		}
	})
	l.submitUntilFinal(k, s, first)
	concurrent.Wait()
}

// submitUntilFinal resubmits a job, each time through the next entry, until its
// answer is final, or the job is refused or abandoned.
func (l *callers) submitUntilFinal(k *caller, s *submission, entry int) {
	deadline := time.Now().Add(waitTimeout)
	for homeLost := 0; homeLost < maxHomeLost; {
		if time.Now().After(deadline) {
			l.c.t.Errorf("job %s (%s) got no final answer within %v", s.name, s.id, waitTimeout)
			return
		}
		o := k.submit(l.c.entry(entry), s, roundWait)
		entry++
		switch {
		case o == nil:
			time.Sleep(pollInterval)
		case o.answer != nil:
			if o.answer.State.Final() {
				return
			}
			homeLost = 0
		case o.err.Verdict == structs.NotRun:
			return
		default:
			homeLost++
			time.Sleep(homeLostDelay)
		}
	}
}

// waitForMore waits until that many further jobs have ended.
func (l *callers) waitForMore(count int64) {
	l.c.t.Helper()
	until := l.jobs.Load() + count
	l.c.g.Eventually(l.jobs.Load, waitTimeout, pollInterval).Should(BeNumerically(">=", until))
}

func (l *callers) stopAndWait() {
	close(l.stop)
	l.wait.Wait()
}

// Tasks of the jobs that cancelMany submits: long enough to be still open when
// the cancels arrive.
const (
	tasksPerCanceledJob = 4
	canceledTaskMillis  = 500
)

// cancelMany submits jobs and then cancels all of them at once, each through
// another entry than it was submitted through. The entries must send fewer
// Settle messages than there are jobs.
func (l *callers) cancelMany(jobs int) {
	l.c.t.Helper()
	k := newCaller(l.c, l.history)
	messagesBefore := l.c.settleMessages(k)
	var submissions []*submission
	for i := range jobs {
		s := newSubmission(fmt.Sprintf("cancel-%d", i), tasksPerCanceledJob, canceledTaskMillis)
		var ok bool
		s.id, ok = k.reserve(l.c.entry(i))
		l.c.g.Expect(ok).To(BeTrue())
		k.submit(l.c.entry(i), s, 0)
		submissions = append(submissions, s)
	}
	var wait sync.WaitGroup
	for i, s := range submissions {
		wait.Go(func() {
			o := k.cancel(l.c.entry(i+1), s)
			if o == nil || o.answer != nil && !o.answer.State.Final() {
				l.c.t.Errorf("cancel of %s got no final answer: %+v", s.name, o)
			}
		})
	}
	wait.Wait()
	l.c.g.Expect(l.c.settleMessages(k) - messagesBefore).To(BeNumerically("<", jobs))
}

// settleMessages returns the number of Settle messages sent by all entries.
func (c *cluster) settleMessages(k *caller) int {
	c.t.Helper()
	sum := 0
	for _, e := range c.entries {
		var all map[string]struct {
			Count int `json:"count"`
		}
		status, _ := k.do(http.MethodGet, e.url()+"/metrics", nil, &all)
		c.g.Expect(status).To(Equal(http.StatusOK))
		sum += all["messages.sent.Settle"].Count
	}
	return sum
}
