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
	anyAddr     = "127.0.0.1:0"
	service     = "booking"
	entries     = 3
	edits       = 20
	waitTimeout = 2 * time.Minute
	// warmUpTime passes after the start. idleTime, three heartbeat intervals,
	// is the time during which idle traffic is measured.
	warmUpTime   = 17 * time.Second
	idleTime     = 45 * time.Second
	maxEditPause = 2 * time.Second
)

// revisionRecorder records for each process when revisions came into force.
type revisionRecorder struct {
	mu    sync.Mutex
	times map[string]map[uint64]time.Time
}

// logger returns a logger for one process that records the process's
// document_in_force events.
func (r *revisionRecorder) logger(process string) log.Logger {
	return log.LoggerFunc(func(kv ...any) error {
		fields := make(map[string]string)
		for i := 0; i+1 < len(kv); i += 2 {
			fields[fmt.Sprint(kv[i])] = fmt.Sprint(kv[i+1])
		}
		if fields["event"] == "document_in_force" {
			r.record(process, fields)
		}
		return nil
	})
}

func (r *revisionRecorder) record(process string, fields map[string]string) {
	var revision uint64
	if _, err := fmt.Sscan(fields["revision"], &revision); err != nil {
		if _, err := fmt.Sscanf(fields["detail"], "revision=%d", &revision); err != nil {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.times[process] == nil {
		r.times[process] = make(map[uint64]time.Time)
	}
	if _, recorded := r.times[process][revision]; !recorded {
		r.times[process][revision] = time.Now()
	}
}

// inForce waits until the revision is in force at that many processes and
// returns the times.
func (r *revisionRecorder) inForce(b *testing.B, processes int, revision uint64) map[string]time.Time {
	b.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		at := make(map[string]time.Time)
		r.mu.Lock()
		for process, revisions := range r.times {
			if t, ok := revisions[revision]; ok {
				at[process] = t
			}
		}
		r.mu.Unlock()
		if len(at) == processes {
			return at
		}
	}
	b.Fatalf("revision %d did not come into force at all processes in time", revision)
	return nil
}

// countingProxy accepts TCP connections for a target and counts the bytes in
// both directions.
type countingProxy struct {
	net.Listener
	bytes atomic.Int64
}

func newCountingProxy(b *testing.B, target string) *countingProxy {
	l, err := net.Listen("tcp", anyAddr)
	check(b, err)
	b.Cleanup(func() { l.Close() })
	c := &countingProxy{Listener: l}
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

func (c *countingProxy) copy(to, from net.Conn) {
	defer to.Close()
	_, _ = io.Copy(io.MultiWriter(to, c), from)
}

// Write counts the bytes of p.
func (c *countingProxy) Write(p []byte) (int, error) {
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
	revisionRecorder *revisionRecorder
	logProxy         *countingProxy
	url              string
	agents           int
}

func start(b *testing.B, agents int) *system {
	s := &system{revisionRecorder: &revisionRecorder{times: make(map[string]map[uint64]time.Time)}, agents: agents}
	logs, err := logserver.Start(anyAddr, logserver.Faults{})
	check(b, err)
	b.Cleanup(func() { logs.Close() })
	s.logProxy = newCountingProxy(b, logs.Addr())
	for i := range entries {
		opts := entry.DefaultOptions()
		opts.Name, opts.Zone, opts.Region = fmt.Sprintf("entry-%d", i), "zone-a", "region"
		opts.HTTPAddr, opts.RPCAddr, opts.LogURL = anyAddr, anyAddr, "http://"+s.logProxy.Addr().String()
		opts.StopLinger = 0
		e, err := entry.New(opts, s.revisionRecorder.logger(opts.Name))
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
		a, err := agent.New(opts, s.revisionRecorder.logger(opts.Name))
		check(b, err)
		run(b, a.Run)
	}
	return s
}

// traffic returns the bytes in both directions and the number of requests of
// all RPC connections that this process has opened; a request larger than the
// write buffer counts more than once.
func traffic() (bytes, requests int64) {
	t := rpcconn.TotalTraffic()
	return t.BytesSent + t.BytesReceived, t.Writes
}

// BenchmarkControl reports, for three entries and a varying number of agents
// without tasks, the time from the acceptance of an edit until it is in force
// at entries and agents, the idle RPC and log traffic per second by entry and
// by agent, and the RPC bytes that one edit of a 2 KB document costs.
func BenchmarkControl(b *testing.B) {
	for _, agents := range []int{11, 50, 200} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			s := start(b, agents)
			k, err := client.New(client.Options{Entries: []string{s.url}})
			check(b, err)
			b.Cleanup(k.Close)
			s.edit(b, k, 0)
			time.Sleep(warmUpTime)

			bytesBefore, requestsBefore := traffic()
			logBefore := s.logProxy.bytes.Load()
			time.Sleep(idleTime)
			bytes, requests := traffic()
			rpcIdleBytes := float64(bytes - bytesBefore)
			b.ReportMetric(float64(requests-requestsBefore)/idleTime.Seconds()/entries, "rpc-req/s/entry")
			logIdleBytes := float64(s.logProxy.bytes.Load() - logBefore)
			b.ReportMetric(rpcIdleBytes/idleTime.Seconds()/entries, "rpc-B/s/entry")
			b.ReportMetric(rpcIdleBytes/idleTime.Seconds()/float64(agents), "rpc-B/s/agent")
			b.ReportMetric(logIdleBytes/idleTime.Seconds()/entries, "log-B/s/entry")
			s.measureEdits(b, k, rpcIdleBytes/idleTime.Seconds())
		})
	}
}

// edit publishes revision base+1 and returns the time of its acceptance and, by
// process, the times at which it came into force.
func (s *system) edit(b *testing.B, k *client.Client, base uint64) (time.Time, map[string]time.Time) {
	b.Helper()
	text := fmt.Sprintf("service = %q\nowner = 'himalaya'\n# %02000d\n", service, base)
	_, err := k.Apply(context.Background(), service, structs.Edit{Base: base, Text: text})
	check(b, err)
	accepted := time.Now()
	return accepted, s.revisionRecorder.inForce(b, entries+s.agents, base+1)
}

func (s *system) measureEdits(b *testing.B, k *client.Client, idleBytesPerSecond float64) {
	latencies := hdrhistogram.New(1, int64(waitTimeout/time.Microsecond), 3)
	var cost float64
	for i := range edits {
		before, _ := traffic()
		started := time.Now()
		accepted, at := s.edit(b, k, uint64(i+1))
		after, _ := traffic()
		cost += float64(after-before) - idleBytesPerSecond*time.Since(started).Seconds()
		for _, t := range at {
			check(b, latencies.RecordValue(max(1, t.Sub(accepted).Microseconds())))
		}
		time.Sleep(rand.N(maxEditPause)) // avoids synchronizing edits with polls of the log
	}
	b.ReportMetric(cost/edits, "rpc-B/edit")
	for _, q := range []float64{50, 90, 99, 100} {
		b.ReportMetric(float64(latencies.ValueAtQuantile(q))/1000, fmt.Sprintf("ms-p%.0f", q))
	}
	if os.Getenv("CHESTNUTHOLLOW_HISTOGRAM") != "" {
		_, _ = latencies.PercentilesPrint(os.Stderr, 1, 1000)
	}
}
