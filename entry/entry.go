// Package entry is the shell of an entry instance: it carries the events of
// HTTP callers, agents, peers and the platform's log into the coordinator, and
// the coordinator's effects out.
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
	"github.com/chestnuthollow/chestnuthollow/internal/logging"
	"github.com/chestnuthollow/chestnuthollow/internal/random"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
	"github.com/chestnuthollow/chestnuthollow/keybind"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Timeouts of the HTTP server towards callers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// Entry is one run of an entry.
type Entry struct {
	opts    Options
	self    structs.EntryInfo
	log     log.Logger
	metrics metrics.Registry

	coord   *coordinator.Coordinator
	mail    *mailbox
	calls   *callTable
	links   map[structs.Incarnation]*agentLink // of the loop only
	peers   *peerTable
	docs    *documents
	keys    *keybind.Binder // nil: keyed jobs are refused
	rpc     *rpcserver.Server
	rpcLn   net.Listener
	httpLn  net.Listener
	http    *http.Server
	drained chan struct{}
	closing structs.ClosedReport // set before drained is closed

	inspect chan func(*coordinator.Coordinator) // runs in the loop
	stopped chan struct{}                       // closed when the loop ends
}

// New makes an entry and binds its listeners.
func New(opts Options, logger log.Logger) (*Entry, error) {
	e := &Entry{
		opts:    opts,
		log:     logger,
		metrics: metrics.NewRegistry(),
		mail:    newMailbox(),
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
		Incarnation: structs.Incarnation(random.NonZero()),
		Zone:        opts.Zone,
		Region:      opts.Region,
		RPCAddr:     e.RPCAddr(),
		HTTPAddr:    e.HTTPAddr(),
	}
	e.coord = coordinator.New(coordinator.Config{
		Self:         e.self,
		Seed:         e.seed(),
		MaxOpenJobs:  opts.MaxOpenJobs,
		MaxOpenTasks: opts.MaxOpenTasks,
		NewPolicy:    opts.NewPolicy,
		NoRecall:     opts.NoRecall,
		LogTasks:     opts.LogLevel == "debug",
	})
	e.registerGauges()
	e.peers = newPeerTable(e.self)
	docs, err := newDocuments(e)
	if err != nil {
		e.closeListeners()
		return nil, err
	}
	e.docs = docs
	if err := e.openKeys(); err != nil {
		e.closeListeners()
		return nil, err
	}
	return e, nil
}

func (e *Entry) listen() error {
	rpcLn, err := net.Listen("tcp", e.opts.RPCAddr)
	if err != nil {
		return fmt.Errorf("entry: rpc_addr: %w", err)
	}
	httpLn, err := net.Listen("tcp", e.opts.HTTPAddr)
	if err != nil {
		rpcLn.Close()
		return fmt.Errorf("entry: http_addr: %w", err)
	}
	e.rpcLn, e.httpLn = rpcLn, httpLn
	e.rpc = rpcserver.New(rpcOptions(), structs.EntryService, func(conn context.Context) any {
		return &rpcReceiver{e: e, conn: conn}
	})
	e.http = &http.Server{
		Handler:           e.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          logging.Stdlib(e.log, "http_server"),
	}
	return nil
}

// Bounds of the net/rpc server towards agents and peers.
const (
	maxRPCConns   = 4096
	maxRPCMessage = 2 * structs.MaxJobBytes // a forwarded job and its framing
)

func rpcOptions() rpcserver.Options {
	opts := rpcserver.DefaultOptions()
	opts.MaxConns = maxRPCConns
	opts.MaxMessageBytes = maxRPCMessage
	return opts
}

func (e *Entry) closeListeners() {
	e.rpcLn.Close()
	e.httpLn.Close()
}

func (e *Entry) seed() uint64 {
	if e.opts.Seed != 0 {
		return e.opts.Seed
	}
	return random.NonZero()
}

// HTTPAddr returns the bound address for callers.
func (e *Entry) HTTPAddr() string { return e.httpLn.Addr().String() }

// RPCAddr returns the bound address for agents and peers.
func (e *Entry) RPCAddr() string { return e.rpcLn.Addr().String() }

// Info returns the entry's announcement.
func (e *Entry) Info() structs.EntryInfo { return e.self }

// postPeers tells the coordinator of the entries known now.
func (e *Entry) postPeers(entries []structs.EntryInfo, live int) {
	e.mail.post(coordinator.PeersChanged{Entries: entries, Live: live})
}

// postMembers tells the coordinator what a peer knows.
func (e *Entry) postMembers(m *structs.MembersReply) {
	for _, info := range m.Agents {
		e.mail.post(coordinator.AgentAnnounced{Info: info})
	}
	for _, report := range m.Closed {
		e.mail.post(coordinator.HomeClosed{Report: report})
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

// snapshot returns a copy of the coordinator's state, or false once stopped.
func (e *Entry) snapshot() (coordinator.Dump, bool) {
	var d coordinator.Dump
	ok := e.inspectLoop(func(c *coordinator.Coordinator) { d = c.Dump() })
	return d, ok
}

// inspectLoop runs look in the loop and waits for it. It reports false, and does
// nothing, once the loop has ended.
func (e *Entry) inspectLoop(look func(*coordinator.Coordinator)) bool {
	done := make(chan struct{})
	select {
	case e.inspect <- func(c *coordinator.Coordinator) { look(c); close(done) }:
		<-done
		return true
	case <-e.stopped:
		return false
	}
}
