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

var seedFlag = flag.Uint64("e2e.seed", 0, "seed of the callers' choices; 0 draws one")

const (
	// roundWait is how long a caller waits for one answer.
	roundWait = time.Second
	// maxLost is how often in a row a caller takes "home lost" for an answer
	// before it gives up.
	maxLost  = 4
	lostWait = 500 * time.Millisecond
)

// callers are concurrent clients that submit each job through two entries at
// once and again until they have a final answer. Some cancel, some vanish.
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
	c.t.Logf("callers' seed: -e2e.seed=%d", seed)
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
		l.job(fmt.Sprintf("%d-%d", i, n), rng)
		l.jobs.Add(1)
	}
}

// job runs one job to its end as its caller sees it.
func (l *callers) job(name string, rng *rand.Rand) {
	k := newCaller(l.c, l.history)
	s := newSubmission(name, 1+rng.IntN(12), 5+rng.IntN(60))
	first := rng.IntN(len(l.c.entries))
	ok := false
	for !ok {
		if s.id, ok = k.reserve(l.c.entries[first]); !ok {
			first = (first + 1) % len(l.c.entries)
			time.Sleep(poll)
		}
		select {
		case <-l.stop:
			return
		default:
		}
	}
	var second sync.WaitGroup
	delay := time.Duration(rng.IntN(60)) * time.Millisecond
	entry := l.c.entries[rng.IntN(len(l.c.entries))]
	what := rng.IntN(8)
	second.Go(func() {
		time.Sleep(delay)
		switch {
		case what == 0 && l.cancels:
			k.cancel(entry, s)
		case what == 1:
			vanishing := newCaller(l.c, l.history)
			vanishing.http.Timeout = 10 * time.Millisecond
			vanishing.submit(entry, s, roundWait)
		default:
			k.submit(entry, s, roundWait)
		}
	})
	l.untilFinal(k, s, first)
	second.Wait()
}

// untilFinal submits a job again, through another entry each time, until its
// answer is final or cannot be had.
func (l *callers) untilFinal(k *caller, s *submission, entry int) {
	deadline := time.Now().Add(patience)
	for lost := 0; lost < maxLost; {
		if time.Now().After(deadline) {
			l.c.t.Errorf("job %s (%s) got no final answer within %v", s.name, s.id, patience)
			return
		}
		o := k.submit(l.c.entries[entry], s, roundWait)
		entry = (entry + 1) % len(l.c.entries)
		switch {
		case o == nil:
			time.Sleep(poll)
		case o.answer != nil:
			if o.answer.State.Final() {
				return
			}
			lost = 0
		case o.err.Verdict == structs.NotRun:
			return
		default:
			lost++
			time.Sleep(lostWait)
		}
	}
}

// more waits until that many further jobs have ended.
func (l *callers) more(count int64) {
	l.c.t.Helper()
	until := l.jobs.Load() + count
	l.c.g.Eventually(l.jobs.Load, patience, poll).Should(BeNumerically(">=", until))
}

func (l *callers) end() {
	close(l.stop)
	l.wait.Wait()
}

// Tasks of a job in a wave: long enough to be still open when it comes.
const (
	waveTasks  = 4
	waveWorkMS = 500
)

// cancelWave submits jobs, and then cancels all of them at once, each through
// another entry than it came by. It takes fewer settle messages than jobs.
func (l *callers) cancelWave(jobs int) {
	l.c.t.Helper()
	k := newCaller(l.c, l.history)
	settled := l.c.settleMessages(k)
	var wave []*submission
	for i := range jobs {
		s := newSubmission(fmt.Sprintf("wave-%d", i), waveTasks, waveWorkMS)
		var ok bool
		s.id, ok = k.reserve(l.c.entries[i%len(l.c.entries)])
		l.c.g.Expect(ok).To(BeTrue())
		k.submit(l.c.entries[i%len(l.c.entries)], s, 0)
		wave = append(wave, s)
	}
	var wait sync.WaitGroup
	for i, s := range wave {
		wait.Go(func() {
			o := k.cancel(l.c.entries[(i+1)%len(l.c.entries)], s)
			if o == nil || o.answer != nil && !o.answer.State.Final() {
				l.c.t.Errorf("cancel of %s got no final answer: %+v", s.name, o)
			}
		})
	}
	wait.Wait()
	l.c.g.Expect(l.c.settleMessages(k) - settled).To(BeNumerically("<", jobs))
}

// settleMessages counts the settle messages of all entries.
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
