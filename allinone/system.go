package allinone

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"github.com/chestnuthollow/chestnuthollow/agent"
	"github.com/chestnuthollow/chestnuthollow/entry"
	"github.com/chestnuthollow/chestnuthollow/internal/settings"
	"github.com/chestnuthollow/chestnuthollow/standin/backend"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
)

// region is where all the processes are.
const region = "local"

// announceTimeout bounds an agent's announcements; on loopback they are fast.
const announceTimeout = 200 * time.Millisecond

// System is a running system.
type System struct {
	opts     Options
	logger   func(name string) log.Logger
	log      *logserver.Server
	keyLog   *logserver.Server // stream of idempotency keys
	backends []*backend.Server
	agents   []*agent.Agent
	entries  []*entry.Entry

	entryRuns group
	agentRuns group
	agentLogs []*log.SwapLogger
}

// Start starts a system. Logger makes the logger of each process, by its name.
func Start(opts Options, logger func(name string) log.Logger) (*System, error) {
	s := &System{opts: opts, logger: logger}
	if err := s.start(); err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

func (s *System) start() error {
	var err error
	if s.log, err = logserver.Start(anyPort, logserver.Faults{}); err != nil {
		return fmt.Errorf("allinone: log: %w", err)
	}
	if s.keyLog, err = logserver.Start(anyPort, logserver.Faults{}); err != nil {
		return fmt.Errorf("allinone: log: %w", err)
	}
	for i := range s.opts.Entries {
		if err := s.startEntry(i); err != nil {
			return fmt.Errorf("allinone: entry: %w", err)
		}
	}
	for i, speed := range s.opts.Speeds {
		if err := s.startBackend(i, speed); err != nil {
			return fmt.Errorf("allinone: backend server: %w", err)
		}
	}
	return nil
}

func (s *System) startEntry(i int) error {
	opts := entry.DefaultOptions()
	opts.Name = fmt.Sprintf("entry-%d", i+1)
	opts.Zone = s.opts.zone(i)
	opts.Region = region
	opts.HTTPAddr = anyPort
	opts.RPCAddr = anyPort
	opts.LogURL = s.log.URL()
	opts.KeyLogURL = s.keyLog.URL()
	opts.StopLinger = 0 // no caller comes back for an answer
	e, err := entry.New(opts, s.logger(opts.Name))
	if err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	s.entryRuns.run(e.Run)
	return nil
}

// startBackend starts a backend server and the agent beside it.
func (s *System) startBackend(i int, speed float64) error {
	server := backend.DefaultOptions()
	server.Addr = anyPort
	server.Slots = s.opts.Slots
	server.Speed = speed
	server.Seed = uint64(i + 1)
	b, err := backend.New(server)
	if err != nil {
		return err
	}
	s.backends = append(s.backends, b)
	opts := agent.DefaultOptions()
	opts.Name = fmt.Sprintf("%s-%d", s.opts.Service, i+1)
	opts.Service = s.opts.Service
	opts.Team = s.opts.Team
	opts.Zone = s.opts.zone(i)
	opts.Region = region
	opts.RPCAddr = anyPort
	opts.HTTPAddr = anyPort
	opts.BackendURL = b.URL()
	opts.BalancerURL = s.entryURL(i % len(s.entries))
	opts.Slots = s.opts.Slots
	opts.AnnounceTimeout = settings.Duration(announceTimeout)
	a, err := agent.New(opts, s.agentLogger(opts.Name))
	if err != nil {
		return err
	}
	s.agents = append(s.agents, a)
	s.agentRuns.run(a.Run)
	return nil
}

// agentLogger returns a logger that Stop can silence.
func (s *System) agentLogger(name string) log.Logger {
	l := new(log.SwapLogger)
	l.Swap(s.logger(name))
	s.agentLogs = append(s.agentLogs, l)
	return l
}

func (s *System) entryURL(i int) string { return "http://" + s.entries[i].HTTPAddr() }

// EntryURLs returns the base URL of each entry.
func (s *System) EntryURLs() []string {
	urls := make([]string, 0, len(s.entries))
	for i := range s.entries {
		urls = append(urls, s.entryURL(i))
	}
	return urls
}

// LogURL returns the base URL of the stand-in log.
func (s *System) LogURL() string { return s.log.URL() }

// AgentURLs returns the base URL of each agent's operators' endpoints.
func (s *System) AgentURLs() []string {
	urls := make([]string, 0, len(s.agents))
	for _, a := range s.agents {
		urls = append(urls, "http://"+a.HTTPAddr())
	}
	return urls
}

// Stop stops the system gracefully: first the entries, which finish the open
// jobs, then the agents, and last the stand-ins.
func (s *System) Stop() error {
	err := s.entryRuns.stop()
	for _, l := range s.agentLogs {
		l.Swap(nil) // there is no entry left to announce the stop to
	}
	err = errors.Join(err, s.agentRuns.stop())
	for _, b := range s.backends {
		err = errors.Join(err, b.Shutdown(context.Background()))
	}
	for _, l := range []*logserver.Server{s.log, s.keyLog} {
		if l != nil {
			err = errors.Join(err, l.Close())
		}
	}
	return err
}
