package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/agent"
	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/entry"
	"github.com/chestnuthollow/chestnuthollow/internal/logging"
	"github.com/chestnuthollow/chestnuthollow/standin/backend"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const anyAddr = "127.0.0.1:0"

const bookingDocument = `
service = "booking"
owner = "himalaya"
`

// site is a whole system in one process.
type site struct {
	g        *WithT
	t        *testing.T
	logs     *logserver.Server
	keyLogs  *logserver.Server
	entries  []*entry.Entry
	stops    []func() // of entries
	backends []*backend.Server
}

func newSite(t *testing.T, entries, agents int) *site {
	s := &site{g: NewWithT(t), t: t}
	var err error
	s.logs, err = logserver.Start(anyAddr, logserver.Faults{})
	s.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { s.logs.Close() })
	s.keyLogs, err = logserver.Start(anyAddr, logserver.Faults{})
	s.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { s.keyLogs.Close() })
	for i := range entries {
		s.startEntry(fmt.Sprintf("entry-%d", i))
	}
	for i := range agents {
		s.startAgent(fmt.Sprintf("agent-%d", i))
	}
	return s
}

func testLogger(name string) log.Logger {
	if os.Getenv("CHESTNUTHOLLOW_TEST_LOG") == "" {
		return log.NewNopLogger()
	}
	return logging.New(os.Stderr, name, "info")
}

// run runs a process's Run until the returned function is called or the test
// ends.
func (s *site) run(run func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	s.t.Cleanup(stop)
	return stop
}

// stopEntry stops an entry gracefully and forgets it.
func (s *site) stopEntry(i int) {
	s.stops[i]()
	s.entries = append(s.entries[:i], s.entries[i+1:]...)
	s.stops = append(s.stops[:i], s.stops[i+1:]...)
}

func (s *site) startEntry(name string) { s.startEntryWith(name, func(*entry.Options) {}) }

func (s *site) startEntryWith(name string, change func(*entry.Options)) {
	opts := entry.DefaultOptions()
	opts.Name, opts.Zone, opts.Region = name, "az1", "r1"
	opts.HTTPAddr, opts.RPCAddr, opts.LogURL = anyAddr, anyAddr, s.logs.URL()
	opts.KeyLogURL = s.keyLogs.URL()
	opts.StopLinger = 0
	change(&opts)
	e, err := entry.New(opts, testLogger(name))
	s.g.Expect(err).NotTo(HaveOccurred())
	s.entries = append(s.entries, e)
	s.stops = append(s.stops, s.run(e.Run))
}

func (s *site) startAgent(name string) {
	b, err := backend.New(backend.DefaultOptions())
	s.g.Expect(err).NotTo(HaveOccurred())
	s.backends = append(s.backends, b)
	s.t.Cleanup(func() { b.Close() })
	opts := agent.DefaultOptions()
	opts.Name, opts.Service, opts.Team, opts.Zone = name, "booking", "himalaya", "az1"
	opts.RPCAddr, opts.HTTPAddr, opts.BackendURL = anyAddr, anyAddr, b.URL()
	opts.BalancerURL = "http://" + s.entries[len(s.backends)%len(s.entries)].HTTPAddr()
	opts.StopLinger = 0
	a, err := agent.New(opts, testLogger(name))
	s.g.Expect(err).NotTo(HaveOccurred())
	s.run(a.Run)
}

func (s *site) client(i int) *client.Client {
	c, err := client.New(client.Options{Entries: []string{"http://" + s.entries[i].HTTPAddr()}})
	s.g.Expect(err).NotTo(HaveOccurred())
	return c
}

// publish puts the document in force at every entry, with every agent known.
func (s *site) publish(ctx context.Context) {
	_, err := s.client(0).Apply(ctx, "booking", structs.Edit{EditID: "first", Text: bookingDocument})
	s.g.Expect(err).NotTo(HaveOccurred())
	for i := range s.entries {
		c := s.client(i)
		s.g.Eventually(func() bool {
			status, err := c.Status(ctx)
			inForce := err == nil && len(status.Services) == 1 && status.Services[0].Revision == 1
			return inForce && len(status.Agents) == len(s.backends) && len(status.Entries) == len(s.entries)
		}, 30*time.Second, 50*time.Millisecond).Should(BeTrue())
	}
}

func job(tasks int) *structs.JobSpec {
	spec := &structs.JobSpec{Service: "booking", Team: "front-desk"}
	for i := range tasks {
		payload := fmt.Appendf(nil, `{"work_ms": 5, "n": %d}`, i)
		spec.Tasks = append(spec.Tasks, structs.TaskSpec{Kind: "hold", ContentType: "application/json", Payload: payload})
	}
	return spec
}

func TestWholePath(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := newSite(t, 2, 3)
	s.publish(ctx)
	total := 0
	for i := range s.entries {
		for _, tasks := range []int{1, 50, 890} {
			answer, err := s.client(i).Submit(ctx, job(tasks))
			s.g.Expect(err).NotTo(HaveOccurred())
			s.g.Expect(answer.State).To(Equal(structs.JobComplete))
			s.g.Expect(answer.Results).To(HaveLen(tasks))
			total += tasks
		}
	}
	starts := 0
	for _, b := range s.backends {
		starts += len(b.Starts())
	}
	s.g.Expect(starts).To(Equal(total))
}

// A job that came in at one entry is answered by any other.
func TestAnyEntryAnswers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := newSite(t, 2, 1)
	s.publish(ctx)
	ids, err := s.client(0).ReserveN(ctx, 1)
	s.g.Expect(err).NotTo(HaveOccurred())
	_, err = s.client(0).Submit(ctx, job(2), client.WithID(ids[0]))
	s.g.Expect(err).NotTo(HaveOccurred())
	answer, err := s.client(1).Get(ctx, ids[0], 0)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(answer.State).To(Equal(structs.JobComplete))
}

// When all entries are replaced at once, the agents find the new ones through
// the balancer, and the documents come from the log.
func TestAllEntriesReplacedAtOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := newSite(t, 1, 2)
	s.publish(ctx)
	addr := s.entries[0].HTTPAddr()
	s.stopEntry(0)
	s.startEntryWith("entry-9", func(o *entry.Options) { o.HTTPAddr = addr })
	s.g.Eventually(func() error {
		_, err := s.client(0).Submit(ctx, job(3))
		return err
	}, 30*time.Second, 50*time.Millisecond).Should(Succeed())
}

// Ids that a stopped entry never took are not run, whichever entry is asked, one
// that started later included.
func TestUnsubmittedIDsOfAStoppedEntry(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := newSite(t, 2, 1)
	s.publish(ctx)
	ids, err := s.client(0).ReserveN(ctx, 2)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.stopEntry(0)
	s.startEntry("entry-9")
	s.g.Eventually(s.entries[1].Ready, 30*time.Second, 50*time.Millisecond).Should(Succeed())
	for i, id := range ids {
		code, refused := s.put(i, id, job(1))
		s.g.Expect(code).To(Equal(http.StatusGone))
		s.g.Expect(refused.Verdict).To(Equal(structs.NotRun))
	}
	s.g.Expect(s.backends[0].Starts()).To(BeEmpty())
}

// put submits a job under an id, once, and returns the status code and refusal.
func (s *site) put(i int, id structs.JobID, spec *structs.JobSpec) (int, structs.Error) {
	body, err := json.Marshal(spec)
	s.g.Expect(err).NotTo(HaveOccurred())
	url := "http://" + s.entries[i].HTTPAddr() + "/v1/jobs/" + id.String()
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	s.g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	s.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var refused structs.Error
	s.g.Expect(json.NewDecoder(resp.Body).Decode(&refused)).To(Succeed())
	return resp.StatusCode, refused
}
