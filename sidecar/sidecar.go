package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/internal/intake"
	"github.com/chestnuthollow/chestnuthollow/internal/ops"
	"github.com/chestnuthollow/chestnuthollow/internal/randid"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

const (
	// shutdownReserve is the part of the grace period reserved for closing
	// connections.
	shutdownReserve = 500 * time.Millisecond
	// stopLinger is how long a drained agent still replies to entries before
	// it closes its connections: a few round trips.
	stopLinger = 50 * time.Millisecond
	// exchangeInterval is the interval between exchanges with an entry that has no
	// session with this agent. It allows several attempts within the two seconds in
	// which a session should be open.
	exchangeInterval = 500 * time.Millisecond
	// discoveryInterval is the minimum interval between exchanges that only ask for
	// new entries. New entries also open sessions of their own accord.
	discoveryInterval = 5 * time.Second
	// announceFanout is the number of entries to which an agent announces itself at
	// an exchangeInterval. minSessions is the number of sessions from which on it
	// leaves the others to the entries: they learn of it from the store or from each
	// other.
	announceFanout = 4
	minSessions    = 2
)

// Indices into Sidecar.listeners.
const (
	heartbeatListener = iota
	opsListener
	peerListener
)

// Sidecar is one incarnation of an agent process.
type Sidecar struct {
	opts     Options
	platform Platform
	logger   log.Logger
	self     session.Process
	members  *membership.Table
	metrics  *sidecarMetrics
	rto      rtoEstimator

	compressor session.Compressor // of the configuration

	bodies    *intake.Pool     // of heartbeats
	messages  *intake.Messages // of entries
	listeners instance.Listeners
	servers   []*http.Server
	rpc       *rpcserver.Server

	background context.Context // canceled when the process stops
	stop       context.CancelFunc
	openStops  atomic.Int64
	drained    chan struct{}
	// serverChanged signals announce that the record has to be updated.
	serverChanged chan struct{}
	// entriesFound signals exchangeLoop that there are entries to announce to.
	entriesFound chan struct{}

	mu          sync.Mutex
	runner      *taskrunner.Runner
	lastCall    taskrunner.CallID
	calls       map[taskrunner.CallID]chan any
	conns       map[uint64]context.Context // contexts of the open connections, by session ID
	lastSession uint64
	unwatch     context.CancelFunc // ends the reads of the operators' topic; nil if there are none
	wakeTimer   *time.Timer        // fires when the runner has to be stepped next
}

// New creates a Sidecar and binds its listeners.
func New(opts Options, p Platform, logger log.Logger) (*Sidecar, error) {
	s := &Sidecar{
		opts:          opts,
		platform:      p,
		logger:        logger,
		members:       membership.New(opts.PeerAddr),
		drained:       make(chan struct{}),
		serverChanged: make(chan struct{}, 1),
		entriesFound:  make(chan struct{}, 1),
		calls:         make(map[taskrunner.CallID]chan any),
		conns:         make(map[uint64]context.Context),
	}
	s.self = session.Process{
		Name: opts.Name, Role: session.RoleAgent, Addr: cmp.Or(opts.AdvertiseAddr, opts.PeerAddr), Incarnation: structs.Incarnation(randid.NonZero()),
		Service: opts.Service,
	}
	s.runner = taskrunner.New(taskrunner.Options{
		Agent: opts.Name, Incarnation: s.self.Incarnation, Zone: opts.Zone, Service: opts.Service,
		Token: time.Now().UnixMilli(),
		Lease: min(taskrunner.DefaultLease, opts.LeaseMax.D()), LeaseMax: opts.LeaseMax.D(),
		SessionTTL: taskrunner.DefaultSessionTTL, RenewalWait: taskrunner.DefaultRenewalWait, PollWait: taskrunner.DefaultPollWait,
		StopTimeout: opts.StopTimeout.D(), RunTimes: opts.RunTimes,
	})
	s.metrics = newMetrics(s)
	s.background, s.stop = context.WithCancel(context.Background())
	s.wakeTimer = time.AfterFunc(time.Hour, func() { s.step(taskrunner.Ticked{}) })
	limits, err := opts.IntakeLimits()
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	s.bodies, s.messages = intake.NewPool(limits, logger), intake.NewMessages(limits.MessageBytes, logger)
	s.listeners, err = instance.Listen(logger,
		instance.Binding{Addr: opts.HeartbeatAddr, Conns: limits.OtherConns},
		instance.Binding{Addr: opts.OpsAddr, Conns: limits.OtherConns},
		instance.Binding{Addr: opts.PeerAddr})
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	rpcOptions := rpcserver.DefaultOptions()
	rpcOptions.Messages = s.messages
	s.rpc = rpcserver.New(rpcOptions, structs.AgentService, s.receiverFor)
	return s, nil
}

// Run serves until ctx is canceled and then shuts down gracefully: no more tasks are
// started, and running ones may finish.
func (s *Sidecar) Run(ctx context.Context) error {
	level.Info(s.logger).Log("event", "started", "incarnation", s.self.Incarnation, "zone", s.opts.Zone,
		"service", s.opts.Service, "peer_addr", s.opts.PeerAddr, "seeds", fmt.Sprint(s.opts.Seeds))
	s.serve(heartbeatListener, s.platform.Heartbeats(s))
	e := ops.NewServer()
	ops.Register(e, s, s.metrics.registry)
	s.serve(opsListener, e)
	go s.rpc.Serve(s.listeners[peerListener])
	go s.announce()
	go s.exchangeLoop()
	s.step(taskrunner.Ticked{})

	<-ctx.Done()
	stopRequestedAt := time.Now()
	level.Info(s.logger).Log("event", "stopping", "grace", s.opts.Grace.D())
	s.step(taskrunner.LeaveRequested{})
	grace := time.NewTimer(s.opts.Grace.D() - shutdownReserve)
	defer grace.Stop()
	select {
	case <-s.drained:
		time.Sleep(stopLinger)
	case <-grace.C:
	}
	return s.shutdown(stopRequestedAt)
}

func (s *Sidecar) shutdown(stopRequestedAt time.Time) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownReserve/2)
	defer cancel()
	s.stop()
	s.wakeTimer.Stop()
	s.listeners.Close()
	var err error
	for _, srv := range s.servers {
		err = errors.Join(err, srv.Shutdown(ctx))
	}
	level.Info(s.logger).Log("event", "stopped", "took", time.Since(stopRequestedAt))
	return err
}

// serve starts an HTTP server on the listener with the given index.
func (s *Sidecar) serve(listener int, h http.Handler) {
	s.servers = append(s.servers, instance.Serve(s.listeners[listener], h, s.logger))
}

// exchangeLoop periodically announces this agent to entries that have no session
// with it, so that they open one or pass the announcement on. At discoveryInterval,
// or if an entry has a newer configuration, it also asks one random entry for new
// entries and for the configuration.
func (s *Sidecar) exchangeLoop() {
	s.members.AddSeeds(time.Now(), s.opts.Seeds)
	var discoveredAt time.Time
	for s.background.Err() == nil {
		targets := s.announceTargets()
		if now := time.Now(); now.Sub(discoveredAt) >= discoveryInterval || s.configOutdated() {
			discoveredAt = now
			if entries := s.members.List(session.RoleEntry); len(targets) < len(entries) {
				targets = append(targets, entries[rand.IntN(len(entries))])
			}
		}
		for _, p := range targets {
			go s.exchangeWith(p)
		}
		timer := time.NewTimer(exchangeInterval)
		select {
		case <-timer.C:
		case <-s.entriesFound:
		case <-s.background.Done():
		}
		timer.Stop()
	}
}

// announceTargets returns the entries to which the agent announces itself: of few
// entries all that have no session with it, of many entries a random choice while
// the agent has too few sessions. Most of many entries never open a session with it
// (membership.SubsetSize).
func (s *Sidecar) announceTargets() []session.Process {
	targets := s.members.WithoutSession(s.inSession)
	if len(s.members.List(session.RoleEntry)) <= announceFanout {
		return targets
	}
	if s.openSessions() >= minSessions {
		return nil
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(len(targets), announceFanout)]
}

func (s *Sidecar) openSessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runner.OpenSessions()
}

func (s *Sidecar) configOutdated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runner.ConfigOutdated()
}

func (s *Sidecar) configVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runner.Config().Version
}

func (s *Sidecar) evacuation() session.Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runner.Evacuation()
}

// inSession reports whether an incarnation of an entry has an open session with this
// agent.
func (s *Sidecar) inSession(entry structs.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runner.InSession(entry)
}

// process returns how this agent announces itself.
func (s *Sidecar) process() session.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.self
	p.Rack = s.runner.Server().Rack
	return p
}

func (s *Sidecar) exchangeWith(p session.Process) {
	reply, err := membership.Exchange(p.Addr, session.ExchangeRequest{From: s.process(), ConfigVersion: s.configVersion(), AcceptGzip: true, Evacuation: s.evacuation()})
	now := time.Now()
	if err != nil {
		if s.members.MarkUnreachable(now, p.Addr) {
			level.Info(s.logger).Log("event", "peer_forgotten", "peer", p.Name, "addr", p.Addr, "reason", err)
		}
		return
	}
	s.members.MarkReachable(now, p.Addr)
	if s.members.Add(now, reply.Known...) {
		select {
		case s.entriesFound <- struct{}{}:
		default: // exchangeLoop has already been signaled
		}
	}
	if reply.Evacuation.Version > 0 {
		s.step(taskrunner.EvacuationReceived{Evacuation: reply.Evacuation, Source: p.Name})
	}
	cfg, err := reply.Config.Decompress()
	if err != nil {
		level.Warn(s.logger).Log("event", "config_unread", "source", "peer "+p.Name, "version", reply.Config.Version, "reason", err)
		return
	}
	s.step(taskrunner.ConfigReceived{Config: cfg})
}

func (s *Sidecar) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Heartbeat processes a heartbeat of the backend server.
func (s *Sidecar) Heartbeat(h taskrunner.ServerInfo) { s.step(taskrunner.ServerReported{Info: h}) }

// ServerLeft processes the deregistration of the backend server with the ID.
func (s *Sidecar) ServerLeft(id string) { s.step(taskrunner.ServerLeft{ID: id}) }

// Ready implements ops.Source. An agent is ready while it starts tasks.
func (s *Sidecar) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.runner.Active() {
		return errors.New("the backend server accepts no tasks")
	}
	return nil
}

// HeartbeatUnreadable logs a heartbeat that could not be decoded.
func (s *Sidecar) HeartbeatUnreadable(id string, err error) {
	level.Warn(s.logger).Log("event", "heartbeat_unreadable", "server", fmt.Sprintf("%.80s", id), "reason", fmt.Sprintf("%.400v", err))
}

// ReadBody reads the body of a request of at most limit bytes, see intake.Pool.
func (s *Sidecar) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*intake.Body, error) {
	return s.bodies.Read(w, r, limit)
}

// Reload applies changed settings. Only new seeds take effect; all other settings
// need a restart.
func (s *Sidecar) Reload(opts Options) { s.members.AddSeeds(time.Now(), opts.Seeds) }
