package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// longTail is a queue of which three tasks in a hundred take seven times as long.
var longTail = []session.RunTimes{{Queue: "holds", Samples: 400, Ratios: []int{600, 650, 700, 800, 1000, 1200, 1300, 1400, 1500, 6500, 7000, 7000}}}

func newRunTimesHarness(t *testing.T, on bool) *harness {
	h := newHarness(t)
	h.d = dispatch.New(dispatch.Options{Entry: "entry-1", Zone: "zone-a", InDoubtTimeout: inDoubtTimeout, AnswerRetention: dispatch.DefaultAnswerRetention,
		Scheduling: dispatch.Scheduling{RunTimes: on}})
	return h
}

func (h *harness) agentWithRunTimes(id dispatch.SessionID, s serverState, list []session.RunTimes) {
	st := h.state(s)
	st.RunTimes = list
	h.step(dispatch.SessionOpened{ID: id, Agent: string(rune('a' + id)), Zone: "zone-a", State: st})
}

// A server that is slower than the objective allows for is late with the longest tasks,
// and a wide job has one of them more often than a narrow one.
func TestWideJobsTakeSureServersAndNarrowOnesTheOthers(t *testing.T) {
	for on, wide := range map[bool]dispatch.SessionID{false: 2, true: 1} {
		h := newRunTimesHarness(t, on)
		h.agentWithRunTimes(1, serverState{capacity: 100_000, free: 85_000, slowness: 1000}, longTail)
		h.agentWithRunTimes(2, serverState{capacity: 100_000, free: 100_000, slowness: 1700}, longTail)
		h.submit("narrow", 1, 100, 150*time.Millisecond)
		counts, _ := h.placed()
		h.Expect(counts).To(HaveKey(dispatch.SessionID(2)))
		h.submit("wide", 16, 100, 150*time.Millisecond)
		counts, _ = h.placed()
		h.Expect(counts).To(HaveKeyWithValue(wide, 16), "run times: %t", on)
	}
}

func TestConstantErrorOfAQueueCorrectsItsRunTimes(t *testing.T) {
	for on, agent := range map[bool]dispatch.SessionID{false: 1, true: 2} {
		h := newRunTimesHarness(t, on)
		twice := []session.RunTimes{{Queue: "holds", Samples: 400, Ratios: []int{1800, 1900, 1900, 1950, 2000, 2050, 2100, 2100, 2100, 2100, 2100, 2200}}}
		// By the estimate both make the objective, and the first has more free capacity.
		h.agentWithRunTimes(1, serverState{capacity: 20_000, free: 20_000, slowness: 1000}, twice)
		h.agentWithRunTimes(2, serverState{capacity: 20_000, free: 10_000, slowness: 500}, twice)
		h.submit("job", 1, 1000, 300*time.Millisecond)
		counts, _ := h.placed()
		h.Expect(counts).To(Equal(map[dispatch.SessionID]int{agent: 1}), "run times: %t", on)
	}
}

// One failure: an agent of another build sends quantiles that cannot be used.
func TestUnusableRunTimesAreLoggedAndChangeNothing(t *testing.T) {
	h := newRunTimesHarness(t, true)
	h.agentWithRunTimes(1, idle, []session.RunTimes{{Queue: "holds", Samples: 400, Ratios: []int{3, 2, 1}}})
	h.Expect(effects[dispatch.LogEvent](h)).To(ContainElement(HaveField("Event", "run_times_unusable")))
	h.Expect(h.d.Dump(h.now).RunTimes).To(BeEmpty())
	h.submit("job", 2, 1000, 60*time.Millisecond)
	counts, _ := h.placed()
	h.Expect(counts).To(HaveKeyWithValue(dispatch.SessionID(1), 2))
}
