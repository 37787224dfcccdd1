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

// region is the region of all processes.
const region = "local"

// announceTimeout limits an agent's announcement to an entry. On loopback an
// announcement is fast, so a short timeout is sufficient.
const announceTimeout = 200 * time.Millisecond

// System is a running system.
type System struct {
	opts         Options
	logger       func(name string) log.Logger
	logServer    *logserver.Server
	keyLogServer *logserver.Server // log of idempotency keys
	backends     []*backend.Server
	agents       []*agent.Agent
	entries      []*entry.Entry

	entryGroup   group
	agentGroup   group
	agentLoggers []*log.SwapLogger
}

// Start starts a system. The logger function returns the logger of a process,
// given the name of the process.
func Start(opts Options, logger func(name string) log.Logger) (*System, error) {
	s := &System{opts: opts, logger: logger}
	if err := s.start(); err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

func (s *System) start() error {
	var err error
	if s.logServer, err = logserver.Start(freePort, logserver.Faults{}); err != nil {
		return fmt.Errorf("allinone: start log server: %w", err)
	}
	if s.keyLogServer, err = logserver.Start(freePort, logserver.Faults{}); err != nil {
		return fmt.Errorf("allinone: start key log server: %w", err)
	}
	for i := range s.opts.Entries {
		if err := s.startEntry(i); err != nil {
			return fmt.Errorf("allinone: start entry: %w", err)
		}
	}
	for i, speed := range s.opts.Speeds {
		if err := s.startBackend(i, speed); err != nil {
			return fmt.Errorf("allinone: start backend server and agent: %w", err)
		}
	}
	return nil
}

func (s *System) startEntry(i int) error {
	opts := entry.DefaultOptions()
	opts.Name = fmt.Sprintf("entry-%d", i+1)
	opts.Zone = s.opts.zone(i)
	opts.Region = region
	opts.HTTPAddr = freePort
	opts.RPCAddr = freePort
	opts.LogURL = s.logServer.URL()
	opts.KeyLogURL = s.keyLogServer.URL()
	opts.StopLinger = 0 // no caller fetches answers after the stop
	e, err := entry.New(opts, s.logger(opts.Name))
	if err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	s.entryGroup.run(e.Run)
	return nil
}

// startBackend starts a backend server and the agent beside it.
func (s *System) startBackend(i int, speed float64) error {
	backendOpts := backend.DefaultOptions()
	backendOpts.Addr = freePort
	backendOpts.Slots = s.opts.Slots
	backendOpts.Speed = speed
	backendOpts.Seed = uint64(i + 1)
	b, err := backend.New(backendOpts)
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
	opts.RPCAddr = freePort
	opts.HTTPAddr = freePort
	opts.BackendURL = b.URL()
	opts.BalancerURL = s.entryURL(i % len(s.entries))
	opts.Slots = s.opts.Slots
	opts.AnnounceTimeout = settings.Duration(announceTimeout)
	a, err := agent.New(opts, s.agentLogger(opts.Name))
	if err != nil {
		return err
	}
	s.agents = append(s.agents, a)
	s.agentGroup.run(a.Run)
	return nil
}

// agentLogger returns the logger of an agent, which Stop can disable.
func (s *System) agentLogger(name string) log.Logger {
	l := new(log.SwapLogger)
	l.Swap(s.logger(name))
	s.agentLoggers = append(s.agentLoggers, l)
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

// LogURL returns the base URL of the stand-in for the platform's log.
func (s *System) LogURL() string { return s.logServer.URL() }

// AgentURLs returns the base URL of the operators' endpoints of each agent.
func (s *System) AgentURLs() []string {
	urls := make([]string, 0, len(s.agents))
	for _, a := range s.agents {
		urls = append(urls, "http://"+a.HTTPAddr())
	}
	return urls
}

// Stop stops the system gracefully: first the entries, which finish the open
// jobs, then the agents, and finally the stand-ins.
func (s *System) Stop() error {
	err := s.entryGroup.stop()
	for _, l := range s.agentLoggers {
		l.Swap(nil) // no entry is left to which the agents could announce their stop
	}
	err = errors.Join(err, s.agentGroup.stop())
	for _, b := range s.backends {
		err = errors.Join(err, b.Shutdown(context.Background()))
	}
	for _, l := range []*logserver.Server{s.logServer, s.keyLogServer} {
		if l != nil {
			err = errors.Join(err, l.Close())
		}
	}
	return err
}
