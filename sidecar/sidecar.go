package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/guard"
	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/internal/ops"
	"github.com/chestnuthollow/chestnuthollow/internal/pause"
	"github.com/chestnuthollow/chestnuthollow/internal/random"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
	"github.com/chestnuthollow/chestnuthollow/roster"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// stopReserve is what is left of the grace for closing connections.
	stopReserve = 500 * time.Millisecond
	// lastReports is how long a drained agent waits for entries to fetch its
	// last reports: a few round trips.
	lastReports = 50 * time.Millisecond
	// meetEvery is the pause between announcements to an entry without a
	// session: some tries within the two seconds in which it should have one.
	meetEvery = 500 * time.Millisecond
	// askEvery is the pause between questions for new entries, which announce
	// themselves by their sessions as well.
	askEvery = 5 * time.Second
)

// Indices of the listeners.
const (
	heartbeatListener = iota
	opsListener
	peerListener
)

// Sidecar is one run of an agent.
type Sidecar struct {
	opts     Options
	platform Platform
	logger   log.Logger
	self     session.Process
	roster   *roster.Membership
	metrics  *sidecarMetrics
	patience patience

	listeners instance.Listeners
	servers   []*http.Server
	rpc       *rpcserver.Server

	background context.Context // ends when the process stops
	stop       context.CancelFunc
	drained    chan struct{}
	// serverKnown wakes the announcer.
	serverKnown chan struct{}

	mu       sync.Mutex
	guard    *guard.Guard
	nextCall guard.CallID
	calls    map[guard.CallID]chan any
	conns    map[uint64]context.Context // of sessions
	lastConn uint64
	timer    *time.Timer
}

// New binds the agent's addresses.
func New(opts Options, p Platform, logger log.Logger) (*Sidecar, error) {
	s := &Sidecar{
		opts:        opts,
		platform:    p,
		logger:      logger,
		roster:      roster.New(opts.PeerAddr),
		drained:     make(chan struct{}),
		serverKnown: make(chan struct{}, 1),
		calls:       make(map[guard.CallID]chan any),
		conns:       make(map[uint64]context.Context),
	}
	s.self = session.Process{
		Name: opts.Name, Role: session.RoleAgent, Addr: cmp.Or(opts.AdvertiseAddr, opts.PeerAddr), Incarnation: structs.Incarnation(random.NonZero()),
	}
	s.guard = guard.New(guard.Options{
		Agent: opts.Name, Incarnation: s.self.Incarnation, Zone: opts.Zone, Service: opts.Service,
		Token:      time.Now().UnixMilli(),
		Lease:      min(guard.DefaultLease, opts.LeaseMax.D()),
		SessionTTL: guard.DefaultSessionTTL, RenewalWait: guard.DefaultRenewalWait, PollWait: guard.DefaultPollWait,
		StopTimeout: opts.StopTimeout.D(),
	})
	s.metrics = newMetrics(s)
	s.background, s.stop = context.WithCancel(context.Background())
	s.timer = time.AfterFunc(time.Hour, func() { s.step(guard.Ticked{}) })
	var err error
	if s.listeners, err = instance.Listen(opts.HeartbeatAddr, opts.OpsAddr, opts.PeerAddr); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	s.rpc = rpcserver.New(rpcserver.DefaultOptions(), structs.AgentService, s.receiverFor)
	return s, nil
}

// Run serves until ctx is canceled, and then stops gracefully: no task starts
// any more, and those that run are finished.
func (s *Sidecar) Run(ctx context.Context) error {
	level.Info(s.logger).Log("event", "started", "incarnation", s.self.Incarnation, "zone", s.opts.Zone,
		"service", s.opts.Service, "peer_addr", s.opts.PeerAddr, "seeds", fmt.Sprint(s.opts.Seeds))
	s.serve(heartbeatListener, s.platform.Heartbeats(s))
	e := ops.NewServer()
	ops.Register(e, s, s.metrics.registry)
	s.serve(opsListener, e)
	go s.rpc.Serve(s.listeners[peerListener])
	go s.announce()
	go s.meet()
	s.step(guard.Ticked{})

	<-ctx.Done()
	stopping := time.Now()
	level.Info(s.logger).Log("event", "stopping", "grace", s.opts.Grace.D())
	s.step(guard.LeaveRequested{})
	grace := time.NewTimer(s.opts.Grace.D() - stopReserve)
	defer grace.Stop()
	select {
	case <-s.drained:
		time.Sleep(lastReports)
	case <-grace.C:
	}
	return s.shutdown(stopping)
}

func (s *Sidecar) shutdown(stopping time.Time) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancel()
	s.stop()
	s.timer.Stop()
	s.listeners.Close()
	var err error
	for _, srv := range s.servers {
		err = errors.Join(err, srv.Shutdown(ctx))
	}
	level.Info(s.logger).Log("event", "stopped", "took", time.Since(stopping))
	return err
}

// serve starts an HTTP server on the listener with the index.
func (s *Sidecar) serve(listener int, h http.Handler) {
	s.servers = append(s.servers, instance.Serve(s.listeners[listener], h, s.logger))
}

// meet tells the entries without a session of this agent, so that they open
// one. Now and then it asks one of the others for entries that are new.
func (s *Sidecar) meet() {
	s.roster.AddSeeds(time.Now(), s.opts.Seeds)
	var asked time.Time
	for s.background.Err() == nil {
		entries := s.roster.List(session.RoleEntry)
		due := s.roster.WithoutSession(s.inSession)
		if now := time.Now(); len(due) < len(entries) && now.Sub(asked) >= askEvery {
			asked = now
			due = append(due, entries[rand.IntN(len(entries))])
		}
		for _, p := range due {
			go s.meetEntry(p)
		}
		pause.For(s.background, meetEvery)
	}
}

// inSession reports whether an entry has a session here.
func (s *Sidecar) inSession(entry structs.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.InSession(entry)
}

func (s *Sidecar) meetEntry(p session.Process) {
	reply, err := roster.Exchange(p.Addr, session.ExchangeRequest{From: s.self})
	now := time.Now()
	if err != nil {
		if s.roster.MarkUnreachable(now, p.Addr) {
			level.Info(s.logger).Log("event", "peer_forgotten", "peer", p.Name, "addr", p.Addr, "reason", err)
		}
		return
	}
	s.roster.MarkReachable(now, p.Addr)
	s.roster.Add(now, reply.Known...)
	s.step(guard.ConfigReceived{Config: reply.Config})
}

func (s *Sidecar) sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Heartbeat takes in what the backend server says of itself.
func (s *Sidecar) Heartbeat(info guard.ServerInfo) { s.step(guard.ServerReported{Info: info}) }

// ServerLeft takes in that the backend server has ended.
func (s *Sidecar) ServerLeft(id string) { s.step(guard.ServerLeft{ID: id}) }

// Ready implements ops.Source.
func (s *Sidecar) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.guard.Active() {
		return errors.New("the backend server takes no tasks")
	}
	return nil
}

// HeartbeatUnreadable notes a heartbeat that could not be read.
func (s *Sidecar) HeartbeatUnreadable(id string, err error) {
	level.Warn(s.logger).Log("event", "heartbeat_unreadable", "server", id, "reason", err)
}

// Reload takes in changed settings: new seeds. Addresses and limits need a
// restart.
func (s *Sidecar) Reload(opts Options) { s.roster.AddSeeds(time.Now(), opts.Seeds) }
