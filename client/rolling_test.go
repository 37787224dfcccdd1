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

// runner is a process that can be stopped gracefully.
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

// finish stops the process and returns how it ended.
func (r *runner) finish() error {
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

// rolling is two entries under a client that submits jobs all the time.
type rolling struct {
	g       Gomega
	logs    *logserver.Server
	server  *backend.Server
	entries []*entry.Entry
	runs    []*runner
	urls    []string
	client  *client.Client
	jobs    atomic.Int64 // submitted

	mu       sync.Mutex
	complete map[string]bool // ids of the answers
}

func newRolling(t *testing.T) *rolling {
	g := NewWithT(t)
	s := &rolling{g: g, complete: make(map[string]bool)}
	var err error
	s.logs, err = logserver.Start(anyPort, logserver.Faults{})
	g.Expect(err).NotTo(HaveOccurred())
	s.server, err = backend.New(backend.DefaultOptions())
	g.Expect(err).NotTo(HaveOccurred())
	for _, name := range []string{"entry-1", "entry-2"} {
		e, run := startEntry(g, name, anyPort, anyPort, s.logs.URL())
		s.entries, s.runs = append(s.entries, e), append(s.runs, run)
		s.urls = append(s.urls, "http://"+e.HTTPAddr())
	}
	s.runs = append(s.runs, startAgent(g, s.server.URL(), s.urls[0]))
	s.client, err = client.New(client.Options{Entries: s.urls})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.client.Apply(t.Context(), "booking", structs.Edit{Text: "service = \"booking\"\nowner = \"desk\"\n"})
	g.Expect(err).NotTo(HaveOccurred())
	awaitAgent(g, s.urls)
	return s
}

// submit submits jobs one after the other until stop is closed.
func (s *rolling) submit(t *testing.T, tasks int, stop <-chan struct{}) {
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
		n := s.jobs.Add(1)
		a, err := s.client.Submit(t.Context(), spec)
		if err != nil {
			t.Errorf("job %d: %v", n, err)
			continue
		}
		s.mu.Lock()
		s.complete[a.ID.String()] = true
		s.mu.Unlock()
	}
}

// replace stops an entry gracefully and starts its successor at its addresses.
func (s *rolling) replace(i int) {
	old := s.entries[i]
	s.g.Expect(s.runs[i].finish()).To(Succeed())
	s.entries[i], s.runs[i] = startEntry(s.g, old.Info().Name, old.HTTPAddr(), old.RPCAddr(), s.logs.URL())
	awaitAgent(s.g, s.urls)
}

// checkStarts compares the backend server's own record with the jobs: each
// has tasks starts, all of different tasks.
func (s *rolling) checkStarts(tasks int) {
	perJob := make(map[string]int)
	seen := make(map[string]bool)
	for _, start := range s.server.Starts() {
		s.g.Expect(seen[start.Task]).To(BeFalse(), "%s started twice", start.Task)
		seen[start.Task] = true
		id, _, _ := strings.Cut(start.Task, "/")
		perJob[id]++
	}
	for id, n := range perJob {
		s.g.Expect(s.complete[id]).To(BeTrue(), "job %s gave no answer, and %d of its tasks started", id, n)
		s.g.Expect(n).To(Equal(tasks), "starts of job %s", id)
	}
	s.g.Expect(perJob).To(HaveLen(int(s.jobs.Load())))
}

func (s *rolling) close() {
	s.client.Close()
	for _, r := range s.runs {
		s.g.Expect(r.finish()).To(Succeed())
	}
	s.server.Close()
	s.logs.Close()
}

// TestRollingReplacement replaces each of two entries gracefully while jobs are
// submitted. Every job completes, and every task starts once.
func TestRollingReplacement(t *testing.T) {
	const (
		submitters = 4
		tasks      = 5
	)
	s := newRolling(t)
	defer s.close()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range submitters {
		wg.Go(func() { s.submit(t, tasks, stop) })
	}
	for i := range s.entries {
		before := s.jobs.Load()
		s.replace(i)
		s.g.Eventually(s.jobs.Load).WithTimeout(settleTimeout).Should(BeNumerically(">", before+submitters))
	}
	close(stop)
	wg.Wait()

	s.checkStarts(tasks)
}

// settleTimeout bounds the wait for processes to know each other.
const settleTimeout = 20 * time.Second

// awaitAgent waits until each entry has the agent and the document.
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
