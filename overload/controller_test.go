package overload_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/overload"
)

// Processor time of the simulated entry, as wall time at its share of a core.
const (
	parseCost  = 60 * time.Microsecond // reading the header of a request
	rejectCost = 40 * time.Microsecond
	turnCost   = 2500 * time.Microsecond // decoding a request, planning and placing it
	endCost    = 600 * time.Microsecond  // the report of one task
	pollCost   = 300 * time.Microsecond  // the reply to a poll without reports
	helloCost  = 3 * time.Millisecond    // opening a session
	jobCost    = parseCost + turnCost + tasksPerJob*endCost
)

const (
	tasksPerJob = 4
	sessions    = 40
	pollPeriod  = 200 * time.Millisecond
	sessionTTL  = 450 * time.Millisecond
	deadline    = 900 * time.Millisecond // of a job, from its arrival
)

// bestRate returns the most jobs a second that the entry can answer if it knew in advance
// which to reject.
func bestRate(arrivals float64) float64 {
	polls := float64(sessions) * pollCost.Seconds() / pollPeriod.Seconds()
	rejecting := (parseCost + rejectCost).Seconds()
	return min(arrivals, (1-polls-arrivals*rejecting)/(jobCost.Seconds()-rejecting))
}

// work is something the entry has to handle from a time on.
type work struct {
	at     time.Duration
	cost   time.Duration
	handle func(now time.Duration)
}

type workHeap []work

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h workHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *workHeap) Push(x any)        { *h = append(*h, x.(work)) }
func (h *workHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}

// simulatedEntry has one processor. It handles what has arrived in order; requests get their
// turns when nothing else waits. A session ends when its poll is handled too late, and its
// tasks are placed again.
type simulatedEntry struct {
	controller *overload.Controller // nil if all requests are admitted as they arrive
	rng        *rand.Rand
	now        time.Duration
	rate       func(now time.Duration) float64 // of arrivals per second
	future     workHeap
	turns      []work
	tasks      [sessions]map[*simulatedTask]bool
	answered   map[time.Duration]int // in time, by the second of their answer
	lost       int                   // sessions
}

type simulatedJob struct {
	deadline  time.Duration
	remaining int
}

type simulatedTask struct {
	job     *simulatedJob
	session int
}

func newSimulatedEntry(c *overload.Controller, rate func(time.Duration) float64) *simulatedEntry {
	e := &simulatedEntry{controller: c, rng: rand.New(rand.NewPCG(1, 2)), rate: rate, answered: make(map[time.Duration]int)}
	for i := range sessions {
		e.tasks[i] = make(map[*simulatedTask]bool)
		e.schedulePoll(i, time.Duration(i)*pollPeriod/sessions, pollCost)
	}
	e.scheduleArrival()
	return e
}

func (e *simulatedEntry) clock() time.Time { return time.Unix(0, 0).Add(e.now) }

func (e *simulatedEntry) schedule(at, cost time.Duration, handle func(time.Duration)) {
	heap.Push(&e.future, work{at: at, cost: cost, handle: handle})
}

func (e *simulatedEntry) run(until time.Duration) {
	for e.now < until {
		var w work
		switch {
		case len(e.future) > 0 && (e.future[0].at <= e.now || len(e.turns) == 0):
			w = heap.Pop(&e.future).(work)
		default:
			w, e.turns = e.turns[0], e.turns[1:]
		}
		e.now = max(e.now, w.at)
		if w.handle != nil {
			started := e.now
			e.now += w.cost
			w.handle(started)
		}
	}
}

func (e *simulatedEntry) schedulePoll(session int, at, cost time.Duration) {
	e.schedule(at, cost, func(started time.Duration) {
		delay := started - at
		if e.controller != nil {
			e.controller.ObserveMessage(e.clock(), delay)
		}
		if pollPeriod+delay > sessionTTL {
			e.sessionLost(session)
			e.schedulePoll(session, e.now+pollPeriod, helloCost)
			return
		}
		e.schedulePoll(session, e.now+pollPeriod, pollCost)
	})
}

func (e *simulatedEntry) sessionLost(session int) {
	e.lost++
	for t := range e.tasks[session] {
		delete(e.tasks[session], t)
		if t.job.deadline > e.now {
			e.now += turnCost / tasksPerJob
			e.place(t.job)
		}
	}
}

func (e *simulatedEntry) scheduleArrival() {
	at := e.now + time.Duration(e.rng.ExpFloat64()/e.rate(e.now)*float64(time.Second))
	e.schedule(at, parseCost, func(time.Duration) {
		arrivedAt := e.now
		e.now = at // the next request arrives whether or not this one is handled late
		e.scheduleArrival()
		e.now = arrivedAt
		switch {
		case e.controller == nil:
			e.now += turnCost
			e.admit(at)
		case !e.controller.Arrive(e.clock()):
			e.now += rejectCost
		default:
			e.turns = append(e.turns, work{at: arrivedAt, handle: func(started time.Duration) {
				if !e.controller.Turn(e.clock(), started-arrivedAt) {
					e.now += rejectCost
					return
				}
				e.now += turnCost
				e.admit(at)
			}})
		}
	})
}

func (e *simulatedEntry) admit(arrived time.Duration) {
	j := &simulatedJob{deadline: arrived + deadline, remaining: tasksPerJob}
	for range tasksPerJob {
		e.place(j)
	}
}

func (e *simulatedEntry) place(j *simulatedJob) {
	t := &simulatedTask{job: j, session: e.rng.IntN(sessions)}
	e.tasks[t.session][t] = true
	e.schedule(e.now+60*time.Millisecond+time.Duration(e.rng.IntN(140))*time.Millisecond, endCost, func(time.Duration) {
		if !e.tasks[t.session][t] {
			return
		}
		delete(e.tasks[t.session], t)
		if j.remaining--; j.remaining == 0 && e.now <= j.deadline {
			e.answered[e.now.Truncate(time.Second)]++
		}
	})
}

// rateBetween returns the mean rate of jobs answered in time in whole seconds.
func (e *simulatedEntry) rateBetween(from, to time.Duration) float64 {
	n := 0
	for s := from; s < to; s += time.Second {
		n += e.answered[s]
	}
	return float64(n) / (to - from).Seconds()
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Guards against an overloaded entry that admits more than it can answer: its goodput falls,
// and its sessions end by its own lateness.
func TestGoodputUnderOverload(t *testing.T) {
	capacity := bestRate(1e3)
	for _, factor := range []float64{0.9, 1.2, 2, 3, 5, 10} {
		t.Run(fmt.Sprintf("%g times the capacity", factor), func(t *testing.T) {
			g := NewWithT(t)
			const length = 3 * time.Minute
			arrivals := factor * capacity
			e := newSimulatedEntry(overload.NewController(), constant(arrivals))
			e.run(length)
			g.Expect(e.rateBetween(2*time.Second, length)).To(BeNumerically(">=", 0.9*bestRate(arrivals)))
			g.Expect(e.lost).To(BeZero(), "sessions lost")
			counts := e.controller.Counts()
			g.Expect(counts.Expired).To(BeNumerically("<=", counts.Rejected/50+1), "requests that waited before they were rejected")
		})
	}
}

// The simulation shows the failure that the controller prevents.
func TestGoodputWithoutControl(t *testing.T) {
	g := NewWithT(t)
	arrivals := 2 * bestRate(1e3)
	e := newSimulatedEntry(nil, constant(arrivals))
	e.run(30 * time.Second)
	g.Expect(e.rateBetween(10*time.Second, 30*time.Second)).To(BeNumerically("<", 0.1*bestRate(arrivals)))
	g.Expect(e.lost).To(BeNumerically(">", 0))
}

// Guards against an entry that stays down, or goes on rejecting, after a surge.
func TestGoodputReturnsAfterSurge(t *testing.T) {
	const surgeStart, surgeEnd = 10 * time.Second, 40 * time.Second
	calm := 0.8 * bestRate(1e3)
	for _, factor := range []float64{2, 5, 10} {
		t.Run(fmt.Sprintf("%g times the capacity", factor), func(t *testing.T) {
			g := NewWithT(t)
			e := newSimulatedEntry(overload.NewController(), func(now time.Duration) float64 {
				if now >= surgeStart && now < surgeEnd {
					return factor * bestRate(1e3)
				}
				return calm
			})
			e.run(60 * time.Second)
			before := e.rateBetween(2*time.Second, surgeStart)
			after := e.rateBetween(surgeEnd+2*time.Second, 60*time.Second)
			g.Expect(after).To(BeNumerically(">=", 0.95*before))
			g.Expect(e.controller.Overloaded()).To(BeFalse())
		})
	}
}

// arrivals lets requests arrive at once and returns how many may wait for a turn.
func arrivals(c *overload.Controller, now time.Time, n int) int {
	admitted := 0
	for range n {
		if c.Arrive(now) {
			admitted++
		}
	}
	return admitted
}

// Guards against bursts that are rejected although they would have their turns in time, and
// against ones that make all others wait.
func TestBurstMayWaitLongerThanOthers(t *testing.T) {
	g := NewWithT(t)
	c := overload.NewController()
	const interval = 5 * time.Millisecond
	now := time.Unix(0, 0)
	turn := func() {
		now = now.Add(interval)
		c.Turn(now, 0)
	}
	arrivals(c, now, 100)
	for range 100 {
		turn()
	}
	g.Expect(arrivals(c, now, 100)).To(BeNumerically("~", 150/5, 1))
	for range 100 { // as many arrive as get turns, and the wait stays long
		turn()
		arrivals(c, now, 1)
	}
	for c.ExpectedWait() > 50*time.Millisecond {
		turn()
	}
	g.Expect(arrivals(c, now, 100)).To(BeNumerically("<=", 2))
}

// Guards against answers that come too late because a request has waited for its turn.
func TestRequestThatHasWaitedTooLongIsRejected(t *testing.T) {
	g := NewWithT(t)
	c := overload.NewController()
	now := time.Unix(0, 0)
	arrivals(c, now, 2)
	g.Expect(c.Turn(now, overload.MaxWait)).To(BeTrue())
	g.Expect(c.Turn(now, overload.MaxWait+1)).To(BeFalse())
}

// Guards against an entry that admits all requests while it handles the messages of admitted
// work late, against one that takes a single late agent for its own lateness, and against a
// share that does not return.
func TestShareFollowsLatenessOfMessages(t *testing.T) {
	g := NewWithT(t)
	c := overload.NewController()
	now := time.Unix(0, 0)
	observe := func(d time.Duration, delays ...time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			for _, delay := range delays {
				c.ObserveMessage(now, delay)
			}
		}
	}
	observe(time.Second, 300*time.Millisecond, time.Millisecond)
	g.Expect(c.Overloaded()).To(BeFalse())
	observe(time.Second, 300*time.Millisecond, 100*time.Millisecond)
	g.Expect(c.Share()).To(BeNumerically("<", 0.2))
	g.Expect(c.RetryAfter()).To(BeNumerically("~", 2*time.Second, 500*time.Millisecond))
	admitted := 0
	for range 100 {
		if c.Arrive(now) {
			admitted++
			c.Leave(now)
		}
	}
	g.Expect(admitted).To(BeNumerically("<", 20))
	observe(2100*time.Millisecond, time.Millisecond)
	g.Expect(c.Overloaded()).To(BeFalse())
}
