// Package entry implements the process of an entry. It performs the I/O for the
// state machine of package coordinator: it turns callers' requests, messages of
// agents and peers, and records of the platform's log into events, and carries
// out the resulting effects.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/idempotency"
	"github.com/chestnuthollow/chestnuthollow/internal/intake"
	"github.com/chestnuthollow/chestnuthollow/internal/logging"
	"github.com/chestnuthollow/chestnuthollow/internal/randid"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Limits of the HTTP server for callers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// Entry is one incarnation of an entry process.
type Entry struct {
	opts    Options
	self    structs.EntryInfo
	logger  log.Logger
	metrics metrics.Registry

	coord        *coordinator.Coordinator
	events       *eventQueue
	calls        *callTable
	links        map[structs.Incarnation]*agentLink // accessed only by loop
	peers        *peerTable
	docs         *documents
	keys         *idempotency.Binder // nil if idempotency keys are not enabled
	rpc          *rpcserver.Server
	rpcListener  net.Listener
	httpListener *intake.Listener
	bodies       *intake.Pool     // of callers' requests
	messages     *intake.Messages // of agents and peers
	http         *http.Server
	drained      chan struct{}
	closedReport structs.ClosedReport // set before drained is closed

	inspect chan func(*coordinator.Coordinator) // functions that loop runs
	stopped chan struct{}                       // closed when loop has ended
}

// New creates an Entry and binds its listeners.
func New(opts Options, logger log.Logger) (*Entry, error) {
	e := &Entry{
		opts:    opts,
		logger:  logger,
		metrics: metrics.NewRegistry(),
		events:  newEventQueue(),
		calls:   newCallTable(),
		links:   make(map[structs.Incarnation]*agentLink),
		drained: make(chan struct{}),
		inspect: make(chan func(*coordinator.Coordinator)),
		stopped: make(chan struct{}),
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.self = structs.EntryInfo{
		Name:        opts.Name,
		Incarnation: structs.Incarnation(randid.NonZero()),
		Zone:        opts.Zone,
		Region:      opts.Region,
		RPCAddr:     e.RPCAddr(),
		HTTPAddr:    e.HTTPAddr(),
	}
	e.coord = coordinator.New(coordinator.Options{
		Self:         e.self,
		Seed:         e.seed(),
		MaxOpenJobs:  opts.MaxOpenJobs,
		MaxOpenTasks: opts.MaxOpenTasks,
		NewPolicy:    opts.NewPolicy,
		NoRecall:     opts.NoRecall,
		LogTasks:     opts.LogLevel == "debug",
	})
	e.registerGauges()
	e.registerIntakeGauges()
	e.peers = newPeerTable(e.self)
	docs, err := newDocuments(e)
	if err != nil {
		e.closeListeners()
		return nil, err
	}
	e.docs = docs
	if err := e.openKeyBinder(); err != nil {
		e.closeListeners()
		return nil, err
	}
	return e, nil
}

func (e *Entry) listen() error {
	limits, err := intake.LimitsOf(e.opts.MemoryMB, e.opts.MaxDescriptors)
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	rpcListener, err := net.Listen("tcp", e.opts.RPCAddr)
	if err != nil {
		return fmt.Errorf("entry: rpc_addr: %w", err)
	}
	httpListener, err := intake.Listen(e.opts.HTTPAddr, limits.Conns, e.logger)
	if err != nil {
		rpcListener.Close()
		return fmt.Errorf("entry: http_addr: %w", err)
	}
	e.rpcListener, e.httpListener = rpcListener, httpListener
	e.bodies, e.messages = intake.NewPool(limits, e.logger), intake.NewMessages(limits.MessageBytes, e.logger)
	e.rpc = rpcserver.New(rpcOptions(limits, e.messages), structs.EntryService, func(connCtx context.Context) any {
		return &receiver{entry: e, connCtx: connCtx}
	})
	e.http = &http.Server{
		Handler:           e.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          logging.Stdlib(e.logger, "http_server"),
	}
	httpListener.Attach(e.http)
	return nil
}

// Limits of the net/rpc server for agents and peers.
const (
	maxRPCConns   = 4096
	maxRPCMessage = 2 * structs.MaxJobBytes // a forwarded job and its encoding overhead
)

func rpcOptions(l intake.Limits, m *intake.Messages) rpcserver.Options {
	opts := rpcserver.DefaultOptions()
	opts.MaxConns = min(maxRPCConns, l.PeerConns)
	opts.MaxMessageBytes = maxRPCMessage
	opts.Messages = m
	return opts
}

func (e *Entry) closeListeners() {
	e.rpcListener.Close()
	e.httpListener.Close()
}

func (e *Entry) seed() uint64 {
	if e.opts.Seed != 0 {
		return e.opts.Seed
	}
	return randid.NonZero()
}

// HTTPAddr returns the listen address for callers.
func (e *Entry) HTTPAddr() string { return e.httpListener.Addr().String() }

// RPCAddr returns the listen address for agents and peers.
func (e *Entry) RPCAddr() string { return e.rpcListener.Addr().String() }

// Info returns the entry's name, incarnation, location and addresses.
func (e *Entry) Info() structs.EntryInfo { return e.self }

// postPeers passes the peers and the number of live entries to the coordinator.
func (e *Entry) postPeers(entries []structs.EntryInfo, live int) {
	e.events.post(coordinator.PeersChanged{Entries: entries, Live: live})
}

// postMembers passes the agents and final reports listed by a peer to the
// coordinator.
func (e *Entry) postMembers(m *structs.MembersReply) {
	for _, info := range m.Agents {
		e.events.post(coordinator.AgentAnnounced{Info: info})
	}
	for _, report := range m.Closed {
		e.events.post(coordinator.HomeClosed{Report: report})
	}
}

// Ready implements ops.Source.
func (e *Entry) Ready() error {
	if e.isLeaving() {
		return errors.New("leaving")
	}
	if err := e.docs.ready(); err != nil {
		return err
	}
	return e.peers.ready()
}

func (e *Entry) isLeaving() bool {
	d, ok := e.snapshot()
	return !ok || d.Leaving
}

// Dump implements ops.Source.
func (e *Entry) Dump() any {
	d, _ := e.snapshot()
	return d
}

// snapshot returns a dump of the coordinator, or false if loop has ended.
func (e *Entry) snapshot() (coordinator.Dump, bool) {
	var d coordinator.Dump
	ok := e.inspectLoop(func(c *coordinator.Coordinator) { d = c.Dump() })
	return d, ok
}

// inspectLoop has loop run f and waits for it. If loop has ended, it does not run
// f and returns false.
func (e *Entry) inspectLoop(f func(*coordinator.Coordinator)) bool {
	done := make(chan struct{})
	select {
	case e.inspect <- func(c *coordinator.Coordinator) { f(c); close(done) }:
		<-done
		return true
	case <-e.stopped:
		return false
	}
}
