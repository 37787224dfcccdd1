package taskrunner_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// Guards against a task that runs without a line in the agent's log: the reply to its start is
// lost, or comes while the run is being stopped.
func TestEachStartedRunIsLoggedOnce(t *testing.T) {
	key := runKey("job", 0)
	stop := func(h *harness) {
		h.lastCall++
		h.step(taskrunner.OrderCalled{Call: h.lastCall, Session: 1, Request: session.OrderRequest{Echo: h.reading(), Stop: []uint64{1}}})
	}
	lose := func(h *harness) { h.step(taskrunner.StartReplied{Key: key, Result: taskrunner.StartUnknown}) }
	list := func(h *harness) { h.answerRenewal(0, []taskrunner.RunningRow{{Key: key}}) }
	for name, test := range map[string]struct {
		steps   []func(h *harness)
		logged  int
		replyMs int // from the last start sent
	}{
		"accepted":               {[]func(h *harness){func(h *harness) { h.acceptStart(key) }, list, list}, 1, 7},
		"accepted while stopped": {[]func(h *harness){stop, func(h *harness) { h.acceptStart(key) }, list}, 1, 7},
		"reply lost, listed":     {[]func(h *harness){lose, list, list}, 1, 0},
		"reply lost, listed ended": {[]func(h *harness){lose, func(h *harness) {
			h.answerRenewal(0, nil, taskrunner.EndRow{Index: 1, Key: key, Outcome: taskrunner.EndDone})
		}}, 1, 0},
		"no reply": {[]func(h *harness){lose, stop}, 0, 0},
		"rejected": {[]func(h *harness){func(h *harness) { h.step(taskrunner.StartReplied{Key: key, Result: taskrunner.StartDeclined}) }}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.makeReady()
			h.order(1, h.reading(), "job", 1000, 1)
			h.now = h.now.Add(7 * time.Millisecond)
			var lines []taskrunner.LogEvent
			for _, step := range test.steps {
				step(h)
				for _, l := range effects[taskrunner.LogEvent](h) {
					if l.Event == "task_started" {
						lines = append(lines, l)
					}
				}
			}
			h.Expect(lines).To(HaveLen(test.logged))
			for _, l := range lines {
				h.Expect(l.Task).To(Equal(key.String()))
				h.Expect(l.Detail).To(HaveSuffix(fmt.Sprintf("reply_ms=%d", test.replyMs)))
			}
		})
	}
}
