package e2e_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// pastTimeouts exceeds each timeout that entries and agents have towards
	// each other.
	pastTimeouts = 20 * time.Second
	// shortFreeze exceeds the timeout of a control message, and is below the
	// bound after which an agent is given up.
	shortFreeze = 3 * time.Second
	// maxProcesses bounds the children of this test binary.
	maxProcesses = 20
	// perCluster is how many of them a cluster has.
	perCluster = 9
)

// clusterSlots bounds how many clusters run at once.
var clusterSlots = make(chan struct{}, maxProcesses/perCluster)

// fault is one proof of issue 4: what happens under load, and whether it may
// fail a job.
type fault struct {
	name string
	// harmless says that no job may fail.
	harmless bool
	cancels  bool
	inflict  func(c *cluster, l *callers)
}

var faults = []fault{
	{name: "none", harmless: true, inflict: func(*cluster, *callers) {}},
	{name: "cancel", cancels: true, inflict: func(_ *cluster, l *callers) { l.more(60) }},
	{name: "cancel wave", cancels: true, inflict: func(_ *cluster, l *callers) { l.cancelWave(300) }},
	{name: "kill agent", inflict: func(c *cluster, _ *callers) { c.agents[0].restart() }},
	{name: "kill entry", inflict: func(c *cluster, _ *callers) { c.entries[0].restart() }},
	{name: "kill backend server", inflict: func(c *cluster, _ *callers) { c.servers[0].restart() }},
	{name: "kill entry for good", inflict: func(c *cluster, _ *callers) { c.entries[0].kill() }},
	{name: "kill entry and agent", cancels: true, inflict: func(c *cluster, _ *callers) {
		c.entries[1].kill()
		c.agents[1].restart()
		c.entries[1].begin()
	}},
	{name: "freeze agent past timeouts", inflict: func(c *cluster, _ *callers) {
		freeze(pastTimeouts, c.agents[0])
	}},
	{name: "freeze agent shortly", harmless: true, inflict: func(c *cluster, _ *callers) {
		freeze(shortFreeze, c.agents[0])
	}},
	{name: "freeze entry past timeouts", harmless: true, inflict: func(c *cluster, _ *callers) {
		freeze(pastTimeouts, c.entries[0])
	}},
	{name: "freeze backend server", harmless: true, inflict: func(c *cluster, _ *callers) {
		freeze(shortFreeze, c.servers[0])
	}},
	{name: "freeze agent and kill entry", inflict: func(c *cluster, _ *callers) {
		c.agents[2].freeze()
		c.entries[0].restart()
		time.Sleep(pastTimeouts)
		c.agents[2].resume()
	}},
	{name: "cut", harmless: true, inflict: func(c *cluster, l *callers) {
		for range 5 {
			c.eachLink(func(f *forwarder) { f.cut() })
			l.more(5)
		}
	}},
	{name: "cut and refuse", harmless: true, inflict: func(c *cluster, _ *callers) {
		c.eachLinkOf(0, func(f *forwarder) { f.refuseNew(true) })
		time.Sleep(shortFreeze)
		c.eachLinkOf(0, func(f *forwarder) { f.refuseNew(false) })
	}},
	{name: "silent both ways", harmless: true, inflict: func(c *cluster, l *callers) {
		c.eachLink(func(f *forwarder) { f.silence(toTarget, fromTarget) })
		l.more(20)
	}},
	{name: "silent towards agents", harmless: true, inflict: func(c *cluster, l *callers) {
		c.eachLink(func(f *forwarder) { f.silence(toTarget) })
		l.more(20)
	}},
	{name: "silent towards entries", harmless: true, inflict: func(c *cluster, l *callers) {
		c.eachLink(func(f *forwarder) { f.silence(fromTarget) })
		l.more(20)
	}},
	{name: "silent and kill entry", inflict: func(c *cluster, _ *callers) {
		c.eachLink(func(f *forwarder) { f.silence(fromTarget) })
		c.entries[0].restart()
	}},
	{name: "slow and cut", harmless: true, inflict: func(c *cluster, l *callers) {
		c.eachLink(func(f *forwarder) { f.setDelay(50 * time.Millisecond) })
		l.more(20)
		c.eachLink(func(f *forwarder) { f.cut() })
		l.more(10)
		c.eachLink(func(f *forwarder) { f.setDelay(0) })
	}},
	{name: "log down", harmless: true, inflict: func(c *cluster, l *callers) {
		c.log.freeze()
		l.more(60)
		c.log.resume()
	}},
	{name: "graceful stops with the log down", harmless: true, inflict: func(c *cluster, l *callers) {
		c.log.freeze()
		c.g.Expect(c.agents[0].stop()).To(Succeed())
		l.more(20)
		c.g.Expect(c.entries[0].stop()).To(Succeed())
		l.more(20)
		c.log.resume()
	}},
}

func freeze(d time.Duration, daemons ...*daemon) {
	for _, p := range daemons {
		p.freeze()
	}
	time.Sleep(d)
	for _, p := range daemons {
		p.resume()
	}
}

// eachLink interferes with every entry's way to every agent.
func (c *cluster) eachLink(f func(*forwarder)) {
	for i := range c.relays {
		c.eachLinkOf(i, f)
	}
}

// eachLinkOf interferes with the entries' ways to one agent.
func (c *cluster) eachLinkOf(agent int, f func(*forwarder)) {
	r := c.relays[agent]
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, fw := range r.forwarders {
		f(fw)
	}
}

// TestFaults checks every promise of issue 4 under each fault, with concurrent
// callers that resubmit through another entry.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			prove(t, f)
		})
	}
}

func prove(t *testing.T, f fault) {
	c := newSystem(t)
	h := &history{}
	l := c.startCallers(h, 8, f.cancels)
	l.more(40)
	f.inflict(c, l)
	l.more(40)
	l.end()
	v := c.check(h)
	t.Logf("verdicts: %+v", v)
	c.g.Expect(v.Complete).To(BeNumerically(">", 0))
	if f.harmless {
		c.g.Expect(v.Failed).To(BeZero(), "jobs failed by a fault that must fail none")
		c.g.Expect(v.NoAnswer).To(BeZero(), "jobs without a final answer")
	}
}
