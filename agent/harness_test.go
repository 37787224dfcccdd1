package agent_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/agent"
	"github.com/chestnuthollow/chestnuthollow/internal/settings"
	"github.com/chestnuthollow/chestnuthollow/standin/backend"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const homeID structs.Incarnation = 7

// fakeEntry implements the parts of an entry that an agent calls: Entry.Announce and
// the list of entries behind the balancer.
type fakeEntry struct {
	info     structs.EntryInfo
	balancer *httptest.Server

	mu        sync.Mutex
	announced []structs.AnnounceRequest
}

// EntryRPC is the net/rpc receiver of a fakeEntry.
type EntryRPC struct{ entry *fakeEntry }

func (r *EntryRPC) Announce(req *structs.AnnounceRequest, reply *structs.AnnounceReply) error {
	r.entry.mu.Lock()
	defer r.entry.mu.Unlock()
	r.entry.announced = append(r.entry.announced, *req)
	reply.Entries = []structs.EntryInfo{r.entry.info}
	return nil
}

func startEntry(t testing.TB, id structs.Incarnation) *fakeEntry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f := &fakeEntry{info: structs.EntryInfo{Name: "e", Incarnation: id, RPCAddr: l.Addr().String()}}
	srv := rpc.NewServer()
	NewWithT(t).Expect(srv.RegisterName(structs.EntryService, &EntryRPC{f})).To(Succeed())
	go srv.Accept(l)
	e := echo.New()
	e.GET("/v1/entries", func(c echo.Context) error {
		return c.JSON(http.StatusOK, []structs.EntryInfo{f.info})
	})
	f.balancer = httptest.NewServer(e)
	t.Cleanup(func() {
		l.Close()
		f.balancer.Close()
	})
	return f
}

func (f *fakeEntry) announcements() []structs.AnnounceRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]structs.AnnounceRequest(nil), f.announced...)
}

// harness runs an agent with a fake entry and a stand-in backend server.
type harness struct {
	agent   *agent.Agent
	entry   *fakeEntry
	backend *backend.Server
	stop    context.CancelFunc
	stopped chan error
}

func startHarness(t testing.TB, configure func(*agent.Options)) *harness {
	t.Helper()
	g := NewWithT(t)
	opts := backend.DefaultOptions()
	opts.Work = time.Millisecond
	b, err := backend.New(opts)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { b.Close() })
	s := &harness{entry: startEntry(t, homeID), backend: b, stopped: make(chan error, 1)}
	ao := agentOptions(s.entry.balancer.URL, b.URL())
	if configure != nil {
		configure(&ao)
	}
	s.agent, err = agent.New(ao, log.NewNopLogger())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.stopped <- s.agent.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

func agentOptions(balancer, backendURL string) agent.Options {
	opts := agent.DefaultOptions()
	opts.Name = "a1"
	opts.Service = "faq"
	opts.Team = "kilimo"
	opts.Zone = "z1"
	opts.RPCAddr = "127.0.0.1:0"
	opts.HTTPAddr = "127.0.0.1:0"
	opts.BackendURL = backendURL
	opts.BalancerURL = balancer
	opts.Slots = 8
	opts.StopLinger = settings.Duration(10 * time.Millisecond)
	return opts
}

// dial opens a connection to the agent, as an entry does.
func (s *harness) dial(t testing.TB) *rpc.Client {
	t.Helper()
	c, err := rpc.Dial("tcp", s.agent.RPCAddr())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { c.Close() })
	return c
}

func taskID(seq uint64, index int) structs.TaskID {
	return structs.TaskID{Job: structs.JobID{Home: homeID, Seq: seq}, Index: index}
}

func (s *harness) runRequest(id structs.TaskID, payload string) *structs.RunRequest {
	return newRunRequest(s.agent.Incarnation(), id, payload)
}

func newRunRequest(agent structs.Incarnation, id structs.TaskID, payload string) *structs.RunRequest {
	return &structs.RunRequest{
		Agent:   agent,
		Task:    id,
		Attempt: 1,
		Spec:    structs.TaskSpec{Kind: "preview", ContentType: "application/json", Payload: []byte(payload)},
		Service: "faq",
		Team:    "shop",
		Timeout: 10 * time.Second,
	}
}
