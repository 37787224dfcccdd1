package agent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/internal/intake"
	"github.com/chestnuthollow/chestnuthollow/internal/logging"
	"github.com/chestnuthollow/chestnuthollow/internal/ops"
	"github.com/chestnuthollow/chestnuthollow/internal/randid"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	tickInterval    = 250 * time.Millisecond
	shutdownTimeout = 5 * time.Second
)

// Agent is one incarnation of an agent process.
type Agent struct {
	opts      Options
	logger    log.Logger
	self      structs.AgentInfo
	backend   *backend
	metrics   *agentMetrics
	announcer *announcer

	rpcListener  net.Listener
	httpListener *intake.Listener
	messages     *intake.Messages // of entries
	rpc          *rpcserver.Server

	drained chan struct{} // closed when a graceful shutdown is complete

	mu       sync.Mutex
	executor *executor.Executor
	lastCall executor.CallID
	calls    map[executor.CallID]chan any
	cancels  map[structs.TaskID]context.CancelCauseFunc
}

// New creates an Agent and binds its listeners. Port 0 selects a free port.
func New(opts Options, logger log.Logger) (*Agent, error) {
	incarnation := structs.Incarnation(randid.NonZero())
	rpcListener, err := net.Listen("tcp", opts.RPCAddr)
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	limits, err := intake.LimitsOf(cmp.Or(opts.MemoryLimit, DefaultOptions().MemoryLimit), 0)
	if err != nil {
		rpcListener.Close()
		return nil, fmt.Errorf("agent: %w", err)
	}
	httpListener, err := intake.Listen(opts.HTTPAddr, limits.OtherConns, logger)
	if err != nil {
		rpcListener.Close()
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{
		opts:         opts,
		logger:       logger,
		backend:      newBackend(opts.BackendURL, opts.Slots),
		rpcListener:  rpcListener,
		httpListener: httpListener,
		messages:     intake.NewMessages(maxTaskMessages, logger),
		drained:      make(chan struct{}),
		calls:        make(map[executor.CallID]chan any),
		cancels:      make(map[structs.TaskID]context.CancelCauseFunc),
	}
	a.self = structs.AgentInfo{
		Name:        opts.Name,
		Incarnation: incarnation,
		Service:     opts.Service,
		Team:        opts.Team,
		Zone:        opts.Zone,
		Region:      opts.Region,
		RPCAddr:     rpcListener.Addr().String(),
		Slots:       opts.Slots,
	}
	a.executor = executor.New(executorOptions(opts, incarnation))
	a.metrics = newMetrics(a)
	a.announcer = newAnnouncer(a)
	a.rpc = rpcserver.New(rpcOptions(a.messages), structs.AgentService, func(connCtx context.Context) any {
		context.AfterFunc(connCtx, a.announcer.connectionLost)
		return &receiver{agent: a, connCtx: connCtx}
	})
	return a, nil
}

func executorOptions(opts Options, incarnation structs.Incarnation) executor.Options {
	eo := executor.DefaultOptions()
	eo.Name = opts.Name
	eo.Service = opts.Service
	eo.Incarnation = incarnation
	eo.Slots = opts.Slots
	return eo
}

// entryIdleTimeout is how long a connection of an entry may be idle. Entries send
// heartbeats more often than that.
const entryIdleTimeout = time.Minute

// maxTaskMessages bounds the memory of all messages that are being read, in bytes. A message has at most one
// payload.
const maxTaskMessages = 16 << 20

func rpcOptions(m *intake.Messages) rpcserver.Options {
	opts := rpcserver.DefaultOptions()
	opts.IdleTimeout = entryIdleTimeout
	opts.Messages = m
	return opts
}

// RPCAddr returns the listen address for entries.
func (a *Agent) RPCAddr() string { return a.rpcListener.Addr().String() }

// HTTPAddr returns the listen address for operators.
func (a *Agent) HTTPAddr() string { return a.httpListener.Addr().String() }

// Incarnation returns the incarnation of this agent.
func (a *Agent) Incarnation() structs.Incarnation { return a.self.Incarnation }

// Run serves until ctx is canceled and then shuts down gracefully: it refuses new
// and queued tasks, lets the started ones finish and delivers their replies. A started
// task ends at its own timeout at the latest.
func (a *Agent) Run(ctx context.Context) error {
	level.Info(a.logger).Log("event", "started", "agent", a.self.Incarnation, "service", a.self.Service,
		"rpc_addr", a.RPCAddr(), "http_addr", a.HTTPAddr())
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	httpServer := a.serveHTTP()
	go a.rpc.Serve(a.rpcListener)
	go a.tick(background)
	go a.announcer.run(background)

	<-ctx.Done()
	a.step(executor.LeaveRequested{})
	<-a.drained
	a.announcer.waitAnnounced(time.Duration(a.opts.AnnounceTimeout))
	time.Sleep(time.Duration(a.opts.StopLinger))
	return a.shutdown(httpServer)
}

func (a *Agent) serveHTTP() *http.Server {
	e := ops.NewServer()
	ops.Register(e, a, a.metrics.registry)
	httpServer := newHTTPServer(e)
	httpServer.ErrorLog = logging.Stdlib(a.logger, "http_server")
	a.httpListener.Attach(httpServer)
	go httpServer.Serve(a.httpListener)
	return httpServer
}

// newHTTPServer returns a server with timeouts and a header limit that protect it
// from slow and oversized requests.
func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
}

func (a *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.step(executor.Ticked{})
		}
	}
}

func (a *Agent) shutdown(httpServer *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := a.rpc.Shutdown(ctx)
	a.rpcListener.Close()
	err = errors.Join(err, httpServer.Shutdown(ctx))
	a.backend.close()
	level.Info(a.logger).Log("event", "stopped", "agent", a.self.Incarnation)
	return err
}
