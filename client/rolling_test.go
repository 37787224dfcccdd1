package client_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/agent"
	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/entry"
	"github.com/chestnuthollow/chestnuthollow/internal/settings"
	"github.com/chestnuthollow/chestnuthollow/standin/backend"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const anyPort = "127.0.0.1:0"

// runner runs an entry or agent until it is stopped gracefully.
type runner struct {
	stop context.CancelFunc
	done chan error
}

func start(run func(context.Context) error) *runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- run(ctx) }()
	return r
}

// stopAndWait stops the process gracefully and returns the error of its run.
func (r *runner) stopAndWait() error {
	r.stop()
	return <-r.done
}

func startEntry(g Gomega, name, httpAddr, rpcAddr, logURL string) (*entry.Entry, *runner) {
	opts := entry.DefaultOptions()
	opts.Name, opts.Zone, opts.Region = name, "zone-a", "local"
	opts.HTTPAddr, opts.RPCAddr, opts.LogURL = httpAddr, rpcAddr, logURL
	opts.StopLinger = settings.Duration(500 * time.Millisecond)
	e, err := entry.New(opts, log.NewNopLogger())
	g.Expect(err).NotTo(HaveOccurred())
	return e, start(e.Run)
}

func startAgent(g Gomega, backendURL, balancerURL string) *runner {
	opts := agent.DefaultOptions()
	opts.Name, opts.Service, opts.Team, opts.Zone = "booking-1", "booking", "desk", "zone-a"
	opts.RPCAddr, opts.HTTPAddr = anyPort, anyPort
	opts.BackendURL, opts.BalancerURL = backendURL, balancerURL
	a, err := agent.New(opts, log.NewNopLogger())
	g.Expect(err).NotTo(HaveOccurred())
	return start(a.Run)
}

// cluster is two entries, an agent and a client that submits jobs continuously.
type cluster struct {
	g         Gomega
	logServer *logserver.Server
	backend   *backend.Server
	entries   []*entry.Entry
	runs      []*runner
	urls      []string
	client    *client.Client
	submitted atomic.Int64 // number of jobs

	mu        sync.Mutex
	completed map[string]bool // ids of complete jobs
}

func newCluster(t *testing.T) *cluster {
	g := NewWithT(t)
	s := &cluster{g: g, completed: make(map[string]bool)}
	var err error
	s.logServer, err = logserver.Start(anyPort, logserver.Faults{})
	g.Expect(err).NotTo(HaveOccurred())
	s.backend, err = backend.New(backend.DefaultOptions())
	g.Expect(err).NotTo(HaveOccurred())
	for _, name := range []string{"entry-1", "entry-2"} {
		e, run := startEntry(g, name, anyPort, anyPort, s.logServer.URL())
		s.entries, s.runs = append(s.entries, e), append(s.runs, run)
		s.urls = append(s.urls, "http://"+e.HTTPAddr())
	}
	s.runs = append(s.runs, startAgent(g, s.backend.URL(), s.urls[0]))
	s.client, err = client.New(client.Options{Entries: s.urls})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.client.Apply(t.Context(), "booking", structs.Edit{Text: "service = \"booking\"\nowner = \"desk\"\n"})
	g.Expect(err).NotTo(HaveOccurred())
	awaitAgent(g, s.urls)
	return s
}

// submit submits jobs one after the other until stop is closed.
func (s *cluster) submit(t *testing.T, tasks int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		spec := job(tasks)
		for i := range spec.Tasks {
			spec.Tasks[i].Payload = []byte(`{"work_ms": 5}`)
		}
		n := s.submitted.Add(1)
		a, err := s.client.Submit(t.Context(), spec)
		if err != nil {
			t.Errorf("job %d: %v", n, err)
			continue
		}
		s.mu.Lock()
		s.completed[a.ID.String()] = true
		s.mu.Unlock()
	}
}

// replace stops an entry gracefully and starts a new one at the same addresses.
func (s *cluster) replace(i int) {
	old := s.entries[i]
	s.g.Expect(s.runs[i].stopAndWait()).To(Succeed())
	s.entries[i], s.runs[i] = startEntry(s.g, old.Info().Name, old.HTTPAddr(), old.RPCAddr(), s.logServer.URL())
	awaitAgent(s.g, s.urls)
}

// checkStarts compares the starts recorded by the backend server with the
// submitted jobs: each job must have tasks starts, all of different tasks.
func (s *cluster) checkStarts(tasks int) {
	perJob := make(map[string]int)
	seen := make(map[string]bool)
	for _, start := range s.backend.Starts() {
		s.g.Expect(seen[start.Task]).To(BeFalse(), "%s started twice", start.Task)
		seen[start.Task] = true
		id, _, _ := strings.Cut(start.Task, "/")
		perJob[id]++
	}
	for id, n := range perJob {
		s.g.Expect(s.completed[id]).To(BeTrue(), "job %s did not complete, but %d of its tasks started", id, n)
		s.g.Expect(n).To(Equal(tasks), "starts of job %s", id)
	}
	s.g.Expect(perJob).To(HaveLen(int(s.submitted.Load())))
}

func (s *cluster) stop() {
	s.client.Close()
	for _, r := range s.runs {
		s.g.Expect(r.stopAndWait()).To(Succeed())
	}
	s.backend.Close()
	s.logServer.Close()
}

// TestRollingReplacement replaces two entries one after the other, gracefully,
// while jobs are submitted. Every job must complete, and every task must start
// exactly once.
func TestRollingReplacement(t *testing.T) {
	const (
		submitters = 4
		tasks      = 5
	)
	s := newCluster(t)
	defer s.stop()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range submitters {
		wg.Go(func() { s.submit(t, tasks, stop) })
	}
	for i := range s.entries {
		before := s.submitted.Load()
		s.replace(i)
		s.g.Eventually(s.submitted.Load).WithTimeout(settleTimeout).Should(BeNumerically(">", before+submitters))
	}
	close(stop)
	wg.Wait()

	s.checkStarts(tasks)
}

// settleTimeout bounds the time until processes have discovered each other, and
// until jobs continue after a replacement.
const settleTimeout = 20 * time.Second

// awaitAgent waits until each entry knows the agent and both have the document.
func awaitAgent(g Gomega, urls []string) {
	for _, url := range urls {
		c, err := client.New(client.Options{Entries: []string{url}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() bool {
			st, err := c.Status(context.Background())
			return err == nil && len(st.Agents) == 1 && len(st.Services) == 1 && st.Services[0].Revision == 1 &&
				st.Agents[0].State.Revision == 1
		}).WithTimeout(settleTimeout).Should(BeTrue(), url)
		c.Close()
	}
}
