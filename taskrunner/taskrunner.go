package taskrunner

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/cancels"
	"github.com/chestnuthollow/chestnuthollow/evacuation"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// Runner is the state of one agent incarnation. It is not safe for concurrent use.
type Runner struct {
	opts    Options
	now     time.Time
	effects []Effect

	server         ServerInfo         // ID is empty until a server has registered
	unverified     []unverifiedReport // oldest first
	storedServer   ServerInfo         // as stored by an earlier agent; ID is empty if there is none
	properties     uint64             // version of the server's properties, as sent to entries
	config         session.Config
	newestConfig   int64 // highest version that an entry has named
	evacuations    evacuation.State
	topic          topicWatch
	cancels        cancels.Marks
	warmUp         warmUp // of the server
	sessions       map[uint64]*entrySession
	sortedSessions []*entrySession  // the same, ordered by ID so that effects are deterministic
	runs           map[TaskKey]*run // queued, running and stopping tasks
	queue          []*run           // queued tasks, ordered by their latest start time
	used           usage            // capacity held by all runs that are not queued
	health         health
	labels         []string // of the current server
	storedBaseline Baseline // received in RecordLoaded, or measured on an earlier incarnation of the server

	token            int64
	fenced           bool             // the token was refused; a renewal has to succeed with a higher one first
	noForeignRuns    bool             // confirmed that no task of an earlier agent is running at the server
	clock            time.Duration    // newest reading of the server's clock
	clockIncarnation int64            // server incarnation that clock belongs to; zero before the first reading
	clockReadAt      time.Time        // when the newest clock reading was received
	incarnationSince time.Time        // when the agent learned of clockIncarnation
	earlierLeasesEnd time.Time        // until when leases by the clock of earlier incarnations may last at the known one
	leaseAskedAt     time.Time        // when a call that asks for a lease was last sent or carried out
	confirmedAt      time.Time        // when the newest lease renewal that has a reply was sent
	renewals         []pendingRenewal // no reply received yet, oldest first
	lastRenewalID    uint64
	// misaddressedAfter is the last renewal sent before the server rejected one as addressed
	// to another server; zero if it has not, or if a later one was answered.
	misaddressedAfter uint64
	nextRenewal       time.Time // no lease renewal is sent before this time
	// stopsPending is set while runs may be in phase stopping.
	stopsPending bool
	// foreignListed means that the newest list of runs had one that this agent does not know.
	foreignListed  bool
	limitLogged    bool      // the last line of logLeaseLimit said that the lease is limited
	serverLost     bool      // renewals have failed for longer than the duration of a lease
	serverRefusing bool      // the connection of a renewal was refused since the last reply
	failingSince   time.Time // first failed renewal since the last reply; zero if there is none
	seenEnd        int64     // highest EndRow.Index that has been processed

	crashes   []crash // recent ones, oldest first
	lastCrash uint64  // number of the last one
	// admittedCPU is the sum of the sizes of all admitted tasks, in thousandths of a core.
	admittedCPU uint64
	starts      startRates

	deferred      int       // queued tasks that give way to others and cannot start in time
	shortageSince time.Time // since when there are any; zero if there are none

	runTimes learnedRunTimes

	stateSeq uint64 // of the last state sent to an entry
	leaving  bool
	drained  bool // Drained has been emitted
}

// pendingRenewal is a RenewLease whose reply has not been received.
type pendingRenewal struct {
	id           uint64
	serverID     string // that it is addressed to; empty if to none
	known        int64  // incarnation that it is bound to; zero if to none
	sentAt       time.Time
	asksLease    bool
	retransmitAt time.Time // when another RenewLease is sent without waiting for the reply
}

// New returns a Runner without a registered server and without sessions.
func New(opts Options) *Runner {
	return &Runner{
		opts:     opts,
		token:    opts.Token,
		sessions: make(map[uint64]*entrySession),
		runs:     make(map[TaskKey]*run),
		starts:   make(startRates),
	}
}

// Step processes an event and returns the resulting effects, which have to be
// carried out in order.
func (m *Runner) Step(now time.Time, ev Event) []Effect {
	m.now = now
	m.effects = nil
	m.health.decay(now)
	m.heardBefore(ev)
	m.expire()
	switch e := ev.(type) {
	case HelloCalled:
		m.hello(e)
	case OrderCalled:
		m.order(e)
	case PollCalled:
		m.poll(e)
	case SessionClosed:
		m.endSession(e.Session, "connection closed")
	case ServerReported:
		m.serverReported(e.Info)
	case ServerLeft:
		m.serverLeft(e.ID)
	case StartReplied:
		m.startReplied(e)
	case StopReplied:
		m.stopReplied(e)
	case RenewReplied:
		m.renewReplied(e)
	case ConfigReceived:
		m.updateConfig(e.Config)
	case EvacuationReceived:
		m.updateEvacuation(e.Evacuation, e.Source)
	case TopicRead:
		m.topicRead(e.Batch)
	case RecordLoaded:
		m.storedServer = e.Server
		m.storeBaseline(e.Baseline)
		m.adoptStoredServer()
	case LeaveRequested:
		m.leave()
	}
	m.expire()
	m.retryStops()
	m.expireQueued()
	m.startQueued()
	m.sendRenewal()
	m.answerHellos()
	m.answerPolls()
	m.watchTopic()
	m.checkDrained()
	return m.effects
}

// NextWake returns the latest time at which Step has to be called again.
func (m *Runner) NextWake() time.Time {
	wake := m.now.Add(m.opts.SessionTTL)
	wakeBy := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	renewal := m.nextRenewal
	if n := len(m.renewals); n > 0 && m.renewals[n-1].retransmitAt.After(renewal) {
		renewal = m.renewals[n-1].retransmitAt
	}
	wakeBy(renewal)
	for _, s := range m.sessions {
		wakeBy(s.lastHeard.Add(s.ttl(m)))
		if s.poll != nil {
			wakeBy(s.poll.due)
		}
	}
	for _, r := range m.runs {
		if r.phase == queued {
			wakeBy(r.startBy)
		} else if !r.stopRetryAt.IsZero() {
			wakeBy(r.stopRetryAt)
		}
	}
	return wake
}

func (m *Runner) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Runner) log(event, detail string) { m.emit(LogEvent{Event: event, Detail: detail}) }

// expire ends sessions that have timed out. Once every lease has certainly
// expired, it also reports all started runs as lost.
func (m *Runner) expire() {
	for i := 0; i < len(m.sortedSessions); {
		s := m.sortedSessions[i]
		reason := m.expiryReason(s)
		if reason == "" {
			i++
			continue
		}
		m.endSession(s.id, reason) // removes the element at i
	}
	if len(m.runs) > len(m.queue) && (m.leaseExpired() || m.longestLeaseExpired()) {
		m.expireStarted()
	}
}

// expiryReason returns why a session has to end, or an empty string if it is alive.
func (m *Runner) expiryReason(s *entrySession) string {
	switch {
	case m.now.Sub(s.lastHeard) > s.ttl(m):
		return "no message from the entry for " + m.now.Sub(s.lastHeard).String()
	case s.echoed.Run == m.clockIncarnation && m.clock-s.echoed.Clock > m.opts.SessionTTL:
		return "echoed clock reading is " + (m.clock - s.echoed.Clock).String() + " old by the server's clock"
	}
	return ""
}

// clockOutdated reports whether every lease by the newest clock reading has certainly
// expired and its tasks have been stopped. No lease ends later than Options.Lease after it.
func (m *Runner) clockOutdated() bool {
	longest := time.Duration(float64(m.opts.Lease)*(1+clockDrift)) + m.opts.StopTimeout
	return m.clockIncarnation == 0 || m.now.Sub(m.clockReadAt) > longest
}

// leaseExpired reports whether every lease at the known incarnation has certainly expired
// and its tasks have been stopped, also those by the clock of an earlier incarnation.
func (m *Runner) leaseExpired() bool {
	return m.clockOutdated() && !m.now.Before(m.earlierLeasesEnd)
}

// longestLease returns how long after a call a run may last that any incarnation of the
// server has granted a lease for it, whatever end of the lease the call asked for.
func (m *Runner) longestLease() time.Duration {
	return time.Duration(float64(max(m.opts.Lease, m.opts.LeaseMax))*(1+clockDrift)) + m.opts.StopTimeout
}

// leaseAsked records that a call that asks for a lease is sent, or may have been carried out
// until now.
func (m *Runner) leaseAsked() { m.leaseAskedAt = m.now }

// longestLeaseExpired reports whether every lease that any incarnation of the server may
// have granted has certainly expired. A start that it carries out later is rejected as late.
func (m *Runner) longestLeaseExpired() bool {
	return m.now.Sub(m.leaseAskedAt) > m.longestLease()
}

// readClock updates the clock from a reading of the given server incarnation. Zero stands
// for one that is not named, in the reply to a call for the known incarnation: it is ignored
// unless it continues the clock.
func (m *Runner) readClock(incarnation int64, clock time.Duration) {
	if clock <= m.clock || incarnation == 0 && !m.continuesClock(clock) {
		return
	}
	if incarnation != 0 && incarnation != m.clockIncarnation {
		return // only the reply to a lease renewal changes the current incarnation
	}
	m.clock = clock
	m.clockReadAt = m.now
}

// continuesClock reports whether a clock reading is no later than the known incarnation's
// clock may show by now. The newest reading is at most as old as a call lasts.
func (m *Runner) continuesClock(clock time.Duration) bool {
	return clock <= m.clock+m.now.Sub(m.clockReadAt)+renewalExpiry
}

// active reports whether the agent currently starts tasks.
func (m *Runner) active() bool {
	return m.server.ID != "" && m.server.Incarnation == m.clockIncarnation && m.noForeignRuns && !m.fenced &&
		!m.serverRefusing && !m.server.Draining && !m.leaving && !m.zoneEvacuated() && !m.clockOutdated() && !m.leaseLimited()
}

// leave starts the graceful shutdown: queued tasks are refused, and started ones
// run to their end.
func (m *Runner) leave() {
	if m.leaving {
		return
	}
	m.leaving = true
	m.log("leave_started", "")
	m.dropAllQueued("agent is leaving")
	m.wakePolls()
}

// checkDrained emits Drained once a leaving agent has no tasks and the entries
// have acknowledged all reports.
func (m *Runner) checkDrained() {
	if m.leaving && !m.drained && len(m.runs) == 0 && !m.hasUnseenReports() {
		m.drained = true
		m.emit(Drained{})
	}
}

// Config returns the newest version of the configuration that the agent has.
func (m *Runner) Config() session.Config { return m.config }

// ConfigOutdated reports whether an entry has a newer version of the configuration.
func (m *Runner) ConfigOutdated() bool { return m.newestConfig > m.config.Version }

func (m *Runner) updateConfig(c session.Config) {
	if c.Version > m.config.Version {
		m.config = c
	}
}
