package e2e_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// longFreeze exceeds the timeouts of entries towards agents: an entry drops
	// an agent that does not answer for 15 s.
	longFreeze = 20 * time.Second
	// shortFreeze exceeds the timeout of a control message (1 s) and is below
	// the 15 s after which an entry drops an agent.
	shortFreeze = 3 * time.Second
	// maxProcesses limits the child processes of this test binary.
	maxProcesses = 20
	// processesPerCluster is the size of one cluster.
	processesPerCluster = 9
)

// clusterSlots limits how many clusters run at once.
var clusterSlots = make(chan struct{}, maxProcesses/processesPerCluster)

// fault is one case of TestFaults: a fault injected under load.
type fault struct {
	name string
	// noJobFails means that no job may fail because of the fault.
	noJobFails bool
	cancels    bool
	inject     func(c *cluster, l *callers)
}

var faults = []fault{
	{name: "none", noJobFails: true, inject: func(*cluster, *callers) {}},
	{name: "cancel", cancels: true, inject: func(_ *cluster, l *callers) { l.waitForMore(60) }},
	{name: "cancel many jobs at once", cancels: true, inject: func(_ *cluster, l *callers) { l.cancelMany(300) }},
	{name: "kill agent", inject: func(c *cluster, _ *callers) { c.agents[0].restart() }},
	{name: "kill entry", inject: func(c *cluster, _ *callers) { c.entries[0].restart() }},
	{name: "kill backend server", inject: func(c *cluster, _ *callers) { c.backends[0].restart() }},
	{name: "kill entry without restart", inject: func(c *cluster, _ *callers) { c.entries[0].kill() }},
	{name: "kill entry and agent", cancels: true, inject: func(c *cluster, _ *callers) {
		c.entries[1].kill()
		c.agents[1].restart()
		c.entries[1].startAndWait()
	}},
	{name: "freeze agent past timeouts", inject: func(c *cluster, _ *callers) {
		freeze(longFreeze, c.agents[0])
	}},
	{name: "freeze agent briefly", noJobFails: true, inject: func(c *cluster, _ *callers) {
		freeze(shortFreeze, c.agents[0])
	}},
	{name: "freeze entry past timeouts", noJobFails: true, inject: func(c *cluster, _ *callers) {
		freeze(longFreeze, c.entries[0])
	}},
	{name: "freeze backend server", noJobFails: true, inject: func(c *cluster, _ *callers) {
		freeze(shortFreeze, c.backends[0])
	}},
	{name: "freeze agent and kill entry", inject: func(c *cluster, _ *callers) {
		c.agents[2].freeze()
		c.entries[0].restart()
		time.Sleep(longFreeze)
		c.agents[2].resume()
	}},
	{name: "close connections", noJobFails: true, inject: func(c *cluster, l *callers) {
		for range 5 {
			c.eachProxy(func(p *tcpProxy) { p.closeAll() })
			l.waitForMore(5)
		}
	}},
	{name: "refuse connections to one agent", noJobFails: true, inject: func(c *cluster, _ *callers) {
		c.eachProxyOf(0, func(p *tcpProxy) { p.refuseConnections(true) })
		time.Sleep(shortFreeze)
		c.eachProxyOf(0, func(p *tcpProxy) { p.refuseConnections(false) })
	}},
	{name: "discard traffic both ways", noJobFails: true, inject: func(c *cluster, l *callers) {
		c.eachProxy(func(p *tcpProxy) { p.discardTraffic(toTarget, fromTarget) })
		l.waitForMore(20)
	}},
	{name: "discard traffic to agents", noJobFails: true, inject: func(c *cluster, l *callers) {
		c.eachProxy(func(p *tcpProxy) { p.discardTraffic(toTarget) })
		l.waitForMore(20)
	}},
	{name: "discard traffic to entries", noJobFails: true, inject: func(c *cluster, l *callers) {
		c.eachProxy(func(p *tcpProxy) { p.discardTraffic(fromTarget) })
		l.waitForMore(20)
	}},
	{name: "discard traffic to entries and kill entry", inject: func(c *cluster, _ *callers) {
		c.eachProxy(func(p *tcpProxy) { p.discardTraffic(fromTarget) })
		c.entries[0].restart()
	}},
	{name: "delay and close connections", noJobFails: true, inject: func(c *cluster, l *callers) {
		c.eachProxy(func(p *tcpProxy) { p.setDelay(50 * time.Millisecond) })
		l.waitForMore(20)
		c.eachProxy(func(p *tcpProxy) { p.closeAll() })
		l.waitForMore(10)
		c.eachProxy(func(p *tcpProxy) { p.setDelay(0) })
	}},
	{name: "log frozen", noJobFails: true, inject: func(c *cluster, l *callers) {
		c.log.freeze()
		l.waitForMore(60)
		c.log.resume()
	}},
	{name: "graceful stops with the log frozen", noJobFails: true, inject: func(c *cluster, l *callers) {
		c.log.freeze()
		c.g.Expect(c.agents[0].stop()).To(Succeed())
		l.waitForMore(20)
		c.g.Expect(c.entries[0].stop()).To(Succeed())
		l.waitForMore(20)
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

// eachProxy applies f to the connections between every entry and every agent.
func (c *cluster) eachProxy(f func(*tcpProxy)) {
	for i := range c.relays {
		c.eachProxyOf(i, f)
	}
}

// eachProxyOf applies f to the connections between every entry and one agent.
func (c *cluster) eachProxyOf(agent int, f func(*tcpProxy)) {
	r := c.relays[agent]
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, proxy := range r.proxies {
		f(proxy)
	}
}

// TestFaults checks under each fault that no task starts twice or contrary to
// its verdict and that final answers do not change, with concurrent callers
// that resubmit through another entry.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			testFault(t, f)
		})
	}
}

func testFault(t *testing.T, f fault) {
	c := newSystem(t)
	h := &history{}
	l := c.startCallers(h, 8, f.cancels)
	l.waitForMore(40)
	f.inject(c, l)
	l.waitForMore(40)
	l.stopAndWait()
	v := c.check(h)
	t.Logf("verdicts: %+v", v)
	c.g.Expect(v.Complete).To(BeNumerically(">", 0))
	if f.noJobFails {
		c.g.Expect(v.Failed).To(BeZero(), "jobs failed under a fault that must not fail any")
		c.g.Expect(v.NoAnswer).To(BeZero(), "jobs without a final answer")
	}
}
