package logfollower_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/logfollower"
	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const testTimeout = 30 * time.Second

var errDisconnected = errors.New("disconnected from the log")

// disconnectableLog is one process's connection to the log, which a test can
// interrupt.
type disconnectableLog struct {
	platformlog.Log
	disconnected atomic.Bool
}

func (l *disconnectableLog) Append(ctx context.Context, data []byte) (uint64, error) {
	if l.disconnected.Load() {
		return 0, errDisconnected
	}
	return l.Log.Append(ctx, data)
}

func (l *disconnectableLog) Read(ctx context.Context, offset uint64, max int) ([]platformlog.Record, error) {
	if l.disconnected.Load() {
		return nil, errDisconnected
	}
	return l.Log.Read(ctx, offset, max)
}

func (l *disconnectableLog) Bounds(ctx context.Context) (uint64, uint64, error) {
	if l.disconnected.Load() {
		return 0, 0, errDisconnected
	}
	return l.Log.Bounds(ctx)
}

// process is a Follower with what its callbacks have received.
type process struct {
	*logfollower.Follower
	log *disconnectableLog

	mu        sync.Mutex
	revisions []uint64
	entries   []string
}

func (p *process) onDocument(rec structs.DocumentRecord, _ *document.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revisions = append(p.revisions, rec.Revision)
}

func (p *process) onEntries(list []structs.EntryInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = nil
	for _, e := range list {
		p.entries = append(p.entries, e.Name)
	}
}

func (p *process) listed() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.entries)
}

// revision returns the last revision put in force, zero if none, and checks
// that revisions have only increased.
func (p *process) revision(g *WithT) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(slices.IsSorted(p.revisions)).To(BeTrue(), "revisions put in force: %v", p.revisions)
	if len(p.revisions) == 0 {
		return 0
	}
	return p.revisions[len(p.revisions)-1]
}

// harness runs Followers against one log server.
type harness struct {
	g   *WithT
	t   *testing.T
	srv *logserver.Server
}

func newHarness(t *testing.T) *harness {
	g := NewWithT(t)
	srv, err := logserver.Start("127.0.0.1:0", logserver.Faults{})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { srv.Close() })
	return &harness{g: g, t: t, srv: srv}
}

// start runs a Follower until the test ends. Peer, from which the Follower
// fetches the state when it cannot follow the log, may be nil.
func (h *harness) start(name string, incarnation structs.Incarnation, peer *process) *process {
	client, err := platformlog.NewClient(h.srv.URL(), time.Second)
	h.g.Expect(err).NotTo(HaveOccurred())
	p := &process{log: &disconnectableLog{Log: client}}
	opts := logfollower.Options{
		Log:          p.log,
		Self:         structs.EntryInfo{Name: name, Incarnation: incarnation},
		OnDocument:   p.onDocument,
		OnEntries:    p.onEntries,
		PollInterval: 10 * time.Millisecond,
		PeerInterval: 20 * time.Millisecond,
	}
	if peer != nil {
		opts.FetchPeerState = func(context.Context) ([]byte, error) { return peer.State().Encode(), nil }
	}
	p.Follower, err = logfollower.New(opts)
	h.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	h.t.Cleanup(func() {
		cancel()
		<-done
	})
	return p
}

// edit appends an edit of the service booking.
func (h *harness) edit(base uint64) {
	text := fmt.Sprintf("service = 'booking'\nowner = 'himalaya'\n[limits]\nqueue = %d\n", base)
	h.append(logstate.Record{Type: logstate.TypeEdit, Edit: &logstate.Edit{ID: fmt.Sprintf("e%d", base), Service: "booking", Base: base, Text: text}})
}

func (h *harness) append(r logstate.Record) {
	data, err := logstate.EncodeRecord(r)
	h.g.Expect(err).NotTo(HaveOccurred())
	h.srv.Append(data)
}

// disconnect interrupts a process's connection to the log and waits until no
// earlier read is in flight.
func (h *harness) disconnect(p *process) {
	h.t.Helper()
	p.log.disconnected.Store(true)
	h.g.Eventually(p.LogError, testTimeout).Should(Equal(errDisconnected.Error()))
}

// expectRevision waits until a process has put the revision in force.
func (h *harness) expectRevision(p *process, revision uint64) {
	h.t.Helper()
	h.g.Eventually(func() uint64 { return p.revision(h.g) }, testTimeout, 10*time.Millisecond).Should(Equal(revision))
}

func TestFollowersAgreeAndListEachOther(t *testing.T) {
	h := newHarness(t)
	a, b := h.start("entry-a", 1, nil), h.start("entry-b", 2, nil)
	h.edit(0)
	for _, p := range []*process{a, b} {
		h.expectRevision(p, 1)
		h.g.Eventually(p.listed, testTimeout).Should(Equal([]string{"entry-a", "entry-b"}))
		h.g.Expect(p.Ready()).To(Succeed())
	}
	h.g.Expect(a.Leave(context.Background())).To(Succeed())
	h.g.Eventually(b.listed, testTimeout).Should(Equal([]string{"entry-b"}))
	h.g.Eventually(func() bool { return string(a.State().Encode()) == string(b.State().Encode()) }, testTimeout).Should(BeTrue())
}

// TestLogOutage: while the log is down, a running process stays ready, a newly
// started one becomes ready from a peer's state, and one without a peer does
// not become ready. All follow the log again once it is back.
func TestLogOutage(t *testing.T) {
	h := newHarness(t)
	running := h.start("entry-a", 1, nil)
	h.edit(0)
	h.expectRevision(running, 1)
	h.g.Eventually(running.Ready, testTimeout).Should(Succeed())
	h.srv.SetFaults(logserver.Faults{Down: true})

	withoutPeer := h.start("entry-b", 2, nil)
	h.g.Eventually(func() error { return withoutPeer.Ready() }, testTimeout).Should(MatchError(ContainSubstring("no service documents")))
	withPeer := h.start("entry-c", 3, running)
	h.expectRevision(withPeer, 1)
	h.g.Expect(withPeer.Ready()).To(Succeed())
	h.g.Eventually(running.LogError, testTimeout).ShouldNot(BeEmpty())
	h.g.Expect(running.Ready()).To(Succeed(), "stays ready with the documents it has")
	h.g.Expect(withoutPeer.Ready()).NotTo(Succeed())

	h.srv.SetFaults(logserver.Faults{})
	h.edit(1)
	for _, p := range []*process{running, withoutPeer, withPeer} {
		h.expectRevision(p, 2)
	}
}

// TestDisconnectedProcessFollowsPeers: a process that alone cannot reach the log
// keeps up through its peer's state and revisions offered to it, and goes on
// from the log once it is connected again.
func TestDisconnectedProcessFollowsPeers(t *testing.T) {
	h := newHarness(t)
	peer := h.start("entry-a", 1, nil)
	disconnected := h.start("entry-b", 2, peer)
	h.edit(0)
	h.expectRevision(disconnected, 1)
	h.disconnect(disconnected)
	h.edit(1)
	h.expectRevision(disconnected, 2)
	h.g.Expect(disconnected.LogError()).To(Equal(errDisconnected.Error()))
	rec, _ := peer.InForce("booking")
	rec.Revision = 3 // as from an agent that received it from another entry
	disconnected.OfferRevision(rec)
	h.expectRevision(disconnected, 3)
	disconnected.log.disconnected.Store(false)
	h.g.Eventually(disconnected.LogError, testTimeout).Should(BeEmpty())
	h.edit(2)
	h.edit(3)
	h.expectRevision(disconnected, 4)
}

// TestTruncationPastDisconnectedProcess: if the log truncates records that a
// process has not read, the process must keep its state rather than skip them,
// until it reads a checkpoint that covers them. A checkpoint that was appended
// late and covers less must not be used.
func TestTruncationPastDisconnectedProcess(t *testing.T) {
	h := newHarness(t)
	running := h.start("entry-a", 1, nil)
	behind := h.start("entry-b", 2, nil)
	h.edit(0)
	h.expectRevision(running, 1)
	h.expectRevision(behind, 1)
	stale := running.State().CheckpointRecord()
	h.disconnect(behind)
	for base := range uint64(6) {
		h.edit(base + 1)
	}
	h.expectRevision(running, 7)
	complete := running.State().CheckpointRecord()
	h.disconnect(running) // so that it appends no checkpoint of its own
	h.srv.SetFaults(logserver.Faults{KeepRecords: 3})
	h.append(stale) // as by a process that was paused
	behind.log.disconnected.Store(false)
	h.g.Eventually(behind.LogError, testTimeout).Should(ContainSubstring("no usable checkpoint"))
	h.g.Expect(behind.revision(h.g)).To(Equal(uint64(1)))
	newcomer := h.start("entry-c", 3, nil)
	h.g.Eventually(func() error { return newcomer.Ready() }, testTimeout).Should(MatchError(ContainSubstring("no usable checkpoint")))

	h.append(complete)
	h.expectRevision(behind, 7)
	h.expectRevision(newcomer, 7)
}

// TestRefusedTextKeepsEarlierRevision: an edit whose text this program cannot
// parse is accepted on the log like any other, but must not be put in force
// here.
func TestRefusedTextKeepsEarlierRevision(t *testing.T) {
	h := newHarness(t)
	p := h.start("entry-a", 1, nil)
	h.edit(0)
	h.expectRevision(p, 1)
	h.append(logstate.Record{Type: logstate.TypeEdit, Edit: &logstate.Edit{ID: "newer", Service: "booking", Base: 1, Text: "service = 3"}})
	h.g.Eventually(p.Refused, testTimeout).Should(HaveKey("booking"))
	h.g.Expect(p.Refused()["booking"].Reason).To(ContainSubstring("line 1"))
	h.g.Expect(p.revision(h.g)).To(Equal(uint64(1)))
	h.edit(2)
	h.expectRevision(p, 3)
	h.g.Expect(p.Refused()).To(BeEmpty())
}
