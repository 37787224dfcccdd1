// Package deployment runs a complete small system in one process on loopback. It
// uses the code of the daemons, with stand-ins for the platform's log and the
// backend servers, and compares placement variants under the same load.
package deployment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/chestnuthollow/chestnuthollow/agent"
	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/entry"
	"github.com/chestnuthollow/chestnuthollow/internal/settings"
	"github.com/chestnuthollow/chestnuthollow/load"
	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/standin/backend"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	loopback = "127.0.0.1:0"
	owner    = "owner"
	// readyTimeout limits how long a deployment may take to become ready.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	drainTimeout      = 2 * time.Second
)

// Options describe a deployment.
type Options struct {
	Service string
	Entries int
	Servers []load.Server
	// Document is the text of the service's document. If it is empty, a document
	// without limits is used.
	Document string
	Seed     uint64
	// NewPolicy and NoRecall are passed to the entries.
	NewPolicy func(seed uint64) placement.Policy
	NoRecall  bool
	// Log receives the log lines of all processes; nil discards them.
	Log log.Logger
}

// documentWithoutLimits returns the text of a document without limits.
func (o *Options) documentWithoutLimits() string {
	return fmt.Sprintf("service = %q\nowner = %q\n", o.Service, owner)
}

// Deployment is a running system.
type Deployment struct {
	opts      Options
	logServer *logserver.Server
	entries   []*entry.Entry
	Backends  []*backend.Server
	cancels   []context.CancelFunc
	running   sync.WaitGroup
}

// Start starts a deployment and waits until every entry has the service's
// document and lists all agents and entries.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	if opts.Log == nil {
		opts.Log = log.NewNopLogger()
	}
	d := &Deployment{opts: opts}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	if d.logServer, err = logserver.Start(loopback, logserver.Faults{}); err != nil {
		return err
	}
	for i := range d.opts.Entries {
		if err := d.startEntry(i); err != nil {
			return err
		}
	}
	for i := range d.opts.Servers {
		if err := d.startServer(i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.publish(ctx); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

func (d *Deployment) startEntry(i int) error {
	opts := entry.DefaultOptions()
	opts.Name = fmt.Sprintf("entry-%d", i)
	opts.Zone, opts.Region = "az1", "r1"
	opts.HTTPAddr, opts.RPCAddr, opts.LogURL = loopback, loopback, d.logServer.URL()
	opts.Seed = d.opts.Seed + uint64(i) + 1
	opts.DrainTimeout = settings.Duration(drainTimeout)
	opts.NewPolicy = d.opts.NewPolicy
	opts.NoRecall = d.opts.NoRecall
	e, err := entry.New(opts, d.opts.Log)
	if err != nil {
		return err
	}
	d.entries = append(d.entries, e)
	d.run(e.Run)
	return nil
}

// startServer starts a backend server and the agent beside it.
func (d *Deployment) startServer(i int) error {
	b := backend.DefaultOptions()
	b.Slots = d.opts.Servers[i].Slots
	b.Speed = d.opts.Servers[i].Speed
	b.Seed = d.opts.Seed + uint64(i)
	b.MaxStarts = 0
	server, err := backend.New(b)
	if err != nil {
		return err
	}
	d.Backends = append(d.Backends, server)
	opts := agent.DefaultOptions()
	opts.Name = fmt.Sprintf("agent-%d", i)
	opts.Service, opts.Team, opts.Zone = d.opts.Service, owner, "az1"
	opts.RPCAddr, opts.HTTPAddr = loopback, loopback
	opts.BackendURL = server.URL()
	opts.BalancerURL = d.URLs()[i%len(d.entries)]
	opts.Slots = b.Slots
	a, err := agent.New(opts, d.opts.Log)
	if err != nil {
		return err
	}
	d.run(a.Run)
	return nil
}

// run runs a process in the background until Close.
func (d *Deployment) run(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancels = append(d.cancels, cancel)
	d.running.Go(func() { _ = run(ctx) })
}

// URLs returns the base URLs of the entries.
func (d *Deployment) URLs() []string {
	urls := make([]string, len(d.entries))
	for i, e := range d.entries {
		urls[i] = "http://" + e.HTTPAddr()
	}
	return urls
}

func (d *Deployment) publish(ctx context.Context) error {
	text := d.opts.Document
	if text == "" {
		text = d.opts.documentWithoutLimits()
	}
	c, err := client.New(client.Options{Entries: d.URLs()})
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = c.Apply(ctx, d.opts.Service, structs.Edit{Text: text})
	return err
}

func (d *Deployment) awaitReady(ctx context.Context) error {
	for _, url := range d.URLs() {
		c, err := client.New(client.Options{Entries: []string{url}})
		if err != nil {
			return err
		}
		defer c.Close()
		for !d.ready(ctx, c) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("deployment: entry %s is not ready: %w", url, ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// ready reports whether an entry has the service's document and lists all agents
// and entries.
func (d *Deployment) ready(ctx context.Context, c *client.Client) bool {
	status, err := c.Status(ctx)
	return err == nil && len(status.Services) == 1 && status.Services[0].Revision > 0 &&
		len(status.Agents) == len(d.opts.Servers) && len(status.Entries) == len(d.entries)
}

// Close stops the entries and agents, and then the stand-ins.
func (d *Deployment) Close() {
	for _, cancel := range d.cancels {
		cancel()
	}
	d.running.Wait()
	for _, b := range d.Backends {
		b.Close()
	}
	if d.logServer != nil {
		d.logServer.Close()
	}
}
