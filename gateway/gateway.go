package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/evacuation"
	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/internal/intake"
	"github.com/chestnuthollow/chestnuthollow/internal/ops"
	"github.com/chestnuthollow/chestnuthollow/internal/randid"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

const (
	// minLeaveTime is the minimum time that a leaving entry continues to serve. The
	// balancer removes it after two failed probes, which are a second apart.
	minLeaveTime = 2500 * time.Millisecond
	// shutdownReserve is the part of the grace period reserved for closing
	// connections.
	shutdownReserve = 700 * time.Millisecond
	// requestLinger is how long requests are still read after the listener was
	// closed: a few round trips to the callers.
	requestLinger = 100 * time.Millisecond
	// leavePollInterval is the interval at which a leaving entry checks whether its
	// open jobs have ended.
	leavePollInterval = 50 * time.Millisecond
)

// Indices into Gateway.listeners.
const (
	jobsListener = iota
	readyListener
	opsListener
	peerListener
)

// Gateway is one incarnation of an entry process.
type Gateway struct {
	opts                   Options
	platform               Platform
	logger                 log.Logger
	self                   session.Process
	startedAt              time.Time
	members                *membership.Table
	metrics                *gatewayMetrics
	config                 configuration
	leaving                atomic.Bool
	configTopicUnavailable atomic.Bool // the configuration topic cannot be read

	listeners instance.Listeners
	servers   []*http.Server
	rpc       *rpcserver.Server

	background context.Context // canceled when the process stops
	stop       context.CancelFunc

	connectorsMu sync.Mutex
	connectors   map[string]*agentConnector // by the address of the agent
	widening     float64                    // factor of the size of the subset, at least one

	reopenings *rate.Limiter // of lost sessions

	evacuationMu sync.Mutex
	evacuations  evacuation.State

	peersMu sync.Mutex
	peers   map[string]*peerLink // by address; those to which cancels were sent of late

	turns    *turnQueue       // of new requests
	bodies   *intake.Pool     // of new requests
	messages *intake.Messages // of peers and agents

	configFetch sync.Mutex // held while another process is asked for the configuration

	mu          sync.Mutex
	dispatcher  *dispatch.Dispatcher
	lastCall    dispatch.CallID
	lastSession dispatch.SessionID
	calls       map[dispatch.CallID]*pendingCall
	cancelCalls map[dispatch.CallID]chan dispatch.CancelResult
	sessions    map[dispatch.SessionID]*agentSession
	wakeTimer   *time.Timer // fires when the dispatcher has to be stepped next
}

// pendingCall is a Submit that has no outcome yet.
type pendingCall struct {
	request context.Context
	probe   *instance.ClientProbe
	outcome chan Outcome
}

// Outcome is the final answer to a submission.
type Outcome struct {
	Status  dispatch.Status // zero if Refused is set
	Refused *structs.Error
}

// New creates a Gateway and binds its listeners.
func New(opts Options, p Platform, logger log.Logger) (*Gateway, error) {
	g := &Gateway{
		opts:      opts,
		platform:  p,
		logger:    logger,
		startedAt: time.Now(),

		evacuations: evacuation.New(time.Now()),

		members:    membership.New(opts.PeerAddr),
		config:     newConfiguration(),
		connectors: make(map[string]*agentConnector),
		widening:   1,
		reopenings: rate.NewLimiter(reopenPerSecond, reopenBurst),
		calls:      make(map[dispatch.CallID]*pendingCall),
		sessions:   make(map[dispatch.SessionID]*agentSession),

		turns:       newTurnQueue(),
		cancelCalls: make(map[dispatch.CallID]chan dispatch.CancelResult),
		peers:       make(map[string]*peerLink),
	}
	g.self = session.Process{
		Name: opts.Name, Role: session.RoleEntry, Addr: opts.PeerAddr, Incarnation: structs.Incarnation(randid.NonZero()),
		Zone: opts.Zone, Processors: opts.Processors,
	}
	g.dispatcher = dispatch.New(dispatch.Options{
		Entry: opts.Name, Incarnation: g.self.Incarnation, Zone: opts.Zone, Started: boottime.Now(),
		AwaitCancels: true, FarFactor: opts.FarFactor, Scheduling: opts.Scheduling,
		InDoubtTimeout: taskrunner.InDoubtTimeout(opts.LeaseMax.D(), opts.StopTimeout.D()), AnswerRetention: dispatch.DefaultAnswerRetention,
	})
	g.metrics = newMetrics(g)
	g.background, g.stop = context.WithCancel(context.Background())
	g.wakeTimer = time.AfterFunc(time.Hour, func() { g.step(dispatch.Ticked{}) })
	limits, err := opts.IntakeLimits()
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	g.bodies, g.messages = intake.NewPool(limits, logger), intake.NewMessages(limits.MessageBytes, logger)
	g.listeners, err = instance.Listen(logger,
		instance.Binding{Addr: opts.JobsAddr, Conns: limits.Conns},
		instance.Binding{Addr: opts.ReadyAddr, Conns: limits.OtherConns},
		instance.Binding{Addr: opts.OpsAddr, Conns: limits.OtherConns},
		instance.Binding{Addr: opts.PeerAddr})
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	rpcOptions := rpcserver.DefaultOptions()
	rpcOptions.Messages = g.messages
	g.rpc = rpcserver.New(rpcOptions, structs.EntryService, func(context.Context) any {
		return &receiver{gateway: g}
	})
	return g, nil
}

// Run serves until ctx is canceled and then shuts down gracefully: the readiness
// probe fails, so that the balancer removes the entry, and open jobs may finish
// while open connections are still served.
func (g *Gateway) Run(ctx context.Context) error {
	level.Info(g.logger).Log("event", "started", "incarnation", g.self.Incarnation, "zone", g.opts.Zone,
		"jobs_addr", g.opts.JobsAddr, "peer_addr", g.opts.PeerAddr, "seeds", fmt.Sprint(g.opts.Seeds))
	g.serve(jobsListener, g.platform.Jobs(g))
	g.serve(readyListener, g.platform.Ready(g))
	e := ops.NewServer()
	ops.Register(e, g, g.metrics.registry)
	g.serve(opsListener, e)
	go g.rpc.Serve(g.listeners[peerListener])
	go g.followConfig()
	go g.copyConfig()
	go g.followMembers()
	go g.exchangeLoop()
	go g.announceJobs()
	go g.maintainSubset()

	<-ctx.Done()
	stopRequestedAt := time.Now()
	level.Info(g.logger).Log("event", "stopping", "open_jobs", g.openJobs(), "grace", g.opts.Grace.D())
	g.leaving.Store(true)
	serveFor := g.opts.Grace.D() - shutdownReserve
	until := stopRequestedAt.Add(serveFor)
	g.step(dispatch.LeaveRequested{Until: boottime.Now().Add(serveFor)})
	for time.Now().Before(until) && (time.Since(stopRequestedAt) < minLeaveTime || g.openJobs() > 0) {
		time.Sleep(leavePollInterval)
	}
	return g.shutdown(stopRequestedAt)
}

func (g *Gateway) shutdown(stopRequestedAt time.Time) error {
	// http.Server.Shutdown drops requests that are read after it was called.
	// Connections that were accepted last get time to send theirs first.
	g.listeners[jobsListener].Close()
	time.Sleep(requestLinger)
	ctx, cancel := context.WithDeadline(context.Background(), stopRequestedAt.Add(g.opts.Grace.D()-shutdownReserve/2))
	defer cancel()
	var err error
	for _, s := range g.servers {
		err = errors.Join(err, s.Shutdown(ctx))
	}
	open := g.openJobs()
	g.stop()
	g.listeners.Close()
	g.wakeTimer.Stop()
	level.Info(g.logger).Log("event", "stopped", "open_jobs", open, "took", time.Since(stopRequestedAt))
	return err
}

// serve starts an HTTP server on the listener with the given index.
func (g *Gateway) serve(listener int, h http.Handler) {
	g.servers = append(g.servers, instance.Serve(g.listeners[listener], h, g.logger))
}

// Table returns the configuration in force, or nil if there is none yet.
func (g *Gateway) Table() *routing.Table { return g.config.table.Load() }

// Leaving reports whether the graceful shutdown has started.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Ready implements ops.Source. An entry is ready while it has a configuration, at
// least one agent accepts tasks, and it is not leaving.
func (g *Gateway) Ready() error {
	if g.Leaving() {
		return errors.New("leaving")
	}
	t := g.Table()
	if t == nil {
		return errors.New("no configuration yet")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range t.ServiceNames() {
		if g.dispatcher.ReadyAgents(s) > 0 {
			return nil
		}
	}
	return errors.New("no agent accepts tasks")
}

// Submit runs a job and returns its final answer. It ends the turn of the request, whose context
// is ctx. The job is rejected if the caller has disconnected before, because a copy may have been
// submitted at another entry. If the caller disconnects before the answer, Submit returns
// Canceled. The job is then stopped, unless a duplicate of the submission still waits for its
// answer.
func (g *Gateway) Submit(ctx context.Context, j dispatch.Job, t *Turn) Outcome {
	c := &pendingCall{request: ctx, probe: instance.NewClientProbe(ctx), outcome: make(chan Outcome, 1)}
	g.mu.Lock()
	if instance.Disconnected(ctx) {
		g.mu.Unlock()
		t.End()
		return Outcome{Refused: g.CallerLeft(j.Queue.Name, j.Name)}
	}
	g.lastCall++
	call := g.lastCall
	g.calls[call] = c
	g.stepAndUnlock(dispatch.SubmitCalled{Call: call, Job: j, LastReceived: max(c.probe.LastReceived(), j.Waited)})
	t.End()
	select {
	case o := <-c.outcome:
		g.finishProbes(c, &j)
		return o
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(g.calls, call)
	g.mu.Unlock()
	g.step(dispatch.CallClosed{Call: call})
	g.finishProbes(c, &j) // a client that has closed only its side of the connection still reads the answer
	return Outcome{Status: dispatch.Canceled}
}

// finishProbes prepares the connection for the answer to a call that is not pending any more.
func (g *Gateway) finishProbes(c *pendingCall, j *dispatch.Job) {
	if err := c.probe.Finish(); err != nil {
		level.Info(g.logger).Log("event", "caller_disconnected", "job", j.Name, "queue", j.Queue.Name, "reason", err)
	}
}

// StatusOf returns the status of a job that is open or whose answer is retained.
func (g *Gateway) StatusOf(name string) (dispatch.Status, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.StatusOf(name)
}

// Pending returns the number of open jobs of a queue without a placed task.
func (g *Gateway) Pending(queue string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Pending(queue)
}

func (g *Gateway) openJobs() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.OpenJobs()
}

// JobRejected logs and counts a submission that was rejected before it reached the
// dispatcher.
func (g *Gateway) JobRejected(job, queue string, err error) {
	g.logRejected(job, queue, structs.NotRun, err)
}

func (g *Gateway) logRejected(job, queue string, verdict structs.Verdict, err error) {
	g.metrics.rejected.Inc(1)
	level.Info(g.logger).Log("event", "job_rejected", "job", fmt.Sprintf("%.80s", job), "queue", queue, "verdict", verdict, "reason", fmt.Sprintf("%.400v", err))
}

// CallerLeft logs and returns the rejection of a submission whose caller has disconnected before it was
// submitted. Nobody receives it.
func (g *Gateway) CallerLeft(queue, name string) *structs.Error {
	verdict := structs.NotRun
	if g.knows(queue, name) {
		verdict = structs.MayHaveRun // for a copy
	}
	g.logRejected(name, queue, verdict, errCallerLeft)
	return structs.Errorf(structs.CodeUnavailable, verdict, "%v", errCallerLeft)
}

// ReadBody reads the body of a request of at most limit bytes, see intake.Pool.
func (g *Gateway) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*intake.Body, error) {
	return g.bodies.Read(w, r, limit)
}

// BodyRefused returns the answer to a submission whose body was not read, because there is no memory for it.
// Package intake logs such refusals.
func (g *Gateway) BodyRefused(queue, name string, err *intake.ShortageError) *structs.Error {
	g.metrics.rejected.Inc(1)
	verdict := structs.NotRun
	if g.knows(queue, name) {
		verdict = structs.MayHaveRun // for a copy
	}
	return structs.Errorf(structs.CodeOverloaded, verdict, "%v", err).WithRetryAfter(intake.RetryAfter)
}

// Reload applies changed settings. Only new seeds take effect; all other settings
// need a restart.
func (g *Gateway) Reload(opts Options) { g.members.AddSeeds(time.Now(), opts.Seeds) }
