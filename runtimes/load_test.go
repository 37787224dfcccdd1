package runtimes_test

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

const (
	linkDelay   = 1  // ms, of each message and call
	renewalWait = 50 // ms
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is entries, agents and backend servers, stepped in ms. Only the servers and
// the links are fakes.
type fleet struct {
	rng     *rand.Rand
	ms      int
	due     map[int][]func()
	opts    dispatch.Options
	entries []*dispatch.Dispatcher
	servers []*server
	calls   map[dispatch.CallID]*call
	results []*call
	works   map[taskrunner.TaskKey]time.Duration // true run time on a server of reference speed
}

type call struct {
	queue     string
	tasks     int
	arrived   int
	objective float64 // ms
	took      float64 // ms
	served    bool
	refused   bool // and not run
}

type server struct {
	f       *fleet
	id      dispatch.SessionID
	runner  *taskrunner.Runner
	slow    float64 // run time over work
	started map[taskrunner.RunKey][2]int
	ended   []taskrunner.EndRow
	endSeq  int64
	pending []taskrunner.RenewLease
	stamp   []session.ClockReading // by entry
	seen    []uint64
}

func newFleet(seed int64, on bool, entries int, slowness []float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(seed)), due: map[int][]func(){}, calls: map[dispatch.CallID]*call{}, works: map[taskrunner.TaskKey]time.Duration{}}
	f.opts = dispatch.Options{Entry: "e", Zone: "z", InDoubtTimeout: 870 * time.Millisecond, AnswerRetention: time.Second, Scheduling: dispatch.Scheduling{RunTimes: on}}
	for range entries {
		f.entries = append(f.entries, dispatch.New(f.opts))
	}
	for i, slow := range slowness {
		s := &server{f: f, id: dispatch.SessionID(i + 1), slow: slow, started: map[taskrunner.RunKey][2]int{},
			stamp: make([]session.ClockReading, entries), seen: make([]uint64, entries)}
		s.runner = taskrunner.New(taskrunner.Options{Agent: fmt.Sprint("agent-", i), Incarnation: 1, Service: "render", Token: 1, Lease: taskrunner.DefaultLease,
			SessionTTL: taskrunner.DefaultSessionTTL, RenewalWait: renewalWait * time.Millisecond, PollWait: taskrunner.DefaultPollWait, StopTimeout: 50 * time.Millisecond, RunTimes: on})
		f.servers = append(f.servers, s)
		s.step(taskrunner.ServerReported{Info: taskrunner.ServerInfo{ID: fmt.Sprint("server-", i), Incarnation: 1, Seq: 1, Service: "render", CPU: 64_000, MemMB: 1 << 20}})
		for e := range f.entries {
			f.after(1, func() { s.hello(e) })
		}
	}
	return f
}

func (f *fleet) now() time.Time          { return epoch.Add(time.Duration(f.ms) * time.Millisecond) }
func (f *fleet) after(ms int, do func()) { f.due[f.ms+ms] = append(f.due[f.ms+ms], do) }
func (f *fleet) clock() time.Duration    { return time.Hour + time.Duration(f.ms)*time.Millisecond }
func millis(d time.Duration) float64     { return float64(d) / float64(time.Millisecond) }

// run advances the time to the given ms.
func (f *fleet) run(until int) {
	for ; f.ms < until; f.ms++ {
		for len(f.due[f.ms]) > 0 {
			do := f.due[f.ms][0]
			f.due[f.ms] = f.due[f.ms][1:]
			do()
		}
		delete(f.due, f.ms)
		for _, s := range f.servers {
			s.work()
			if !s.runner.NextWake().After(f.now()) {
				s.step(taskrunner.Ticked{})
			}
		}
		for e, d := range f.entries {
			if w := d.NextWake(); !w.IsZero() && !w.After(f.now()) {
				f.stepEntry(e, dispatch.Ticked{})
			}
		}
	}
}

func (f *fleet) stepEntry(e int, ev dispatch.Event) {
	for _, ef := range f.entries[e].Step(f.now(), ev) {
		switch ef := ef.(type) {
		case dispatch.CheckCallers:
			f.stepEntry(e, dispatch.CallersChecked{Connected: ef.Calls})
		case dispatch.AskPeers:
			f.stepEntry(e, dispatch.PeersAsked{Jobs: ef.Jobs})
		case dispatch.ProbeCallers:
			f.stepEntry(e, dispatch.CallersAcknowledged{Calls: ef.Calls})
		case dispatch.Order:
			s := f.servers[ef.ID-1]
			f.after(linkDelay, func() {
				s.step(taskrunner.OrderCalled{Call: taskrunner.CallID(ef.Number<<8 + uint64(e)), Session: uint64(e + 1), Request: session.OrderRequest{Echo: s.stamp[e], Start: ef.Start, Stop: ef.Stop}})
			})
		case dispatch.Answered:
			c := f.calls[ef.Call]
			c.took, c.served = float64(f.ms-c.arrived), ef.Status == dispatch.Completed
		case dispatch.Refused:
			f.calls[ef.Call].refused = ef.Error.Verdict == structs.NotRun
		}
	}
}

// submit hands in a job with the given true run times, in ms.
func (f *fleet) submit(queue string, cpu int, estimate float64, works []float64) {
	n := len(f.results)
	q := routing.Queue{Name: queue, Service: "render", Attempts: 3, Stretch: 1.6, TargetLatency: 60 * time.Millisecond}
	c := &call{queue: queue, tasks: len(works), arrived: f.ms, objective: 1.6*slices.Max(works) + 60}
	f.results = append(f.results, c)
	f.calls[dispatch.CallID(n)] = c
	name := fmt.Sprint("job-", n)
	for i, w := range works {
		f.works[taskrunner.TaskKey{Job: name, Index: i}] = time.Duration(w * float64(time.Millisecond))
	}
	f.stepEntry(f.rng.Intn(len(f.entries)), dispatch.SubmitCalled{Call: dispatch.CallID(n), Job: dispatch.Job{Name: name, Queue: q, Tasks: len(works), CPU: cpu, MemMB: 1,
		Estimate: time.Duration(math.Round(estimate)) * time.Millisecond, Timeout: time.Duration(c.objective+1500) * time.Millisecond}})
}

func (s *server) step(ev taskrunner.Event) {
	f := s.f
	for _, ef := range s.runner.Step(f.now(), ev) {
		switch ef := ef.(type) {
		case taskrunner.StartTask:
			took := int(math.Ceil(millis(f.works[ef.Key.TaskKey]) * s.slow))
			s.started[ef.Key] = [2]int{f.ms, f.ms + took}
			f.after(linkDelay, func() {
				s.step(taskrunner.StartReplied{Key: ef.Key, Result: taskrunner.StartAccepted, Clock: f.clock(), ServerIncarnation: 1})
			})
		case taskrunner.StopTask:
			if _, ok := s.started[ef.Key]; ok {
				s.end(ef.Key, taskrunner.EndStopped)
			}
			f.after(linkDelay, func() { s.step(taskrunner.StopReplied{Key: ef.Key, OK: true, Clock: f.clock()}) })
		case taskrunner.RenewLease:
			s.ended = slices.DeleteFunc(s.ended, func(e taskrunner.EndRow) bool { return e.Index <= ef.AckIndex })
			s.pending = append(s.pending, ef)
			f.after(int(ef.Wait.Milliseconds()), s.reply)
		case taskrunner.ReplyHello:
			e := int(ef.Call)
			s.stamp[e] = ef.Reply.State.Stamp
			f.stepEntry(e, dispatch.SessionOpened{ID: s.id, Agent: ef.Reply.Agent, Zone: "z", State: ef.Reply.State})
			s.poll(e)
		case taskrunner.ReplyOrder:
			f.after(linkDelay, func() {
				e := int(ef.Call & 0xff)
				s.stamp[e] = ef.Reply.State.Stamp
				f.stepEntry(e, dispatch.OrderReplied{ID: s.id, Number: uint64(ef.Call) >> 8, State: ef.Reply.State})
			})
		case taskrunner.ReplyPoll:
			f.after(linkDelay, func() {
				e := int(ef.Call)
				s.stamp[e] = ef.Reply.State.Stamp
				for _, r := range ef.Reply.Reports {
					s.seen[e] = max(s.seen[e], r.Seq)
				}
				f.stepEntry(e, dispatch.PollReplied{ID: s.id, Reply: ef.Reply})
				s.poll(e)
			})
		}
	}
}

func (s *server) poll(e int) {
	s.step(taskrunner.PollCalled{Call: taskrunner.CallID(e), Session: uint64(e + 1), Request: session.PollRequest{Echo: s.stamp[e], Seen: s.seen[e]}})
}

func (s *server) hello(e int) {
	s.step(taskrunner.HelloCalled{Call: taskrunner.CallID(e), Session: uint64(e + 1), Request: session.HelloRequest{Entry: fmt.Sprint("entry-", e), Incarnation: structs.Incarnation(e + 1)}})
}

func (s *server) end(k taskrunner.RunKey, o taskrunner.EndOutcome) {
	delete(s.started, k)
	s.endSeq++
	s.ended = append(s.ended, taskrunner.EndRow{Index: s.endSeq, Key: k, Outcome: o})
}

// work ends the tasks that are done.
func (s *server) work() {
	var done []taskrunner.RunKey
	for k, t := range s.started {
		if t[1] <= s.f.ms {
			done = append(done, k)
		}
	}
	slices.SortFunc(done, func(a, b taskrunner.RunKey) int { return slices.Compare([]byte(a.String()), []byte(b.String())) })
	for _, k := range done {
		s.end(k, taskrunner.EndDone)
	}
	if len(done) > 0 {
		s.reply()
	}
}

// reply answers the pending lease renewals.
func (s *server) reply() {
	rows := []taskrunner.RunningRow{}
	for k, t := range s.started {
		rows = append(rows, taskrunner.RunningRow{Key: k, Percent: max(min(int(100*(float64(s.f.ms-t[0])-s.offset(k))/float64(max(t[1]-t[0], 1))), 99), 0)})
	}
	slices.SortFunc(rows, func(a, b taskrunner.RunningRow) int {
		return slices.Compare([]byte(a.Key.String()), []byte(b.Key.String()))
	})
	clock, ended := s.f.clock(), slices.Clone(s.ended)
	for _, p := range s.pending {
		s.f.after(linkDelay, func() {
			s.step(taskrunner.RenewReplied{ID: p.ID, OK: true, ServerIncarnation: 1, Clock: clock, Running: rows, Ended: ended})
		})
	}
	s.pending = nil
}

// kind is a kind of jobs, as a shared renderer gets them.
type kind struct {
	queue     string
	perSecond float64
	width     float64 // mean number of tasks
	maxWidth  int
	work      float64 // mean of a task, ms
}

var kinds = []kind{{"check", 206, 8, 32, 60}, {"burn", 37.6, 4, 16, 900}, {"retime", 601, 2, 8, 200}}

// load are the properties of a load test.
type load struct {
	share   float64 // of the kinds' rates
	tail    float64 // share of tasks that take tailX times as long
	tailX   float64
	estErr  float64 // relative error of estimates
	ms      int
	seeds   int
	entries int
}

func lognormal(rng *rand.Rand, mean, spread float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

func (f *fleet) play(l load) {
	until := f.ms + l.ms
	for ; f.ms < until; f.run(f.ms + 1) {
		for _, k := range kinds {
			for n := f.rng.Float64(); n < k.perSecond*l.share/1000; n++ {
				f.arrive(&k, &l)
			}
		}
	}
	f.run(f.ms + 15000)
}

func (f *fleet) arrive(k *kind, l *load) {
	mean := lognormal(f.rng, k.work, 0.4)
	width := min(max(int(math.Round(lognormal(f.rng, k.width, 0.4))), 1), k.maxWidth)
	works := make([]float64, width)
	for i := range works {
		works[i] = mean * (0.85 + 0.3*f.rng.Float64())
		if f.rng.Float64() < l.tail {
			works[i] *= l.tailX
		}
	}
	estimate := mean * (1 - l.estErr + 2*l.estErr*f.rng.Float64())
	f.submit(k.queue, 5000, estimate, works)
}

// figures are of the jobs of several fleets.
type figures struct {
	jobs, served, refused int
	inTime                float64 // share
	p99                   float64 // of the time to the answer over the objective; three if refused
}

func figuresOf(fleets []*fleet, match func(*call) bool) figures {
	var r figures
	var ratios []float64
	for _, f := range fleets {
		for _, c := range f.results {
			switch {
			case !match(c):
				continue
			case !c.served:
				if c.refused {
					r.refused++
				}
				ratios = append(ratios, 3)
				continue
			}
			r.served++
			ratios = append(ratios, c.took/c.objective)
			if c.took <= c.objective {
				r.inTime++
			}
		}
	}
	slices.Sort(ratios)
	r.jobs = len(ratios)
	r.inTime /= float64(r.jobs)
	r.p99 = ratios[len(ratios)*99/100]
	return r
}

// widestFifth matches the jobs of a queue with more tasks than four fifths of them have.
func widestFifth(fleets []*fleet, queue string) func(*call) bool {
	var widths []int
	for _, f := range fleets {
		for _, c := range f.results {
			if c.queue == queue {
				widths = append(widths, c.tasks)
			}
		}
	}
	slices.Sort(widths)
	least := widths[len(widths)*4/5]
	return func(c *call) bool { return c.queue == queue && c.tasks > least }
}

// playBoth plays a load without and with learned run times.
func playBoth(t *testing.T, l load, slowness ...float64) (before, after []*fleet) {
	t.Helper()
	fleets := make([][]*fleet, 2)
	t.Run("play", func(t *testing.T) {
		for on := range fleets {
			fleets[on] = make([]*fleet, l.seeds)
			for seed := range l.seeds {
				t.Run(fmt.Sprintf("run_times=%t/seed=%d", on == 1, seed+1), func(t *testing.T) {
					t.Parallel()
					f := newFleet(int64(seed+1), on == 1, l.entries, slowness)
					f.run(20)
					f.play(l)
					fleets[on][seed] = f
				})
			}
		}
	})
	return fleets[0], fleets[1]
}

func everyJob(*call) bool { return true }

// expectBetter checks the targets: each kind 0.95 in time, no more refused and no fewer in
// time than without learned run times.
func expectBetter(t *testing.T, before, after []*fleet) {
	t.Helper()
	g := NewWithT(t)
	was, is := figuresOf(before, everyJob), figuresOf(after, everyJob)
	t.Logf("all: in time %.4f before, %.4f after; refused %d, %d, unserved %d, %d of %d", was.inTime, is.inTime,
		was.refused, is.refused, was.jobs-was.served, is.jobs-is.served, is.jobs)
	g.Expect(is.inTime).To(BeNumerically(">=", was.inTime))
	g.Expect(is.refused).To(BeNumerically("<=", was.refused))
	for _, k := range kinds {
		ofKind := func(c *call) bool { return c.queue == k.queue }
		widest := widestFifth(after, k.queue)
		was, is, wasWide, isWide := figuresOf(before, ofKind), figuresOf(after, ofKind), figuresOf(before, widest), figuresOf(after, widest)
		t.Logf("%s: in time %.4f before, %.4f after; p99 %.2f, %.2f; widest fifth %.4f, %.4f; p99 %.2f, %.2f", k.queue,
			was.inTime, is.inTime, was.p99, is.p99, wasWide.inTime, isWide.inTime, wasWide.p99, isWide.p99)
		g.Expect(is.inTime).To(BeNumerically(">=", 0.95), k.queue)
	}
}

// Load: three tasks in a hundred take seven times as long, which no estimate says.
func TestThreeTasksInAHundredSevenTimesAsLong(t *testing.T) {
	before, after := playBoth(t, load{entries: 4, share: 0.2, tail: 0.03, tailX: 7, estErr: 0.4, ms: 12_000, seeds: 2}, unequal(12, 1.25)...)
	expectBetter(t, before, after)
}

// Load: a third of the servers take 1.7 times as long as one of reference speed, which is
// more than the objective allows for.
func TestThirdOfServersSlow(t *testing.T) {
	before, after := playBoth(t, load{entries: 1, share: 0.18, tail: 0.03, tailX: 7, estErr: 0.4, ms: 12_000, seeds: 2}, unequal(12, 1.7)...)
	expectBetter(t, before, after)
}

// Load: wide jobs among narrow ones, on servers of unequal speed.
func TestWideJobsAmongNarrowOnes(t *testing.T) {
	g := NewWithT(t)
	before, after := playBoth(t, load{entries: 4, share: 0.16, tail: 0.03, tailX: 7, estErr: 0.4, ms: 12_000, seeds: 2}, unequal(12, 1.7)...)
	expectBetter(t, before, after)
	wide := widestFifth(after, "check")
	was, is := figuresOf(before, wide), figuresOf(after, wide)
	g.Expect(is.inTime).To(BeNumerically(">=", max(0.95, was.inTime)))
	g.Expect(is.p99).To(BeNumerically("<=", was.p99))
}

// unequal returns the slowness of n servers, of which a third are the slowest.
func unequal(n int, slowest float64) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = []float64{1, 0.8, slowest}[i%3]
	}
	return list
}

// offset is the part of a ms after which the task started.
func (s *server) offset(k taskrunner.RunKey) float64 {
	w := millis(s.f.works[k.TaskKey])
	return w - math.Floor(w)
}

// One failure: an entry restarts. The first states of its sessions bring what all agents
// have learned, before it has placed a task.
func TestRestartedEntryKnowsRunTimesFromItsFirstSessions(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, true, 1, unequal(3, 1.25))
	f.run(20)
	f.play(load{share: 0.04, tail: 0.03, tailX: 7, estErr: 0.4, ms: 8000})
	known := f.entries[0].Dump(f.now()).RunTimes
	g.Expect(known).To(HaveLen(len(kinds)))
	f.entries[0] = dispatch.New(f.opts)
	for _, s := range f.servers {
		s.step(taskrunner.SessionClosed{Session: 1})
		s.seen[0] = 0
		s.hello(0)
	}
	f.run(f.ms + 5)
	again := f.entries[0].Dump(f.now()).RunTimes
	g.Expect(again).To(HaveLen(len(known)))
	for i := range known {
		g.Expect(again[i].P99).To(BeNumerically(">", 3*again[i].Median), "the tail is known too")
	}
}
