package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Coordinator is the state of one entry. It is not safe for concurrent use.
type Coordinator struct {
	cfg Config

	ids      ids
	jobs     map[uint64]*job // home here, by sequence
	open     []*job          // admitted jobs, final ones dropped at each tick
	finals   []uint64        // sequences of final jobs, oldest first
	calls    map[CallID]*job // callers that wait
	recovers map[CallID]*recovery
	closed   map[structs.Incarnation]structs.ClosedReport
	closedBy []structs.Incarnation // keys of closed, oldest first
	services map[string]*service
	agents   map[structs.Incarnation]*agent
	order    []*agent // agents in the order of their arrival
	peers    map[structs.Incarnation]structs.EntryInfo
	live     int // entries heard of lately, this one included

	openJobs  int
	openTasks int
	heldBytes int
	leaving   bool
	drained   bool
	// documentsKnown says that a service without a document does not exist.
	documentsKnown bool

	ticked time.Time // when Ticked last came
	now    time.Time
	out    []Effect
}

// New returns a Coordinator that knows no job, agent, peer or document.
func New(cfg Config) *Coordinator {
	return &Coordinator{
		cfg:      cfg.withDefaults(),
		ids:      newIDs(),
		jobs:     make(map[uint64]*job),
		calls:    make(map[CallID]*job),
		recovers: make(map[CallID]*recovery),
		closed:   make(map[structs.Incarnation]structs.ClosedReport),
		services: make(map[string]*service),
		agents:   make(map[structs.Incarnation]*agent),
		peers:    make(map[structs.Incarnation]structs.EntryInfo),
		live:     1,
	}
}

// Step takes in one event and returns the effects to carry out, in order.
func (c *Coordinator) Step(now time.Time, ev Event) []Effect {
	c.notePause(now)
	c.now = now
	c.out = nil
	switch e := ev.(type) {
	case ReserveCalled:
		c.reserve(e)
	case SubmitCalled:
		c.submit(e)
	case GetCalled:
		c.get(e)
	case CancelCalled:
		c.cancel(e)
	case CallClosed:
		c.callGone(e)
	case AgentAnnounced:
		c.announced(e.Info)
	case AgentStateReceived:
		c.observed(e.Agent, e.State)
	case RunReplied:
		c.runReplied(e)
	case RunNotSent:
		c.runNotSent(e)
	case RunInDoubt:
		c.runBroken(e)
	case SettleReplied:
		c.settleReplied(e)
	case SettleFailed:
		c.settleFailed(e)
	case HeartbeatFailed:
		c.heartbeatFailed(e.Agent)
	case RecoverCalled:
		c.recoverJob(e)
	case HomeClosed:
		c.homeClosed(e.Report)
	case QueryReplied:
		c.queryReplied(e)
	case QueryAwaited:
		c.queryAwaited(e)
	case QueryFailed:
		c.queryFailed(e)
	case DocumentChanged:
		c.documentChanged(e)
	case DocumentsLoaded:
		c.documentsKnown = true
	case PeersChanged:
		c.peersChanged(e)
	case LeaveRequested:
		c.leave()
	case Ticked:
		c.tick()
	}
	c.placeAll()
	c.sendSettles()
	c.checkDrained()
	return c.out
}

func (c *Coordinator) emit(e Effect) { c.out = append(c.out, e) }

func (c *Coordinator) replyError(call CallID, err *structs.Error) {
	c.emit(Reply{Call: call, Error: err})
}

func (c *Coordinator) leave() {
	if c.leaving {
		return
	}
	c.leaving = true
	c.emit(LogEvent{Event: "leave_started", Task: noTask})
}

func (c *Coordinator) checkDrained() {
	if !c.leaving || c.drained || c.openJobs > 0 {
		return
	}
	c.drained = true
	c.emit(Drained{Report: structs.ClosedReport{
		Home:        c.cfg.Self.Incarnation,
		Next:        c.ids.next,
		Unsubmitted: c.ids.unsubmitted(),
	}})
}

// peersChanged replaces the known entries. The own announcement is no peer.
func (c *Coordinator) peersChanged(ev PeersChanged) {
	c.live = max(ev.Live, 1)
	clear(c.peers)
	for _, e := range ev.Entries {
		if e.Incarnation != c.cfg.Self.Incarnation {
			c.peers[e.Incarnation] = e
		}
	}
	for _, svc := range c.services {
		svc.limiter.SetEntries(c.now, c.live)
	}
}
