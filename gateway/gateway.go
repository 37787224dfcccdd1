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

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/guard"
	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/internal/ops"
	"github.com/chestnuthollow/chestnuthollow/internal/random"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
	"github.com/chestnuthollow/chestnuthollow/roster"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// leaveNotice is how long a leaving entry serves on at least: the balancer
	// takes it out after two misses, a second apart.
	leaveNotice = 2500 * time.Millisecond
	// stopReserve is what is left of the grace for closing connections.
	stopReserve = 700 * time.Millisecond
	// closeLinger is how long requests are read after the listener has closed:
	// some round trips to the callers.
	closeLinger = 100 * time.Millisecond
	// leavePoll is how often a leaving entry looks whether it is done.
	leavePoll = 50 * time.Millisecond
)

// Indices of the listeners.
const (
	jobsListener = iota
	readyListener
	opsListener
	peerListener
)

// Gateway is one run of an entry.
type Gateway struct {
	opts     Options
	platform Platform
	logger   log.Logger
	self     session.Process
	started  time.Time
	roster   *roster.Membership
	metrics  *gatewayMetrics
	config   configuration
	leaving  atomic.Bool
	storeOut atomic.Bool // the store does not answer this process

	listeners instance.Listeners
	servers   []*http.Server
	rpc       *rpcserver.Server

	background context.Context // ends when the process stops
	stop       context.CancelFunc

	linksMu sync.Mutex
	links   map[string]*link // by address

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	nextCall   dispatch.CallID
	nextAgent  dispatch.AgentID
	calls      map[dispatch.CallID]chan Outcome
	sessions   map[dispatch.AgentID]*agentSession
	timer      *time.Timer
}

// Outcome is the final answer to a submission.
type Outcome struct {
	Status  dispatch.Status // zero if Refused is set
	Refused *structs.Error
}

// New binds the entry's addresses.
func New(opts Options, p Platform, logger log.Logger) (*Gateway, error) {
	g := &Gateway{
		opts:     opts,
		platform: p,
		logger:   logger,
		started:  time.Now(),
		roster:   roster.New(opts.PeerAddr),
		config:   newConfiguration(),
		links:    make(map[string]*link),
		calls:    make(map[dispatch.CallID]chan Outcome),
		sessions: make(map[dispatch.AgentID]*agentSession),
	}
	g.self = session.Process{
		Name: opts.Name, Role: session.RoleEntry, Addr: opts.PeerAddr, Incarnation: structs.Incarnation(random.NonZero()),
	}
	g.dispatcher = dispatch.New(dispatch.Options{
		Entry: opts.Name, Incarnation: g.self.Incarnation, Zone: opts.Zone, Started: g.started,
		InDoubtTimeout: guard.InDoubtTimeout(opts.LeaseMax.D(), opts.StopTimeout.D()), AnswerRetention: dispatch.DefaultAnswerRetention,
	})
	g.metrics = newMetrics(g)
	g.background, g.stop = context.WithCancel(context.Background())
	g.timer = time.AfterFunc(time.Hour, func() { g.step(dispatch.Ticked{}) })
	var err error
	if g.listeners, err = instance.Listen(opts.JobsAddr, opts.ReadyAddr, opts.OpsAddr, opts.PeerAddr); err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	g.rpc = rpcserver.New(rpcserver.DefaultOptions(), structs.EntryService, func(context.Context) any {
		return &peerReceiver{gateway: g}
	})
	return g, nil
}

// Run serves until ctx is canceled, and then stops gracefully: the balancer is
// told, open jobs are finished, and open connections are served meanwhile.
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
	go g.keepCopy()
	go g.followMembers()
	go g.exchange()

	<-ctx.Done()
	stopping := time.Now()
	level.Info(g.logger).Log("event", "stopping", "open_jobs", g.openJobs(), "grace", g.opts.Grace.D())
	g.leaving.Store(true)
	until := stopping.Add(g.opts.Grace.D() - stopReserve)
	g.step(dispatch.LeaveRequested{Until: until})
	for time.Now().Before(until) && (time.Since(stopping) < leaveNotice || g.openJobs() > 0) {
		time.Sleep(leavePoll)
	}
	return g.shutdown(stopping)
}

func (g *Gateway) shutdown(stopping time.Time) error {
	// The HTTP server's own shutdown drops what it reads from then on, so the
	// connections that were accepted last are served first.
	g.listeners[jobsListener].Close()
	time.Sleep(closeLinger)
	ctx, cancel := context.WithDeadline(context.Background(), stopping.Add(g.opts.Grace.D()-stopReserve/2))
	defer cancel()
	var err error
	for _, s := range g.servers {
		err = errors.Join(err, s.Shutdown(ctx))
	}
	open := g.openJobs()
	g.stop()
	g.listeners.Close()
	g.timer.Stop()
	level.Info(g.logger).Log("event", "stopped", "open_jobs", open, "took", time.Since(stopping))
	return err
}

// serve starts an HTTP server on the listener with the index.
func (g *Gateway) serve(listener int, h http.Handler) {
	g.servers = append(g.servers, instance.Serve(g.listeners[listener], h, g.logger))
}

// Table returns the configuration in force; nil if none is known yet.
func (g *Gateway) Table() *routing.Table { return g.config.table.Load() }

// Leaving reports whether the entry is stopping.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Ready implements ops.Source: an entry is ready while it knows the
// configuration and an agent takes orders.
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
	return errors.New("no agent takes orders")
}

// Submit runs a job and returns its final answer. If ctx ends first, the job is
// stopped and the answer is of no use.
func (g *Gateway) Submit(ctx context.Context, j dispatch.Job) Outcome {
	ch := make(chan Outcome, 1)
	g.mu.Lock()
	g.nextCall++
	call := g.nextCall
	g.calls[call] = ch
	g.mu.Unlock()
	g.step(dispatch.SubmitCalled{Call: call, Job: j})
	select {
	case o := <-ch:
		return o
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(g.calls, call)
	g.mu.Unlock()
	g.step(dispatch.CallClosed{Call: call})
	return Outcome{Status: dispatch.Canceled}
}

// Cancel ends a job. It reports whether this entry knows it.
func (g *Gateway) Cancel(name string) bool {
	var known bool
	for _, ef := range g.step(dispatch.CancelCalled{Name: name}) {
		if r, ok := ef.(dispatch.CancelReplied); ok {
			known = r.Known
		}
	}
	return known
}

// StatusOf returns the state of a job that this entry knows.
func (g *Gateway) StatusOf(name string) (dispatch.Status, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.StatusOf(name)
}

// Pending returns how many jobs of a queue wait here with no task begun.
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

// JobRejected notes a submission that was turned away before it was considered.
func (g *Gateway) JobRejected(job, queue string, err error) {
	g.metrics.rejected.Inc(1)
	level.Info(g.logger).Log("event", "job_rejected", "job", job, "queue", queue, "verdict", structs.NotRun, "reason", err)
}

// Reload takes in changed settings: new seeds. Addresses and limits need a
// restart.
func (g *Gateway) Reload(opts Options) { g.roster.AddSeeds(time.Now(), opts.Seeds) }
