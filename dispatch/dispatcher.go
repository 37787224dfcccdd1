package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Dispatcher is the state of one entry. It is not safe for concurrent use.
type Dispatcher struct {
	opts Options
	now  time.Time
	out  []Effect

	agents map[AgentID]*agent
	order  []*agent              // those in session, by name, so that equal states decide alike
	known  map[string]knownSpeed // by the agent's name

	jobs       map[string]*job // open, or answered and not yet ended, by name
	calls      map[CallID]*job
	held       []*job               // open, with tasks to place once there are agents
	agentCame  bool                 // in this step, or it has become ready
	noneSince  map[string]time.Time // by service: when it was found without agents, zero while it has some
	placements map[uint64]*placement
	lastID     uint64
	remembered map[string]Status
	forget     []remembered // oldest first

	orders     map[AgentID]*Order // to be sent at the end of the step
	leaveUntil time.Time          // the end of a graceful stop; zero if none
}

type remembered struct {
	name string
	at   time.Time
}

// New returns a Dispatcher that knows no job and no agent.
func New(opts Options) *Dispatcher {
	return &Dispatcher{
		opts:       opts,
		agents:     make(map[AgentID]*agent),
		known:      make(map[string]knownSpeed),
		jobs:       make(map[string]*job),
		noneSince:  make(map[string]time.Time),
		calls:      make(map[CallID]*job),
		placements: make(map[uint64]*placement),
		remembered: make(map[string]Status),
		orders:     make(map[AgentID]*Order),
	}
}

// Step takes in one event and returns the effects to carry out, in order.
func (d *Dispatcher) Step(now time.Time, ev Event) []Effect {
	d.now = now
	d.out = nil
	switch e := ev.(type) {
	case SubmitCalled:
		d.submit(e)
	case CallClosed:
		d.callGone(e.Call)
	case CancelCalled:
		d.cancel(e)
	case AgentUp:
		d.agentUp(e)
	case AgentDown:
		d.agentDown(e)
	case OrderReplied:
		d.orderReplied(e)
	case Polled:
		d.polled(e)
	case LeaveRequested:
		d.leave(e.Until)
	}
	d.expire()
	if d.heldDue() {
		d.tryHeld()
	}
	d.agentCame = false
	d.sendOrders()
	return d.out
}

// NextWake returns when the dispatcher has to be stepped again at the latest;
// zero if there is nothing to wait for.
func (d *Dispatcher) NextWake() time.Time {
	var wake time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	for _, j := range d.jobs {
		if !j.answered {
			earlier(j.deadline)
		}
	}
	for _, p := range d.placements {
		earlier(p.doubtEnds)
	}
	earlier(d.heldWake())
	return wake
}

// OpenJobs returns how many callers' jobs are not answered yet.
func (d *Dispatcher) OpenJobs() int {
	n := 0
	for _, j := range d.jobs {
		if !j.answered {
			n++
		}
	}
	return n
}

// Pending returns how many open jobs of a queue have no task started.
func (d *Dispatcher) Pending(queue string) int {
	n := 0
	for _, j := range d.jobs {
		if !j.answered && j.Queue.Name == queue && j.live == 0 {
			n++
		}
	}
	return n
}

// StatusOf returns the state of a job that this entry knows.
func (d *Dispatcher) StatusOf(name string) (Status, bool) {
	if j := d.jobs[name]; j != nil && !j.answered {
		if j.live > 0 {
			return Running, true
		}
		return Queued, true
	}
	s, ok := d.remembered[name]
	return s, ok
}

// ReadyAgents returns how many agents of a service take orders.
func (d *Dispatcher) ReadyAgents(service string) int {
	n := 0
	for _, a := range d.order {
		if a.state.Ready && a.identity.Service == service {
			n++
		}
	}
	return n
}

// leave lets no job run past the time.
func (d *Dispatcher) leave(until time.Time) {
	d.leaveUntil = until
	open := 0
	for _, j := range d.jobs {
		if !j.answered {
			open++
			j.limitTo(until)
		}
	}
	d.emit(LogEvent{Event: "leave_started", Detail: fmt.Sprintf("open_jobs=%d until_ms=%d", open, until.Sub(d.now).Milliseconds())})
}

func (d *Dispatcher) emit(e Effect) { d.out = append(d.out, e) }

// expire ends doubts and jobs whose time has passed.
func (d *Dispatcher) expire() {
	for _, p := range d.sortedPlacements(func(p *placement) bool { return !p.doubtEnds.IsZero() && !d.now.Before(p.doubtEnds) }) {
		d.ended(p, session.Report{ID: p.id, Outcome: session.Lost, Reason: "its agent is gone"})
	}
	for _, j := range d.sortedJobs(func(j *job) bool { return !j.answered && !d.now.Before(j.deadline) }) {
		if j.ending != nil {
			d.endRefused(j)
		} else {
			d.giveUp(j, structs.CodeTimeout, "the caller's deadline has passed")
		}
	}
	for len(d.forget) > 0 && (d.now.Sub(d.forget[0].at) > d.opts.AnswerRetention || len(d.forget) > maxRemembered) {
		delete(d.remembered, d.forget[0].name)
		d.forget = d.forget[1:]
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

func (d *Dispatcher) sortedJobs(match func(*job) bool) []*job {
	var list []*job
	for _, j := range d.jobs {
		if match(j) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.Name, b.Name)) })
	return list
}

// orderTo returns the order to an agent that the step sends at its end.
func (d *Dispatcher) orderTo(a *agent) *Order {
	o := d.orders[a.id]
	if o == nil {
		a.lastOrder++
		o = &Order{ID: a.id, Number: a.lastOrder}
		d.orders[a.id] = o
	}
	return o
}

func (d *Dispatcher) sendOrders() {
	for _, a := range d.order {
		if o := d.orders[a.id]; o != nil {
			d.emit(*o)
		}
	}
	clear(d.orders)
}
