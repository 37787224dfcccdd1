package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Coordinator holds the state of one entry. It is not safe for concurrent use.
type Coordinator struct {
	opts Options

	ids           idAllocator
	jobs          map[uint64]*job // jobs whose home is this entry, by sequence number
	openList      []*job          // admitted jobs; final ones are removed at the next tick
	finalSeqs     []uint64        // sequence numbers of final jobs, oldest first
	evictedEarly  []evictedAnswer // answers evicted within WatermarkLag, oldest first
	waitingCalls  map[CallID]*job // calls that wait for a final answer
	recoveries    map[CallID]*recovery
	closedReports map[structs.Incarnation]structs.ClosedReport
	closedOrder   []structs.Incarnation // keys of closedReports, oldest first
	services      map[string]*service
	agents        map[structs.Incarnation]*agent
	agentList     []*agent // in order of arrival
	peers         map[structs.Incarnation]structs.EntryInfo
	liveEntries   int // number of live entries, this one included

	openJobs  int
	openTasks int
	heldBytes int
	leaving   bool
	drained   bool
	// documentsLoaded reports that every service's document has been delivered,
	// so a service without one does not exist.
	documentsLoaded bool

	lastTick time.Time // time of the last Ticked
	now      time.Time
	effects  []Effect
}

// New returns a Coordinator with no jobs, agents, peers or documents.
func New(opts Options) *Coordinator {
	return &Coordinator{
		opts:          opts.withDefaults(),
		ids:           newIDAllocator(),
		jobs:          make(map[uint64]*job),
		waitingCalls:  make(map[CallID]*job),
		recoveries:    make(map[CallID]*recovery),
		closedReports: make(map[structs.Incarnation]structs.ClosedReport),
		services:      make(map[string]*service),
		agents:        make(map[structs.Incarnation]*agent),
		peers:         make(map[structs.Incarnation]structs.EntryInfo),
		liveEntries:   1,
	}
}

// Step applies one event and returns the effects to carry out, in order.
func (c *Coordinator) Step(now time.Time, ev Event) []Effect {
	c.compensatePause(now)
	c.now = now
	c.effects = nil
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
		c.callClosed(e)
	case AgentAnnounced:
		c.addAgent(e.Info)
	case AgentStateReceived:
		c.agentStateReceived(e.Agent, e.State)
	case RunReplied:
		c.runReplied(e)
	case RunNotSent:
		c.runNotSent(e)
	case RunInDoubt:
		c.runInDoubt(e)
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
	case QueryAwaitReplied:
		c.queryAwaitReplied(e)
	case QueryFailed:
		c.queryFailed(e)
	case DocumentChanged:
		c.documentChanged(e)
	case DocumentsLoaded:
		c.documentsLoaded = true
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
	return c.effects
}

func (c *Coordinator) emit(e Effect) { c.effects = append(c.effects, e) }

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
		Home:        c.opts.Self.Incarnation,
		Next:        c.ids.next,
		Unsubmitted: c.ids.unsubmitted(),
	}})
}

// peersChanged replaces the list of peers, leaving out this entry itself.
func (c *Coordinator) peersChanged(ev PeersChanged) {
	c.liveEntries = max(ev.Live, 1)
	clear(c.peers)
	for _, e := range ev.Entries {
		if e.Incarnation != c.opts.Self.Incarnation {
			c.peers[e.Incarnation] = e
		}
	}
	for _, svc := range c.services {
		svc.limiter.SetLiveEntries(c.now, c.liveEntries)
	}
}
