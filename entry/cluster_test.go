package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
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

// cluster is a complete system of entries, agents and backend servers in one
// process.
type cluster struct {
	logs      *logserver.Server
	keyLogs   *logserver.Server
	entries   []*entry.Entry
	stopFuncs []func()     // stop the entries
	runErrors []chan error // receive the results of the entries' Run
	backends  []*backend.Server
}

func newCluster(entries, agents int) *cluster {
	s := &cluster{}
	var err error
	s.logs, err = logserver.Start(anyAddr, logserver.Faults{})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { s.logs.Close() })
	s.keyLogs, err = logserver.Start(anyAddr, logserver.Faults{})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { s.keyLogs.Close() })
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

// run calls run in a goroutine. Its context is canceled when the returned function is
// called or the test ends.
func (s *cluster) run(run func(context.Context) error) (stop func()) {
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
	DeferCleanup(stop)
	return stop
}

// stopEntry stops an entry gracefully and removes it from the cluster.
func (s *cluster) stopEntry(i int) {
	s.stopFuncs[i]()
	s.entries = append(s.entries[:i], s.entries[i+1:]...)
	s.stopFuncs = append(s.stopFuncs[:i], s.stopFuncs[i+1:]...)
	s.runErrors = append(s.runErrors[:i], s.runErrors[i+1:]...)
}

func (s *cluster) startEntry(name string) { s.startEntryWith(name, func(*entry.Options) {}) }

func (s *cluster) startEntryWith(name string, configure func(*entry.Options)) {
	opts := entry.DefaultOptions()
	opts.Name, opts.Zone, opts.Region = name, "az1", "r1"
	opts.HTTPAddr, opts.RPCAddr, opts.LogURL = anyAddr, anyAddr, s.logs.URL()
	opts.KeyLogURL = s.keyLogs.URL()
	opts.StopLinger = 0
	configure(&opts)
	e, err := entry.New(opts, testLogger(name))
	Expect(err).NotTo(HaveOccurred())
	s.entries = append(s.entries, e)
	runError := make(chan error, 1)
	s.runErrors = append(s.runErrors, runError)
	s.stopFuncs = append(s.stopFuncs, s.run(func(ctx context.Context) error {
		err := e.Run(ctx)
		runError <- err
		return err
	}))
}

func (s *cluster) startAgent(name string) {
	b, err := backend.New(backend.DefaultOptions())
	Expect(err).NotTo(HaveOccurred())
	s.backends = append(s.backends, b)
	DeferCleanup(func() { b.Close() })
	opts := agent.DefaultOptions()
	opts.Name, opts.Service, opts.Team, opts.Zone = name, "booking", "himalaya", "az1"
	opts.RPCAddr, opts.HTTPAddr, opts.BackendURL = anyAddr, anyAddr, b.URL()
	opts.BalancerURL = "http://" + s.entries[len(s.backends)%len(s.entries)].HTTPAddr()
	opts.StopLinger = 0
	a, err := agent.New(opts, testLogger(name))
	Expect(err).NotTo(HaveOccurred())
	s.run(a.Run)
}

func (s *cluster) client(i int) *client.Client {
	c, err := client.New(client.Options{Entries: []string{"http://" + s.entries[i].HTTPAddr()}})
	Expect(err).NotTo(HaveOccurred())
	return c
}

// publish publishes the document and waits until every entry has it in force and
// lists all agents and entries.
func (s *cluster) publish(ctx context.Context) {
	_, err := s.client(0).Apply(ctx, "booking", structs.Edit{EditID: "first", Text: bookingDocument})
	Expect(err).NotTo(HaveOccurred())
	for i := range s.entries {
		c := s.client(i)
		Eventually(func() bool {
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

// submitOnce submits a job under an id without retries and returns the status code
// and the error.
func (s *cluster) submitOnce(i int, id structs.JobID, spec *structs.JobSpec) (int, structs.Error) {
	body, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	url := "http://" + s.entries[i].HTTPAddr() + "/v1/jobs/" + id.String()
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var refused structs.Error
	Expect(json.NewDecoder(resp.Body).Decode(&refused)).To(Succeed())
	return resp.StatusCode, refused
}
