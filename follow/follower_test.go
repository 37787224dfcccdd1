package follow_test

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
	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/follow"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const patience = 30 * time.Second

var errCut = errors.New("cut off")

// cutLog is a log that one process can be cut off from.
type cutLog struct {
	platformlog.Log
	cut atomic.Bool
}

func (l *cutLog) Append(ctx context.Context, data []byte) (uint64, error) {
	if l.cut.Load() {
		return 0, errCut
	}
	return l.Log.Append(ctx, data)
}

func (l *cutLog) Read(ctx context.Context, offset uint64, max int) ([]platformlog.Record, error) {
	if l.cut.Load() {
		return nil, errCut
	}
	return l.Log.Read(ctx, offset, max)
}

func (l *cutLog) Bounds(ctx context.Context) (uint64, uint64, error) {
	if l.cut.Load() {
		return 0, 0, errCut
	}
	return l.Log.Bounds(ctx)
}

// reader is one process with what it was told.
type reader struct {
	*follow.Follower
	log *cutLog

	mu        sync.Mutex
	revisions []uint64
	entries   []string
}

func (r *reader) onDocument(rec structs.DocumentRecord, _ *document.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revisions = append(r.revisions, rec.Revision)
}

func (r *reader) onEntries(list []structs.EntryInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = nil
	for _, e := range list {
		r.entries = append(r.entries, e.Name)
	}
}

func (r *reader) listed() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// revision returns the one in force and checks that it never went back.
func (r *reader) revision(g *WithT) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	g.Expect(slices.IsSorted(r.revisions)).To(BeTrue(), "revisions in force: %v", r.revisions)
	if len(r.revisions) == 0 {
		return 0
	}
	return r.revisions[len(r.revisions)-1]
}

type site struct {
	g   *WithT
	t   *testing.T
	srv *logserver.Server
}

func newSite(t *testing.T) *site {
	g := NewWithT(t)
	srv, err := logserver.Start("127.0.0.1:0", logserver.Faults{})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { srv.Close() })
	return &site{g: g, t: t, srv: srv}
}

// start runs a follower until the test ends. Peer may be nil.
func (s *site) start(name string, run structs.Incarnation, peer *reader) *reader {
	client, err := platformlog.NewClient(s.srv.URL(), time.Second)
	s.g.Expect(err).NotTo(HaveOccurred())
	r := &reader{log: &cutLog{Log: client}}
	opts := follow.Options{
		Log:          r.log,
		Self:         structs.EntryInfo{Name: name, Incarnation: run},
		OnDocument:   r.onDocument,
		OnEntries:    r.onEntries,
		PollInterval: 10 * time.Millisecond,
		PeerInterval: 20 * time.Millisecond,
	}
	if peer != nil {
		opts.FetchPeerState = func(context.Context) ([]byte, error) { return peer.State().Encode(), nil }
	}
	r.Follower, err = follow.New(opts)
	s.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

func (s *site) edit(base uint64) {
	text := fmt.Sprintf("service = 'booking'\nowner = 'himalaya'\n[limits]\nqueue = %d\n", base)
	s.append(fold.Record{Type: fold.TypeEdit, Edit: &fold.Edit{ID: fmt.Sprintf("e%d", base), Service: "booking", Base: base, Text: text}})
}

func (s *site) append(r fold.Record) {
	data, err := fold.EncodeRecord(r)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.srv.Append(data)
}

// cut cuts a follower off from the log; no read of it is under way after.
func (s *site) cut(r *reader) {
	s.t.Helper()
	r.log.cut.Store(true)
	s.g.Eventually(r.LogError, patience).Should(Equal(errCut.Error()))
}

func (s *site) reaches(r *reader, revision uint64) {
	s.t.Helper()
	s.g.Eventually(func() uint64 { return r.revision(s.g) }, patience, 10*time.Millisecond).Should(Equal(revision))
}

func TestFollowersAgreeAndListEachOther(t *testing.T) {
	s := newSite(t)
	a, b := s.start("entry-a", 1, nil), s.start("entry-b", 2, nil)
	s.edit(0)
	for _, r := range []*reader{a, b} {
		s.reaches(r, 1)
		s.g.Eventually(r.listed, patience).Should(Equal([]string{"entry-a", "entry-b"}))
		s.g.Expect(r.Ready()).To(Succeed())
	}
	s.g.Expect(a.Leave(context.Background())).To(Succeed())
	s.g.Eventually(b.listed, patience).Should(Equal([]string{"entry-b"}))
	s.g.Eventually(func() bool { return string(a.State().Encode()) == string(b.State().Encode()) }, patience).Should(BeTrue())
}

func TestOutage(t *testing.T) {
	s := newSite(t)
	old := s.start("entry-a", 1, nil)
	s.edit(0)
	s.reaches(old, 1)
	s.g.Eventually(old.Ready, patience).Should(Succeed())
	s.srv.SetFaults(logserver.Faults{Down: true})

	alone := s.start("entry-b", 2, nil)
	s.g.Eventually(func() error { return alone.Ready() }, patience).Should(MatchError(ContainSubstring("no service documents")))
	newcomer := s.start("entry-c", 3, old)
	s.reaches(newcomer, 1)
	s.g.Expect(newcomer.Ready()).To(Succeed())
	s.g.Eventually(old.LogError, patience).ShouldNot(BeEmpty())
	s.g.Expect(old.Ready()).To(Succeed(), "it goes on with what it knows")
	s.g.Expect(alone.Ready()).NotTo(Succeed())

	s.srv.SetFaults(logserver.Faults{})
	s.edit(1)
	for _, r := range []*reader{old, alone, newcomer} {
		s.reaches(r, 2)
	}
}

func TestProcessCutFromTheLogFollowsItsPeers(t *testing.T) {
	s := newSite(t)
	peer := s.start("entry-a", 1, nil)
	cut := s.start("entry-b", 2, peer)
	s.edit(0)
	s.reaches(cut, 1)
	s.cut(cut)
	s.edit(1)
	s.reaches(cut, 2)
	s.g.Expect(cut.LogError()).To(Equal(errCut.Error()))
	rec, _ := peer.InForce("booking")
	rec.Revision = 3 // as an agent tells it that got it elsewhere
	cut.OfferRevision(rec)
	s.reaches(cut, 3)
	cut.log.cut.Store(false)
	s.g.Eventually(cut.LogError, patience).Should(BeEmpty())
	s.edit(2)
	s.edit(3)
	s.reaches(cut, 4)
}

// TestRetentionPassesAFrozenProcess: it stands still rather than skip records,
// until a checkpoint closes the gap.
func TestRetentionPassesAFrozenProcess(t *testing.T) {
	s := newSite(t)
	running := s.start("entry-a", 1, nil)
	frozen := s.start("entry-b", 2, nil)
	s.edit(0)
	s.reaches(running, 1)
	s.reaches(frozen, 1)
	stale := running.State().CheckpointRecord()
	s.cut(frozen)
	for base := range uint64(6) {
		s.edit(base + 1)
	}
	s.reaches(running, 7)
	whole := running.State().CheckpointRecord()
	s.cut(running) // so that it writes no checkpoint by itself
	s.srv.SetFaults(logserver.Faults{KeepRecords: 3})
	s.append(stale) // by a process that was paused
	frozen.log.cut.Store(false)
	s.g.Eventually(frozen.LogError, patience).Should(ContainSubstring("no usable checkpoint"))
	s.g.Expect(frozen.revision(s.g)).To(Equal(uint64(1)))
	newcomer := s.start("entry-c", 3, nil)
	s.g.Eventually(func() error { return newcomer.Ready() }, patience).Should(MatchError(ContainSubstring("no usable checkpoint")))

	s.append(whole)
	s.reaches(frozen, 7)
	s.reaches(newcomer, 7)
}

// TestRefusedTextKeepsTheFormerRevision: a text that this program cannot read
// is accepted by the fold like any other, but not put in force here.
func TestRefusedTextKeepsTheFormerRevision(t *testing.T) {
	s := newSite(t)
	r := s.start("entry-a", 1, nil)
	s.edit(0)
	s.reaches(r, 1)
	s.append(fold.Record{Type: fold.TypeEdit, Edit: &fold.Edit{ID: "newer", Service: "booking", Base: 1, Text: "service = 3"}})
	s.g.Eventually(r.Refused, patience).Should(HaveKey("booking"))
	s.g.Expect(r.Refused()["booking"].Reason).To(ContainSubstring("line 1"))
	s.g.Expect(r.revision(s.g)).To(Equal(uint64(1)))
	s.edit(2)
	s.reaches(r, 3)
	s.g.Expect(r.Refused()).To(BeEmpty())
}
