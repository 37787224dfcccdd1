package guard

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// Guard is the state of one agent run. It is not safe for concurrent use.
type Guard struct {
	opts Options
	now  time.Time
	out  []Effect

	server   ServerInfo // zero ID if none is known
	recalled ServerInfo // the server as an earlier agent knew it; zero ID if it is not known
	config   session.Config
	sessions map[uint64]*entrySession
	runs     map[TaskKey]*run // tasks that wait, run or are being stopped
	queue    []*run           // those that wait, earliest latest start first
	used     usage            // by what runs and by what is being stopped
	health   health
	labels   []string // of the present server
	usual    Baseline // learned before

	token      int64
	fenced     bool // this agent must look under a higher token first
	clean      bool // nothing of an earlier agent runs at the server
	clock      time.Duration
	clockRun   int64         // run of the server that clock belongs to
	clockAt    time.Time     // when clock was learned
	looks      []pendingLook // without an answer yet, oldest first
	lookID     uint64
	nextLook   time.Time // no look is sent before
	serverLost bool      // looks have failed for longer than a lease
	seenEnd    int64     // newest end taken note of

	stateSeq uint64
	leaving  bool
	drained  bool
}

type pendingLook struct {
	id      uint64
	sentAt  time.Time
	overdue time.Time // when another is sent without waiting for it
}

// New returns a Guard that knows no server and no session.
func New(opts Options) *Guard {
	return &Guard{
		opts:     opts,
		token:    opts.Token,
		sessions: make(map[uint64]*entrySession),
		runs:     make(map[TaskKey]*run),
	}
}

// Step takes in one event and returns the effects to carry out, in order.
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
		g.lookReplied(e)
	case ConfigReceived:
		g.takeConfig(e.Config)
	case Recalled:
		g.recalled = e.Server
		g.remember(e.Baseline)
		g.adoptRecalled()
	case LeaveRequested:
		g.leave()
	}
	g.expire()
	g.retryStops()
	g.dropLateQueued()
	g.startQueued()
	g.sendLook()
	g.answerHellos()
	g.answerPolls()
	g.checkDrained()
	return g.out
}

// NextWake returns when the guard has to be stepped again at the latest.
func (g *Guard) NextWake() time.Time {
	wake := g.now.Add(g.opts.SessionTTL)
	earlier := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	if n := len(g.looks); n > 0 {
		earlier(g.looks[n-1].overdue)
	} else {
		earlier(g.nextLook)
	}
	for _, s := range g.sessions {
		earlier(s.heard.Add(s.ttl(g)))
		if s.poll != nil {
			earlier(s.poll.due)
		}
	}
	for _, r := range g.runs {
		if r.phase == waiting {
			earlier(r.startBy)
		} else if !r.stopAgain.IsZero() {
			earlier(r.stopAgain)
		}
	}
	return wake
}

func (g *Guard) emit(e Effect) { g.out = append(g.out, e) }

func (g *Guard) log(event, detail string) { g.emit(LogEvent{Event: event, Detail: detail}) }

// expire ends what has run out: sessions, and all runs once the lease has
// lapsed for certain.
func (g *Guard) expire() {
	for _, id := range g.sortedSessions() {
		s := g.sessions[id]
		if g.now.Sub(s.heard) > s.ttl(g) {
			g.endSession(id, "nothing heard for "+g.now.Sub(s.heard).String())
		} else if s.echo.Run == g.clockRun && g.clock-s.echo.Clock > g.opts.SessionTTL {
			g.endSession(id, "echo "+(g.clock-s.echo.Clock).String()+" old by the server's clock")
		}
	}
	if g.leaseLapsed() {
		g.loseRuns("the lease lapsed", func(r *run) bool { return r.phase != waiting })
	}
}

// leaseLapsed reports whether every lease that this agent ever asked for has
// ended: none reaches further than Lease after the newest clock reading.
func (g *Guard) leaseLapsed() bool {
	if g.clockRun == 0 {
		return true
	}
	longest := time.Duration(float64(g.opts.Lease)*(1+clockDrift)) + g.opts.StopTimeout
	return g.now.Sub(g.clockAt) > longest
}

// readClock takes in a clock reading of the server's run. An unknown run is
// taken for the present one.
func (g *Guard) readClock(serverRun int64, clock time.Duration) {
	if clock <= 0 {
		return
	}
	if serverRun == 0 {
		serverRun = g.clockRun
	}
	if serverRun != g.clockRun {
		return // a look decides which run is the present one
	}
	g.clock = max(g.clock, clock)
	g.clockAt = g.now
}

// leaseEnd returns the end of a lease that begins at the newest clock reading.
func (g *Guard) leaseEnd() time.Duration { return g.clock + g.opts.Lease }

// active reports whether tasks may start.
func (g *Guard) active() bool {
	return g.server.ID != "" && g.server.Incarnation == g.clockRun && g.clean && !g.fenced &&
		!g.server.Draining && !g.leaving && !g.leaseLapsed()
}

func (g *Guard) leave() {
	if g.leaving {
		return
	}
	g.leaving = true
	g.log("leave_started", "")
	g.dropQueued("agent is leaving")
	g.wakePolls()
}

func (g *Guard) checkDrained() {
	if g.leaving && !g.drained && len(g.runs) == 0 && !g.unseenReports() {
		g.drained = true
		g.emit(Drained{})
	}
}

func (g *Guard) takeConfig(c session.Config) {
	if c.Version > g.config.Version {
		g.config = c
	}
}
