package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"

	"github.com/chestnuthollow/chestnuthollow/agent"
	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/entry"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
	"github.com/chestnuthollow/chestnuthollow/standin/backend"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	anyAddr  = "127.0.0.1:0"
	service  = "booking"
	entries  = 3
	edits    = 20
	patience = 2 * time.Minute
	// settleTime passes after the start, quietTime while traffic is counted:
	// three of the heartbeats' intervals.
	settleTime   = 17 * time.Second
	quietTime    = 45 * time.Second
	maxEditPause = 2 * time.Second
)

// watch notes when revisions come into force, by process.
type watch struct {
	mu   sync.Mutex
	seen map[string]map[uint64]time.Time
}

// logger returns the logger of one process.
func (w *watch) logger(process string) log.Logger {
	return log.LoggerFunc(func(kv ...any) error {
		fields := make(map[string]string)
		for i := 0; i+1 < len(kv); i += 2 {
			fields[fmt.Sprint(kv[i])] = fmt.Sprint(kv[i+1])
		}
		if fields["event"] == "document_in_force" {
			w.note(process, fields)
		}
		return nil
	})
}

func (w *watch) note(process string, fields map[string]string) {
	var revision uint64
	if _, err := fmt.Sscan(fields["revision"], &revision); err != nil {
		if _, err := fmt.Sscanf(fields["detail"], "revision=%d", &revision); err != nil {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.seen[process] == nil {
		w.seen[process] = make(map[uint64]time.Time)
	}
	if _, again := w.seen[process][revision]; !again {
		w.seen[process][revision] = time.Now()
	}
}

// inForce returns when each process put the revision in force, once all of
// them have.
func (w *watch) inForce(b *testing.B, processes int, revision uint64) map[string]time.Time {
	b.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		at := make(map[string]time.Time)
		w.mu.Lock()
		for process, revisions := range w.seen {
			if t, ok := revisions[revision]; ok {
				at[process] = t
			}
		}
		w.mu.Unlock()
		if len(at) == processes {
			return at
		}
	}
	b.Fatalf("revision %d is not in force everywhere", revision)
	return nil
}

// counter is a TCP hop that counts bytes both ways.
type counter struct {
	net.Listener
	bytes atomic.Int64
}

func newCounter(b *testing.B, target string) *counter {
	l, err := net.Listen("tcp", anyAddr)
	check(b, err)
	b.Cleanup(func() { l.Close() })
	c := &counter{Listener: l}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			go c.copy(in, out)
			go c.copy(out, in)
		}
	}()
	return c
}

func (c *counter) copy(to, from net.Conn) {
	defer to.Close()
	_, _ = io.Copy(io.MultiWriter(to, c), from)
}

// Write counts.
func (c *counter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func run(b *testing.B, process func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = process(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
}

// system is the stand-in log, entries and agents.
type system struct {
	watch  *watch
	toLog  *counter
	url    string
	agents int
}

func start(b *testing.B, agents int) *system {
	s := &system{watch: &watch{seen: make(map[string]map[uint64]time.Time)}, agents: agents}
	logs, err := logserver.Start(anyAddr, logserver.Faults{})
	check(b, err)
	b.Cleanup(func() { logs.Close() })
	s.toLog = newCounter(b, logs.Addr())
	for i := range entries {
		opts := entry.DefaultOptions()
		opts.Name, opts.Zone, opts.Region = fmt.Sprintf("entry-%d", i), "zone-a", "region"
		opts.HTTPAddr, opts.RPCAddr, opts.LogURL = anyAddr, anyAddr, "http://"+s.toLog.Addr().String()
		opts.StopLinger = 0
		e, err := entry.New(opts, s.watch.logger(opts.Name))
		check(b, err)
		s.url = "http://" + e.HTTPAddr()
		run(b, e.Run)
	}
	server, err := backend.New(backend.DefaultOptions())
	check(b, err)
	b.Cleanup(func() { server.Close() })
	for i := range agents {
		opts := agent.DefaultOptions()
		opts.Name, opts.Service, opts.Team, opts.Zone = fmt.Sprintf("agent-%d", i), service, "himalaya", "zone-a"
		opts.RPCAddr, opts.HTTPAddr, opts.BackendURL, opts.BalancerURL = anyAddr, anyAddr, server.URL(), s.url
		opts.StopLinger = 0
		a, err := agent.New(opts, s.watch.logger(opts.Name))
		check(b, err)
		run(b, a.Run)
	}
	return s
}

// traffic returns the bytes both ways and the requests of all RPC.
func traffic() (bytes, requests int64) {
	t := rpcconn.TotalTraffic()
	return t.BytesSent + t.BytesReceived, t.Writes
}

// BenchmarkControl reports, for three entries and some agents without tasks:
// the time from an edit's acceptance until it is in force at entries and
// agents, the bytes per second of control by entry and by agent, and the bytes
// of RPC that one edit of a 2 KB document costs.
func BenchmarkControl(b *testing.B) {
	for _, agents := range []int{11, 50, 200} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			s := start(b, agents)
			k, err := client.New(client.Options{Entries: []string{s.url}})
			check(b, err)
			b.Cleanup(k.Close)
			s.edit(b, k, 0)
			time.Sleep(settleTime)

			bytesBefore, requestsBefore := traffic()
			logBefore := s.toLog.bytes.Load()
			time.Sleep(quietTime)
			bytes, requests := traffic()
			rpcQuiet := float64(bytes - bytesBefore)
			b.ReportMetric(float64(requests-requestsBefore)/quietTime.Seconds()/entries, "rpc-req/s/entry")
			logQuiet := float64(s.toLog.bytes.Load() - logBefore)
			b.ReportMetric(rpcQuiet/quietTime.Seconds()/entries, "rpc-B/s/entry")
			b.ReportMetric(rpcQuiet/quietTime.Seconds()/float64(agents), "rpc-B/s/agent")
			b.ReportMetric(logQuiet/quietTime.Seconds()/entries, "log-B/s/entry")
			s.measureEdits(b, k, rpcQuiet/quietTime.Seconds())
		})
	}
}

// edit publishes revision base+1 and returns when each process had it.
func (s *system) edit(b *testing.B, k *client.Client, base uint64) (time.Time, map[string]time.Time) {
	b.Helper()
	text := fmt.Sprintf("service = %q\nowner = 'himalaya'\n# %02000d\n", service, base)
	_, err := k.Apply(context.Background(), service, structs.Edit{Base: base, Text: text})
	check(b, err)
	accepted := time.Now()
	return accepted, s.watch.inForce(b, entries+s.agents, base+1)
}

func (s *system) measureEdits(b *testing.B, k *client.Client, quietPerSecond float64) {
	took := hdrhistogram.New(1, int64(patience/time.Microsecond), 3)
	var cost float64
	for i := range edits {
		before, _ := traffic()
		started := time.Now()
		accepted, at := s.edit(b, k, uint64(i+1))
		after, _ := traffic()
		cost += float64(after-before) - quietPerSecond*time.Since(started).Seconds()
		for _, t := range at {
			check(b, took.RecordValue(max(1, t.Sub(accepted).Microseconds())))
		}
		time.Sleep(rand.N(maxEditPause)) // out of step with the log's polls
	}
	b.ReportMetric(cost/edits, "rpc-B/edit")
	for _, q := range []float64{50, 90, 99, 100} {
		b.ReportMetric(float64(took.ValueAtQuantile(q))/1000, fmt.Sprintf("ms-p%.0f", q))
	}
	if os.Getenv("CHESTNUTHOLLOW_HISTOGRAM") != "" {
		_, _ = took.PercentilesPrint(os.Stderr, 1, 1000)
	}
}
