package guard

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// Guard is the state of one agent process. It is not safe for concurrent use.
type Guard struct {
	opts Options
	now  time.Time
	out  []Effect

	server         ServerInfo // ID is empty until a server has registered
	recalled       ServerInfo // as stored by an earlier agent; ID is empty if there is none
	config         session.Config
	sessions       map[uint64]*entrySession
	runs           map[TaskKey]*run // queued, running and stopping tasks
	queue          []*run           // queued tasks, ordered by their latest start time
	used           usage            // capacity held by all runs that are not queued
	health         health
	labels         []string // of the current server
	storedBaseline Baseline // received in Recalled, or measured on an earlier incarnation of the server

	token            int64
	fenced           bool             // the token was refused; a renewal has to succeed with a higher one first
	noForeignRuns    bool             // confirmed that no task of an earlier agent is running at the server
	clock            time.Duration    // newest reading of the server's clock
	clockIncarnation int64            // server incarnation that clock belongs to; zero before the first reading
	clockReadAt      time.Time        // when the last clock reading was received
	renewals         []pendingRenewal // no reply received yet, oldest first
	lastRenewalID    uint64
	nextRenewal      time.Time // no lease renewal is sent before this time
	serverLost       bool      // renewals have failed for longer than the duration of a lease
	seenEnd          int64     // highest EndRow.Index that has been processed

	stateSeq uint64 // of the last state sent to an entry
	leaving  bool
	drained  bool // Drained has been emitted
}

// pendingRenewal is a RenewLease whose reply has not been received.
type pendingRenewal struct {
	id           uint64
	sentAt       time.Time
	retransmitAt time.Time // when another RenewLease is sent without waiting for the reply
}

// New returns a Guard without a registered server and without sessions.
func New(opts Options) *Guard {
	return &Guard{
		opts:     opts,
		token:    opts.Token,
		sessions: make(map[uint64]*entrySession),
		runs:     make(map[TaskKey]*run),
	}
}

// Step processes an event and returns the resulting effects, which have to be
// carried out in order.
func (g *Guard) Step(now time.Time, ev Event) []Effect {
	g.now = now
	g.out = nil
	g.health.decay(now)
	g.expire()
	switch e := ev.(type) {
	case HelloCalled:
		g.hello(e)
	case OrderCalled:
		g.order(e)
	case PollCalled:
		g.poll(e)
	case SessionClosed:
		g.endSession(e.Session, "connection closed")
	case ServerReported:
		g.serverReported(e.Info)
	case ServerLeft:
		g.serverLeft(e.ID)
	case StartReplied:
		g.startReplied(e)
	case StopReplied:
		g.stopReplied(e)
	case RenewReplied:
		g.renewReplied(e)
	case ConfigReceived:
		g.updateConfig(e.Config)
	case Recalled:
		g.recalled = e.Server
		g.storeBaseline(e.Baseline)
		g.adoptRecalled()
	case LeaveRequested:
		g.leave()
	}
	g.expire()
	g.retryStops()
	g.dropLateQueued()
	g.startQueued()
	g.sendRenewal()
	g.answerHellos()
	g.answerPolls()
	g.checkDrained()
	return g.out
}

// NextWake returns the latest time at which Step has to be called again.
func (g *Guard) NextWake() time.Time {
	wake := g.now.Add(g.opts.SessionTTL)
	wakeBy := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	if n := len(g.renewals); n > 0 {
		wakeBy(g.renewals[n-1].retransmitAt)
	} else {
		wakeBy(g.nextRenewal)
	}
	for _, s := range g.sessions {
		wakeBy(s.lastHeard.Add(s.ttl(g)))
		if s.poll != nil {
			wakeBy(s.poll.due)
		}
	}
	for _, r := range g.runs {
		if r.phase == waiting {
			wakeBy(r.startBy)
		} else if !r.stopRetryAt.IsZero() {
			wakeBy(r.stopRetryAt)
		}
	}
	return wake
}

func (g *Guard) emit(e Effect) { g.out = append(g.out, e) }

func (g *Guard) log(event, detail string) { g.emit(LogEvent{Event: event, Detail: detail}) }

// expire ends sessions that have timed out. Once every lease has certainly
// expired, it also reports all started runs as lost.
func (g *Guard) expire() {
	for _, id := range g.sortedSessions() {
		s := g.sessions[id]
		if g.now.Sub(s.lastHeard) > s.ttl(g) {
			g.endSession(id, "no message from the entry for "+g.now.Sub(s.lastHeard).String())
		} else if s.echoed.Run == g.clockIncarnation && g.clock-s.echoed.Clock > g.opts.SessionTTL {
			g.endSession(id, "echoed clock reading is "+(g.clock-s.echoed.Clock).String()+" old by the server's clock")
		}
	}
	if g.leaseExpired() {
		g.finishLost("the lease expired", func(r *run) bool { return r.phase != waiting })
	}
}

// leaseExpired reports whether every lease that this agent has requested has
// certainly expired and its tasks have been stopped. No lease ends later than
// Options.Lease after the newest clock reading.
func (g *Guard) leaseExpired() bool {
	if g.clockIncarnation == 0 {
		return true
	}
	longest := time.Duration(float64(g.opts.Lease)*(1+clockDrift)) + g.opts.StopTimeout
	return g.now.Sub(g.clockReadAt) > longest
}

// readClock updates the clock from a reading of the given server incarnation.
// Zero stands for the current incarnation.
func (g *Guard) readClock(incarnation int64, clock time.Duration) {
	if clock <= 0 {
		return
	}
	if incarnation == 0 {
		incarnation = g.clockIncarnation
	}
	if incarnation != g.clockIncarnation {
		return // only the reply to a lease renewal changes the current incarnation
	}
	g.clock = max(g.clock, clock)
	g.clockReadAt = g.now
}

// leaseEnd returns the end of a lease that starts at the newest clock reading.
func (g *Guard) leaseEnd() time.Duration { return g.clock + g.opts.Lease }

// active reports whether the agent currently starts tasks.
func (g *Guard) active() bool {
	return g.server.ID != "" && g.server.Incarnation == g.clockIncarnation && g.noForeignRuns && !g.fenced &&
		!g.server.Draining && !g.leaving && !g.leaseExpired()
}

// leave starts the graceful shutdown: queued tasks are rejected, and started ones
// run to their end.
func (g *Guard) leave() {
	if g.leaving {
		return
	}
	g.leaving = true
	g.log("leave_started", "")
	g.dropQueued("agent is leaving")
	g.wakePolls()
}

// checkDrained emits Drained once a leaving agent has no tasks and the entries
// have acknowledged all reports.
func (g *Guard) checkDrained() {
	if g.leaving && !g.drained && len(g.runs) == 0 && !g.hasUnseenReports() {
		g.drained = true
		g.emit(Drained{})
	}
}

func (g *Guard) updateConfig(c session.Config) {
	if c.Version > g.config.Version {
		g.config = c
	}
}
