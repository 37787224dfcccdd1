package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/cancels"
	"github.com/chestnuthollow/chestnuthollow/containment"
	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
	"github.com/chestnuthollow/chestnuthollow/places"
	"github.com/chestnuthollow/chestnuthollow/retry"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/spread"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Dispatcher is the state of one entry. It is not safe for concurrent use.
type Dispatcher struct {
	opts    Options
	now     time.Time
	steps   uint64 // number of the current one
	effects []Effect

	agents       map[SessionID]*agent
	sortedAgents []*agent                  // the same, ordered by name so that decisions are deterministic
	lastSlowness map[string]serverSlowness // cached beyond sessions, by the agent's name

	evacuatedZones  []string             // sorted
	zoneExpectedAt  time.Time            // when the first of them is expected to be restored; in the past if unknown
	usableAgentLost map[string]time.Time // by service: when an agent outside these zones was lost last
	containment     *containment.Tracker
	suspects        map[*placement]bool // of tasks that may have crashed a server
	waits           places.Waits
	placeDemand     places.Demand
	recoveryTime    time.Duration // expected from a crash until the server is back
	longestSlack    longestSlack
	runTimes        learnedRunTimes
	chooser         *spread.Chooser
	candidateMemory candidateMemory
	inTime          []*candidate              // of the last choice; its memory is used again
	servers         []spread.Server           // the same for the chooser
	shares          map[string]*serviceShares // by service
	jobs            map[string]*job           // open, or answered with tasks not yet ended, by name
	openJobs        *indexheap.Heap[*job]     // those not answered, by deadline
	callers         map[CallID]*caller        // by their pending calls
	watched         *indexheap.Heap[*caller]  // those of open jobs, and those that were probed, by due
	elsewhere       map[string]openElsewhere  // jobs that other entries have announced, by name
	elsewhereSwept  time.Time                 // when the old ones of these were removed last
	pause           time.Duration             // how long the entry handled nothing before resumedAt
	resumedAt       time.Time
	heldJobs        []*job               // open, with tasks to place once agents are available
	heldUnchecked   bool                 // they wait for CallersChecked
	reassignments   []reassignment       // those that wait for it
	agentsChanged   bool                 // an agent joined or changed in this step
	noAgentSince    map[string]time.Time // by service: since when it has no agent, zero while it has a ready one
	placements      map[uint64]*placement
	inDoubt         *indexheap.Heap[*placement] // those whose session has ended, by inDoubtUntil
	lastPlacementID uint64
	retries         *retry.Budget // of tasks that were lost or not started
	retriesRefilled time.Time     // when retries was last refilled for elapsed time
	retainedAnswers map[string]Status
	answerExpiry    []retainedAnswer // when each of retainedAnswers was given, oldest first
	cancels         cancels.Marks
	pendingCancels  map[CallID]*pendingCancel
	awaitsCancels   bool                // see Options.AwaitCancels
	delayed         []waitingSubmission // until then
	ready           []waitingSubmission // to be submitted once their callers are known to be connected

	orders        map[SessionID]*Order // to be emitted at the end of the step
	leaveDeadline time.Time            // when a graceful shutdown abandons open jobs; zero if none
}

type retainedAnswer struct {
	name string
	at   time.Time
}

// New returns a Dispatcher without jobs and agents.
func New(opts Options) *Dispatcher {
	return &Dispatcher{
		opts:          opts,
		awaitsCancels: opts.AwaitCancels,
		agents:        make(map[SessionID]*agent),
		lastSlowness:  make(map[string]serverSlowness),
		containment:   containment.New(),
		suspects:      make(map[*placement]bool),
		recoveryTime:  initialRecoveryTime,
		chooser:       spread.NewChooser(uint64(opts.Incarnation)),
		longestSlack:  make(longestSlack),
		runTimes:      newLearnedRunTimes(),
		shares:        make(map[string]*serviceShares),
		jobs:          make(map[string]*job),
		openJobs: indexheap.New(func(a, b *job) bool { return a.deadline.Before(b.deadline) },
			func(j *job) *indexheap.Index { return &j.openIndex }),
		inDoubt: indexheap.New(func(a, b *placement) bool { return a.inDoubtUntil.Before(b.inDoubtUntil) },
			func(p *placement) *indexheap.Index { return &p.inDoubtIndex }),
		usableAgentLost: make(map[string]time.Time),
		noAgentSince:    make(map[string]time.Time),
		callers:         make(map[CallID]*caller),
		elsewhere:       make(map[string]openElsewhere),
		watched: indexheap.New(func(a, b *caller) bool {
			if c := a.due.Compare(b.due); c != 0 {
				return c < 0
			}
			return a.id < b.id
		}, func(c *caller) *indexheap.Index { return &c.dueIndex }),
		placements:      make(map[uint64]*placement),
		retries:         retry.NewBudgetOf(retryShare, maxRetries),
		retainedAnswers: make(map[string]Status),
		pendingCancels:  make(map[CallID]*pendingCancel),
		orders:          make(map[SessionID]*Order),
	}
}

// Step applies one event and returns the effects to carry out, in order. The clock of now, and of all
// times in events, must count the time in which the machine is suspended: callers, agents and servers do
// not wait for the entry meanwhile.
func (d *Dispatcher) Step(now time.Time, ev Event) []Effect {
	d.observeTime(now)
	d.steps++
	d.effects = nil
	d.candidateMemory.reset()
	d.applyChanges(d.containment.Step(now, containment.Ticked{}))
	switch e := ev.(type) {
	case SubmitCalled:
		d.submitCalled(e)
	case CallClosed:
		d.callClosed(e.Call, "disconnected")
	case CallersChecked:
		d.callersChecked(e)
	case PeerJobs:
		d.peerJobs(e)
	case PeersAsked:
		d.peersAsked(e)
	case CallersAcknowledged:
		d.callersAcknowledged(e)
	case CancelCalled:
		d.cancel(e)
	case PeersNotified:
		d.peersNotified(e)
	case CancelsLearned:
		d.emit(CancelsRecorded{Known: d.cancelsLearned(e.From, e.Cancels)})
		if e.All {
			d.awaitsCancels = false
		}
	case SessionOpened:
		d.sessionOpened(e)
	case SessionEnded:
		d.sessionEnded(e)
	case SessionRetired:
		d.sessionRetired(e.ID)
	case OrderReplied:
		d.orderReplied(e)
	case PollReplied:
		d.pollReplied(e)
	case EvacuationChanged:
		d.evacuationChanged(e)
	case LeaveRequested:
		d.leave(e.Until)
	}
	d.expire()
	d.watchCallers()
	d.endDelay()
	d.submitReady()
	if d.heldJobsDue() {
		d.placeHeldJobs()
	}
	d.agentsChanged = false
	d.checkCallers()
	d.emitOrders()
	return d.effects
}

// NextWake returns by when the dispatcher must be stepped again, with Ticked if
// there is no other event; zero if it waits for nothing.
func (d *Dispatcher) NextWake() time.Time {
	var wake time.Time
	wakeBy := func(t time.Time) {
		if !t.IsZero() && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	if d.openJobs.Len() > 0 {
		wakeBy(d.openJobs.First().deadline)
	}
	if d.inDoubt.Len() > 0 {
		wakeBy(d.inDoubt.First().inDoubtUntil)
	}
	for _, p := range d.pendingCancels {
		wakeBy(p.deadline)
	}
	if len(d.delayed) > 0 {
		wakeBy(d.opts.Started.Add(cancelsTimeout))
	}
	wakeBy(d.earliestHoldDeadline())
	wakeBy(d.nextWatch())
	return wake
}

// OpenJobs returns the number of jobs that are not answered yet.
func (d *Dispatcher) OpenJobs() int { return len(d.delayed) + len(d.ready) + d.openJobs.Len() }

// Pending returns the number of open jobs of a queue without a placed task.
func (d *Dispatcher) Pending(queue string) int {
	n := 0
	for _, j := range d.jobs {
		if !j.answered && j.Queue.Name == queue && j.livePlacements == 0 {
			n++
		}
	}
	return n
}

// StatusOf returns the status of a job that is open or whose answer is retained.
func (d *Dispatcher) StatusOf(name string) (Status, bool) {
	if j := d.jobs[name]; j != nil && !j.answered {
		if j.livePlacements > 0 {
			return Running, true
		}
		return Queued, true
	}
	s, ok := d.retainedAnswers[name]
	return s, ok
}

// Knows reports whether a submission of the job would join an earlier one, get its retained
// answer or be answered as canceled.
func (d *Dispatcher) Knows(queue, name string) bool {
	if _, answered := d.retainedAnswers[name]; answered || d.jobs[name] != nil {
		return true
	}
	if d.cancels.Has(d.now, cancels.Job{Queue: queue, Name: name}) {
		return true
	}
	isCopy := func(s waitingSubmission) bool { return s.Job.Name == name }
	return slices.ContainsFunc(d.delayed, isCopy) || slices.ContainsFunc(d.ready, isCopy)
}

// ReadyAgents returns the number of agents of a service that accept tasks.
func (d *Dispatcher) ReadyAgents(service string) int {
	n := 0
	for _, a := range d.sortedAgents {
		if a.state.Ready && a.identity.Service == service && !d.evacuated(a.zone) {
			n++
		}
	}
	return n
}

// FreeShare returns the share of the capacity of all ready agents that is neither in
// use nor reserved. It reports false if there is no such agent.
func (d *Dispatcher) FreeShare() (float64, bool) {
	return d.freeShare(func(*agent) bool { return true })
}

// freeShare is FreeShare for the agents that match.
func (d *Dispatcher) freeShare(match func(*agent) bool) (float64, bool) {
	free, capacity := 0.0, 0.0
	for _, a := range d.sortedAgents {
		if !a.state.Ready || a.identity.Capacity <= 0 || d.evacuated(a.zone) || !match(a) {
			continue
		}
		free += max(a.unreservedShare(), 0) * float64(a.identity.Capacity)
		capacity += float64(a.identity.Capacity)
	}
	if capacity == 0 {
		return 0, false
	}
	return free / capacity, true
}

// leave starts a graceful shutdown: it limits the deadlines of all jobs.
func (d *Dispatcher) leave(deadline time.Time) {
	d.leaveDeadline = deadline
	for _, j := range d.jobs {
		if !j.answered {
			j.limitDeadline(deadline)
			d.openJobs.Set(j)
		}
	}
	d.emit(LogEvent{Event: "leave_started", Detail: fmt.Sprintf("open_jobs=%d until_ms=%d", d.openJobs.Len(), deadline.Sub(d.now).Milliseconds())})
}

func (d *Dispatcher) emit(e Effect) { d.effects = append(d.effects, e) }

// expire ends placements whose in-doubt timeout has passed, abandons jobs whose
// deadline has passed, answers abandoned jobs after verdictTimeout, and drops
// retained answers that are too old or too many.
func (d *Dispatcher) expire() {
	for _, p := range d.duePlacements() {
		d.placementEnded(p, session.Report{ID: p.id, Outcome: session.Lost, Reason: "its session ended and its in-doubt timeout has passed"})
	}
	for _, j := range d.dueJobs() {
		if j.abandonErr != nil {
			d.answerAbandoned(j)
		} else {
			d.abandon(j, structs.CodeTimeout, "the job's deadline has passed")
		}
	}
	d.expireCancels()
	for len(d.answerExpiry) > 0 && (d.now.Sub(d.answerExpiry[0].at) > d.opts.AnswerRetention || len(d.answerExpiry) > maxRetainedAnswers) {
		delete(d.retainedAnswers, d.answerExpiry[0].name)
		d.answerExpiry = d.answerExpiry[1:]
	}
}

func (d *Dispatcher) sortedPlacements(match func(*placement) bool) []*placement {
	var list []*placement
	for _, p := range d.placements {
		if match(p) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *placement) int { return cmp.Compare(a.id, b.id) })
	return list
}

// duePlacements removes the placements whose in-doubt timeout has passed from d.inDoubt
// and returns them by id.
func (d *Dispatcher) duePlacements() []*placement {
	var list []*placement
	for d.inDoubt.Len() > 0 && !d.now.Before(d.inDoubt.First().inDoubtUntil) {
		p := d.inDoubt.First()
		d.inDoubt.Remove(p)
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *placement) int { return cmp.Compare(a.id, b.id) })
	return list
}

// dueJobs removes the open jobs whose deadline has passed from d.openJobs and returns
// them in the order of their arrival.
func (d *Dispatcher) dueJobs() []*job {
	var list []*job
	for d.openJobs.Len() > 0 && !d.now.Before(d.openJobs.First().deadline) {
		j := d.openJobs.First()
		d.openJobs.Remove(j)
		list = append(list, j)
	}
	slices.SortFunc(list, compareArrival)
	return list
}

func (d *Dispatcher) sortedJobs(match func(*job) bool) []*job {
	var list []*job
	for _, j := range d.jobs {
		if match(j) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, compareArrival)
	return list
}

func compareArrival(a, b *job) int {
	return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.Name, b.Name))
}

// orderTo returns the order to an agent that is emitted at the end of the step.
func (d *Dispatcher) orderTo(a *agent) *Order {
	o := d.orders[a.id]
	if o == nil {
		a.lastOrderNumber++
		o = &Order{ID: a.id, Number: a.lastOrderNumber}
		d.orders[a.id] = o
	}
	return o
}

func (d *Dispatcher) emitOrders() {
	for _, a := range d.sortedAgents {
		if o := d.orders[a.id]; o != nil {
			d.emit(*o)
		}
	}
	clear(d.orders)
}
