package publish_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/logfollower"
	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/publish"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const testTimeout = 30 * time.Second

// publisher is a Publisher with the Follower that it reads back through, as in
// one entry.
type publisher struct {
	*publish.Publisher
	follower *logfollower.Follower
}

func newPublisher(t *testing.T, ctx context.Context, url string) publisher {
	t.Helper()
	g := NewWithT(t)
	client, err := platformlog.NewClient(url, 300*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	return newPublisherWithLog(t, ctx, client)
}

func newPublisherWithLog(t *testing.T, ctx context.Context, client platformlog.Log) publisher {
	t.Helper()
	g := NewWithT(t)
	f, err := logfollower.New(logfollower.Options{Log: client, PollInterval: 10 * time.Millisecond})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	g.Eventually(f.Ready).WithTimeout(testTimeout).Should(Succeed())
	return publisher{Publisher: publish.New(client, f, log.NewNopLogger()), follower: f}
}

func startLog(t *testing.T) (context.Context, *logserver.Server) {
	t.Helper()
	srv, err := logserver.Start("127.0.0.1:0", logserver.Faults{})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { srv.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx, srv
}

func edit(id string, base uint64, text string) logstate.Edit {
	return logstate.Edit{ID: id, Service: "booking", Base: base, Text: "service = 'booking'\nowner = 'booking-team'\n" + text}
}

func TestPublishIsIdempotent(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newPublisher(t, ctx, srv.URL())
	rec, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rec.Revision).To(Equal(uint64(1)))
	again, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(rec))
}

// TestLostAppendReplyIsReadBack: an edit whose append reply was lost is found by
// reading the log, without a second append.
func TestLostAppendReplyIsReadBack(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newPublisher(t, ctx, srv.URL())
	srv.SetFaults(logserver.Faults{DropNextReplies: 1})
	rec, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rec.Revision).To(Equal(uint64(1)))
	_, next := srv.Bounds()
	g.Expect(next).To(Equal(uint64(1)), "the edit was appended once")
}

// oneWayLog, while repliesLost is set, appends but loses the replies, and reads
// no records.
type oneWayLog struct {
	platformlog.Log
	repliesLost atomic.Bool
}

var errReplyLost = errors.New("reply lost")

func (l *oneWayLog) Append(ctx context.Context, data []byte) (uint64, error) {
	offset, err := l.Log.Append(ctx, data)
	if l.repliesLost.Load() {
		return 0, errReplyLost
	}
	return offset, err
}

func (l *oneWayLog) Read(ctx context.Context, offset uint64, max int) ([]platformlog.Record, error) {
	records, err := l.Log.Read(ctx, offset, max)
	// Checked after the read: one that was in flight when repliesLost was set may
	// contain a record appended since.
	if l.repliesLost.Load() {
		return nil, nil // as if nothing had been appended
	}
	return records, err
}

// TestEditInDoubtIsResolvedBySameID: an edit that was appended but neither
// acknowledged nor read back is reported as in doubt (MayHaveRun). Publishing it
// again under the same id finds its outcome, and it takes effect once.
func TestEditInDoubtIsResolvedBySameID(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	client, err := platformlog.NewClient(srv.URL(), time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	l := &oneWayLog{Log: client}
	p := newPublisherWithLog(t, ctx, l)
	l.repliesLost.Store(true)
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, err = p.Publish(short, edit("a", 0, ""))
	var e *structs.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Verdict).To(Equal(structs.MayHaveRun))
	l.repliesLost.Store(false)
	rec, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rec.Revision).To(Equal(uint64(1)))
	rec, err = p.Publish(ctx, edit("b", 1, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rec.Revision).To(Equal(uint64(2)), "the edit in doubt took effect once")
}

// TestPublishFailsFastWithoutLog: while the log is unreachable, Publish must
// report at once that the edit was not appended.
func TestPublishFailsFastWithoutLog(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newPublisher(t, ctx, srv.URL())
	srv.SetFaults(logserver.Faults{Down: true})
	g.Eventually(p.follower.LogError).WithTimeout(testTimeout).ShouldNot(BeEmpty())
	_, err := p.Publish(ctx, edit("a", 0, ""))
	var e *structs.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Code).To(Equal(structs.CodeUnavailable))
	g.Expect(e.Verdict).To(Equal(structs.NotRun))
	g.Expect(e.RetryAfter).To(BeNumerically(">", 0))
}

// TestEditIDReuseIsRejected: an edit id must not be used again for an edit with
// other content.
func TestEditIDReuseIsRejected(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newPublisher(t, ctx, srv.URL())
	_, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.Publish(ctx, edit("a", 1, "[limits]\nqueue = 3\n"))
	g.Expect(err).To(MatchError(ContainSubstring("another edit")))
}

func TestRollbackCreatesNewRevision(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newPublisher(t, ctx, srv.URL())
	first, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.Publish(ctx, edit("b", 1, "[limits]\nqueue = 3\n"))
	g.Expect(err).NotTo(HaveOccurred())
	rec, err := p.Rollback(ctx, "c", "booking", 2, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rec.Revision).To(Equal(uint64(3)))
	g.Expect(rec.Text).To(Equal(first.Text))
}

// TestConcurrentEditsConflict: of two edits with the same base, the second fails
// with a ConflictError that names the first and its change.
func TestConcurrentEditsConflict(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p, q := newPublisher(t, ctx, srv.URL()), newPublisher(t, ctx, srv.URL())
	winner, err := p.Publish(ctx, edit("a", 0, "[limits]\nqueue = 3\n"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = q.Publish(ctx, edit("b", 0, "[limits]\nqueue = 4\n"))
	var conflict *publish.ConflictError
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
	g.Expect(conflict.Winner).To(Equal(winner))
	g.Expect(conflict.Change).To(ContainSubstring("+queue = 3"))
	var e *structs.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Verdict).To(Equal(structs.NotRun))
}

// evictOutcomes publishes further edits of a service, with the given revision in force,
// until the outcomes of earlier edits are no longer kept.
func evictOutcomes(ctx context.Context, g *WithT, p publisher, service string, revision uint64) {
	for i := range uint64(logstate.MaxOutcomes) {
		e := edit(fmt.Sprintf("%s-%d", service, i), revision+i, "")
		e.Service, e.Text = service, strings.Replace(e.Text, "booking'", service+"'", 1)
		_, err := p.Publish(ctx, e)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// An accepted edit that is published again long after is not a conflict with itself.
func TestAcceptedEditIsRecognizedWithoutItsOutcome(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newPublisher(t, ctx, srv.URL())
	rec, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	evictOutcomes(ctx, g, p, "other", 0)
	again, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(rec))

	_, err = p.Publish(ctx, edit("b", 0, ""))
	var e *structs.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Verdict).To(Equal(structs.NotRun), "another edit created the revision")
}

// Once neither the outcome of an edit nor the revision after its base is kept, nobody
// knows whether the edit was accepted.
func TestConflictOfForgottenEditIsNotCalledNotRun(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newPublisher(t, ctx, srv.URL())
	_, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	evictOutcomes(ctx, g, p, "booking", 1)
	_, err = p.Publish(ctx, edit("a", 0, ""))
	var e *structs.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Code).To(Equal(structs.CodeConflict))
	g.Expect(e.Verdict).To(Equal(structs.MayHaveRun))
}
