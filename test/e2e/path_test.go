package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// newSystem starts two entries and three agents with backend servers of
// different speeds, and publishes the service's document.
func newSystem(t *testing.T) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := startCluster(t, 2, 1, 2, 4)
	for _, e := range c.entries {
		e.waitUntilReady()
	}
	c.publish("0", "")
	for _, e := range c.entries {
		c.waitForAgents(e, len(c.agents))
	}
	return c
}

// waitForAgents waits until the entry lists exactly count agents that are not
// leaving.
func (c *cluster) waitForAgents(e *daemon, count int) {
	c.t.Helper()
	k := newCaller(c, &history{})
	c.g.Eventually(func(g Gomega) {
		var s structs.Status
		code, _ := k.do("GET", e.url()+"/v1/status", nil, &s)
		g.Expect(code).To(Equal(200))
		active := 0
		for _, a := range s.Agents {
			if !a.State.Leaving {
				active++
			}
		}
		g.Expect(active).To(Equal(count))
	}, waitTimeout, pollInterval).Should(Succeed(), "agents at %s that are not leaving", e.name)
}

// submitByClient runs a job by the Go client and records the outcome.
func (c *cluster) submitByClient(h *history, k *client.Client, s *submission) error {
	o := observation{submitted: s, call: time.Now().UnixNano()}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	answer, err := k.Submit(ctx, &s.spec)
	o.ret = time.Now().UnixNano()
	o.answer = answer
	var failed *client.JobError
	if errors.As(err, &failed) {
		o.err = failed.Reason
		if o.answer == nil {
			o.answer = failed.Answer
		}
	}
	if o.answer != nil {
		s.id = o.answer.ID
	}
	if o.answer != nil || o.err != nil {
		h.add(o)
	}
	return err
}

func (c *cluster) newClient(entries ...*daemon) *client.Client {
	c.t.Helper()
	var urls []string
	for _, e := range entries {
		urls = append(urls, e.url())
	}
	k, err := client.New(client.Options{Entries: urls})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.t.Cleanup(k.Close)
	return k
}

// TestWholePath submits jobs of 1, 50 and 890 tasks (the maximum) through each
// entry, by the command line and by the Go client. Each must complete, and each
// task must start exactly once.
func TestWholePath(t *testing.T) {
	t.Parallel()
	c := newSystem(t)
	h := &history{}
	for i, e := range c.entries {
		k := c.newClient(e)
		for _, tasks := range []int{1, 50, structs.MaxTasksPerJob} {
			byCommand := newSubmission(fmt.Sprintf("command-%d-%d", i, tasks), tasks, 1)
			c.g.Expect(c.submitByCommand(h, c.entries[i:i+1], byCommand)).To(Equal(0))
			byClient := newSubmission(fmt.Sprintf("client-%d-%d", i, tasks), tasks, 1)
			c.g.Expect(c.submitByClient(h, k, byClient)).To(Succeed())
		}
	}
	v := c.check(h)
	c.g.Expect(v.Complete).To(Equal(12))
	c.g.Expect(c.starts()).To(HaveLen(4 * (1 + 50 + structs.MaxTasksPerJob)))
}

// load submits small jobs by the Go client until it is stopped.
type load struct {
	c       *cluster
	history *history
	stop    chan struct{}
	wait    sync.WaitGroup
	jobs    atomic.Int64
	failed  atomic.Int64
}

// startLoad starts that many concurrent clients.
func (c *cluster) startLoad(h *history, clients, tasks, millis int) *load {
	l := &load{c: c, history: h, stop: make(chan struct{})}
	for i := range clients {
		k := c.newClient(c.entries...)
		l.wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				s := newSubmission(fmt.Sprintf("load-%d-%d", i, n), tasks, millis)
				l.jobs.Add(1)
				if err := c.submitByClient(h, k, s); err != nil {
					l.failed.Add(1)
					c.t.Logf("%s: %v", s.name, err)
				}
			}
		})
	}
	return l
}

func (l *load) stopAndWait() {
	close(l.stop)
	l.wait.Wait()
}

// waitForMore waits until that many further jobs have been submitted.
func (l *load) waitForMore(count int64) {
	l.c.t.Helper()
	until := l.jobs.Load() + count
	l.c.g.Eventually(l.jobs.Load, waitTimeout, pollInterval).Should(BeNumerically(">=", until))
}

// longTaskMillis is the duration of a long task on the fastest backend server.
// On the slowest it exceeds the time in which a process that stops closes its
// connections (5 s).
const longTaskMillis = 1500

// startLongJobs submits through each entry a job of long tasks, one per agent,
// and returns when all its tasks have started.
func (c *cluster) startLongJobs(h *history, name string) *sync.WaitGroup {
	c.t.Helper()
	var wait sync.WaitGroup
	for i, e := range c.entries {
		k := newCaller(c, h)
		s := newSubmission(fmt.Sprintf("%s, %d", name, i), len(c.agents), longTaskMillis)
		id, ok := k.reserve(e)
		c.g.Expect(ok).To(BeTrue(), "reservation at %s", e.name)
		s.id = id
		wait.Go(func() { k.submit(e, s, waitTimeout) })
		c.g.Eventually(func() int { return c.startsOf(s) }, waitTimeout, pollInterval).Should(Equal(len(s.tokens)))
	}
	return &wait
}

// startsOf returns the number of recorded starts of a job's tasks.
func (c *cluster) startsOf(s *submission) int {
	count := 0
	for _, r := range c.starts() {
		if slices.Contains(s.tokens, r.Token) {
			count++
		}
	}
	return count
}

// TestGracefulStopCompletesJobs stops an entry and an agent gracefully under
// load. Every job must complete, including jobs with tasks that run longer than
// a stopping process needs to close its connections.
func TestGracefulStopCompletesJobs(t *testing.T) {
	t.Parallel()
	c := newSystem(t)
	h := &history{}
	l := c.startLoad(h, 6, 5, 20)
	l.waitForMore(30)
	long := c.startLongJobs(h, "at the entry's stop")
	c.g.Expect(c.entries[0].stop()).To(Succeed())
	long.Wait()
	l.waitForMore(30)
	c.dropFirstEntry()
	long = c.startLongJobs(h, "at the agent's stop")
	c.g.Expect(c.agents[len(c.agents)-1].stop()).To(Succeed())
	long.Wait()
	l.waitForMore(30)
	l.stopAndWait()
	v := c.check(h)
	c.g.Expect(l.failed.Load()).To(BeZero(), "jobs failed by a graceful stop: %+v", v)
	c.g.Expect(v.Failed).To(BeZero())
	c.g.Expect(v.NoAnswer).To(BeZero())
	t.Logf("verdicts: %+v", v)
}
