package platform_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
)

// Guards against a check that takes a run whose lease has ended for one that is running, because
// the goroutine that ends it is late, and against one that misses a run that is stopped late.
func TestTaskRunsTwiceByTheTimesOfItsRuns(t *testing.T) {
	start := time.Now()
	for name, test := range map[string]struct {
		outcome string
		endsAt  time.Duration // after the first start; the second is after 400 ms
		twice   bool
	}{
		"lease over before the second start":  {"lapsed", 300 * time.Millisecond, false},
		"lease over after the second start":   {"lapsed", 401 * time.Millisecond, true},
		"stopped after the second start":      {"stopped", 500 * time.Millisecond, true},
		"neither run has ended at the second": {"", 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newInvariantChecker()
			run := leaseserver.RunningTask{TaskRun: leaseserver.TaskRun{Name: "00e2.0.0.0", Number: 1}}
			c.started("server-1", run, start)
			c.started("server-2", run, start.Add(400*time.Millisecond))
			g.Expect(c.err()).To(HaveOccurred(), "the first run may be running")
			if test.outcome != "" {
				c.ended("server-1", run.TaskRun, test.outcome, start.Add(test.endsAt))
			}
			c.ended("server-2", run.TaskRun, "done", start.Add(time.Second))
			g.Expect(c.err() != nil).To(Equal(test.twice))
		})
	}
}

// Guards against a check that passes over a start long after the refusal of its job, or one before it
// that no other attempt explains, and against one that fails for what an attempt without an answer
// had started.
func TestRefusedJobByTheTimesOfItsStarts(t *testing.T) {
	answered := time.Now()
	for name, test := range map[string]struct {
		startsAfter      []time.Duration // after the answer
		unansweredBefore bool
		violations       int
	}{
		"never started":                        {nil, false, 0},
		"started before, only attempt":         {[]time.Duration{-time.Millisecond}, false, 1},
		"started before by an earlier attempt": {[]time.Duration{-time.Second, -time.Millisecond}, true, 0},
		"started after, only attempt":          {[]time.Duration{time.Millisecond}, false, 1},
		"started after by an earlier attempt":  {[]time.Duration{-time.Second, time.Millisecond}, true, 1},
		"started long after":                   {[]time.Duration{10 * time.Second}, true, 1},
		"two tasks, before and after":          {[]time.Duration{-time.Second, time.Second}, false, 2},
	} {
		for _, order := range []string{"starts known first", "answer known first"} {
			t.Run(name+", "+order, func(t *testing.T) {
				g := NewWithT(t)
				c := newInvariantChecker()
				if order == "answer known first" {
					c.refused("00e3", refusal{answered, test.unansweredBefore})
				}
				for i, after := range test.startsAfter {
					run := leaseserver.RunningTask{TaskRun: leaseserver.TaskRun{Name: fmt.Sprintf("00e3.0.0.%d", i), Number: 1}}
					c.resized("server-1", serverCPU)
					c.started("server-1", run, answered.Add(after))
				}
				c.started("server-1", leaseserver.RunningTask{TaskRun: leaseserver.TaskRun{Name: "00e4.0.0.0", Number: 1}}, answered.Add(time.Second))
				c.refused("00e3", refusal{answered, test.unansweredBefore})
				g.Expect(c.violations).To(HaveLen(test.violations))
				g.Expect(c.err() != nil).To(Equal(test.violations > 0))
			})
		}
	}
}

// Guards against stand-ins that are late together: a server records a call while it holds its own
// lock, and waited there for the others.
func TestServersRecordCallsIndependently(t *testing.T) {
	g := NewWithT(t)
	r := newRecorder()
	r.callsAt("server-1")
	add := r.callsAt("server-2")
	r.calls["server-1"].mu.Lock() // server-1 records a call
	defer r.calls["server-1"].mu.Unlock()
	recorded := make(chan struct{})
	go func() {
		add(leaseserver.Call{Server: "server-2"})
		close(recorded)
	}()
	g.Eventually(recorded, "10s").Should(BeClosed())
	g.Expect(r.calls["server-2"].since(time.Time{})).To(HaveLen(1))
}
