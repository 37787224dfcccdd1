package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// exploredSteps bounds the events of the histories of which all are explored, drawnSteps
// those of drawn ones, after the first submission.
const (
	exploredSteps = 4
	drawnSteps    = 16
)

// observedPlacement is what an observer outside the entry knows of a placement.
type observedPlacement struct {
	task, agent int
	live        bool // may run, or may still start
	inDoubt     time.Time
	mayHaveRun  bool
}

// observer follows one job of two tasks from outside the entry, and checks the answers.
type observer struct {
	h          *harness
	placements map[uint64]*observedPlacement
	lastID     uint64
	sessions   map[int]dispatch.SessionID // by agent; zero while it has none
	lastAgent  dispatch.SessionID
	open       map[dispatch.CallID]bool
	done       map[int]bool // tasks
	refused    int          // calls answered as not run
	otherwise  int          // calls closed, or answered in another way
	wrong      string
}

func newObserver(t *testing.T) *observer {
	o := &observer{h: newHarness(t), placements: make(map[uint64]*observedPlacement), sessions: make(map[int]dispatch.SessionID),
		open: make(map[dispatch.CallID]bool), done: make(map[int]bool)}
	o.connect(1)
	o.connect(2)
	o.submit()
	return o
}

func (o *observer) connect(agent int) {
	for _, p := range o.placements {
		p.live = p.live && p.agent != agent // ended before the agent opens the session
	}
	o.lastAgent++
	o.sessions[agent] = o.lastAgent
	o.step(dispatch.SessionOpened{ID: o.lastAgent, Agent: fmt.Sprintf("agent-%d", agent), Zone: "zone-a", State: o.h.state(idle)})
}

func (o *observer) submit() {
	o.h.call++
	o.open[o.h.call] = true
	o.step(dispatch.SubmitCalled{Call: o.h.call, Job: dispatch.Job{
		Name: "job", Queue: queue(), Tasks: 2, CPU: 1000, MemMB: 1, Estimate: 100 * time.Millisecond, Timeout: 2500 * time.Millisecond,
	}})
}

func (o *observer) fail(format string, args ...any) {
	if o.wrong == "" {
		o.wrong = fmt.Sprintf(format, args...)
	}
}

func (o *observer) step(ev dispatch.Event) {
	o.h.step(ev)
	for _, p := range o.placements {
		if !p.inDoubt.IsZero() && !o.h.now.Before(p.inDoubt) {
			p.live = false
		}
	}
	refusedBefore := o.refused
	for _, ef := range o.h.last {
		switch ef := ef.(type) {
		case dispatch.Order:
			o.ordered(ef)
		case dispatch.Answered:
			o.answered(ef)
		case dispatch.Refused:
			o.refusedCall(ef)
		}
	}
	if o.refused > refusedBefore && len(o.open) > 0 {
		o.fail("a call is refused as not run while the job is open for another")
	}
	if len(o.open) == 0 && o.otherwise == 0 && o.refused > 0 {
		for _, p := range o.placements {
			if p.live || p.mayHaveRun {
				o.fail("all calls were refused as not run, and task %d may have run", p.task)
			}
		}
	}
}

func (o *observer) ordered(ef dispatch.Order) {
	for _, part := range ef.Start {
		for _, start := range part.Tasks {
			for _, p := range o.placements {
				if p.live && p.task == start.Index {
					o.fail("task %d is placed twice", start.Index)
				}
			}
			agent := 1
			if o.sessions[2] == ef.ID {
				agent = 2
			}
			o.placements[start.ID] = &observedPlacement{task: start.Index, agent: agent, live: true}
			o.lastID = max(o.lastID, start.ID)
		}
	}
}

func (o *observer) answered(ef dispatch.Answered) {
	delete(o.open, ef.Call)
	o.otherwise++
	if ef.Status == dispatch.Completed && len(o.done) < 2 {
		o.fail("the job is answered as completed after %d of 2 tasks", len(o.done))
	}
}

func (o *observer) refusedCall(ef dispatch.Refused) {
	delete(o.open, ef.Call)
	if ef.Error.Verdict != structs.NotRun {
		o.otherwise++
		return
	}
	o.refused++
}

// choices returns the events that may happen next, by name.
func (o *observer) choices() []string {
	list := []string{"wait", "submit"}
	for call := range o.open {
		if call == o.h.call {
			list = append(list, "hang up")
		}
	}
	for agent := 1; agent <= 2; agent++ {
		if o.sessions[agent] == 0 {
			list = append(list, fmt.Sprint("connect ", agent))
		} else {
			list = append(list, fmt.Sprint("disconnect ", agent))
		}
	}
	for id := uint64(1); id <= o.lastID; id++ {
		p := o.placements[id]
		if p == nil || !p.live || !p.inDoubt.IsZero() {
			continue
		}
		for _, outcome := range []session.Outcome{session.Done, session.Failed, session.Lost, session.NotStarted} {
			list = append(list, fmt.Sprint(outcome, " ", id))
		}
	}
	return append(list, "cancel")
}

// apply makes an event happen.
func (o *observer) apply(choice string) {
	name, arg, _ := strings.Cut(choice, " ")
	var n int
	fmt.Sscan(arg, &n)
	switch name {
	case "wait":
		o.h.now = o.h.now.Add(1300 * time.Millisecond)
		for agent := 1; agent <= 2; agent++ {
			if id := o.sessions[agent]; id != 0 {
				o.step(dispatch.PollReplied{ID: id, Reply: session.PollReply{State: o.h.state(idle)}})
			}
		}
		o.step(dispatch.Ticked{})
		o.h.now = o.h.now.Add(100 * time.Millisecond) // an answer that waited for reports
		o.step(dispatch.Ticked{})
	case "submit":
		o.submit()
	case "hang":
		delete(o.open, o.h.call)
		o.otherwise++
		o.step(dispatch.CallClosed{Call: o.h.call})
	case "cancel":
		o.step(dispatch.CancelCalled{Call: 1 << 40, Name: "job", Queue: "holds"})
	case "connect":
		o.connect(n)
	case "disconnect":
		id := o.sessions[n]
		o.sessions[n] = 0
		for _, p := range o.placements {
			if p.agent == n && p.live {
				p.inDoubt, p.mayHaveRun = o.h.now.Add(inDoubtTimeout), true
			}
		}
		o.step(dispatch.SessionEnded{ID: id, LastHeard: o.h.now, Reason: "connection closed"})
	default:
		o.report(uint64(n), name)
	}
}

func (o *observer) report(id uint64, outcome string) {
	p := o.placements[id]
	p.live = false
	r := session.Report{ID: id, Outcome: map[string]session.Outcome{
		"done": session.Done, "failed": session.Failed, "lost": session.Lost, "not_started": session.NotStarted,
	}[outcome]}
	p.mayHaveRun = r.Outcome != session.NotStarted
	if r.Outcome == session.Done {
		o.done[p.task] = true
	}
	o.step(dispatch.PollReplied{ID: o.sessions[p.agent], Reply: session.PollReply{Reports: []session.Report{r}, State: o.h.state(idle)}})
}

// Guards against a job that is refused as not run although a task of it may have run, or
// that is answered as completed too early, and against a task that is placed while it may
// still run, in any order of reports, lost sessions, copies, cancels and timeouts.
func TestAnswersAreTrueInAllOrders(t *testing.T) {
	histories := 0
	var explore func(history []string)
	explore = func(history []string) {
		o := newObserver(t)
		for _, choice := range history {
			o.apply(choice)
		}
		histories++
		if o.wrong != "" {
			t.Fatalf("%s: after %q", o.wrong, history)
		}
		if len(history) == exploredSteps {
			return
		}
		for _, choice := range o.choices() {
			explore(append(history[:len(history):len(history)], choice))
		}
	}
	explore(nil)
	t.Logf("%d histories of up to %d events", histories, exploredSteps)
}

// Guards against the same in longer histories.
func TestAnswersAreTrueInDrawnOrders(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		o := newObserver(t)
		var history []string
		for range rapid.IntRange(exploredSteps, drawnSteps).Draw(r, "events") {
			choice := rapid.SampledFrom(o.choices()).Draw(r, "event")
			history = append(history, choice)
			o.apply(choice)
			if o.wrong != "" {
				r.Fatalf("%s: after %q", o.wrong, history)
			}
		}
	})
}
