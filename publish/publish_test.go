package publish_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/follow"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/publish"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const testTimeout = 30 * time.Second

// operator is one entry's follower and publisher.
type operator struct {
	*publish.Publisher
	follower *follow.Follower
}

func newOperator(t *testing.T, ctx context.Context, url string) operator {
	t.Helper()
	g := NewWithT(t)
	client, err := platformlog.NewClient(url, 300*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	return newOperatorOn(t, ctx, client)
}

func newOperatorOn(t *testing.T, ctx context.Context, client platformlog.Log) operator {
	t.Helper()
	g := NewWithT(t)
	f, err := follow.New(follow.Options{Log: client, PollInterval: 10 * time.Millisecond})
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
	return operator{Publisher: publish.New(client, f, log.NewNopLogger()), follower: f}
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

func edit(id string, base uint64, text string) fold.Edit {
	return fold.Edit{ID: id, Service: "booking", Base: base, Text: "service = 'booking'\nowner = 'booking-team'\n" + text}
}

func TestPublishReturnsTheRecord(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newOperator(t, ctx, srv.URL())
	rec, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rec.Revision).To(Equal(uint64(1)))
	again, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(rec))
}

func TestLostAnswerIsFoundAgain(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newOperator(t, ctx, srv.URL())
	srv.SetFaults(logserver.Faults{DropNextReplies: 1})
	rec, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rec.Revision).To(Equal(uint64(1)))
	_, next := srv.Bounds()
	g.Expect(next).To(Equal(uint64(1)), "the edit was appended once")
}

// deafLog loses the answer of every append, and what reading brings.
type deafLog struct {
	platformlog.Log
	deaf atomic.Bool
}

var errLost = errors.New("lost")

func (l *deafLog) Append(ctx context.Context, data []byte) (uint64, error) {
	offset, err := l.Log.Append(ctx, data)
	if l.deaf.Load() {
		return 0, errLost
	}
	return offset, err
}

func (l *deafLog) Read(ctx context.Context, offset uint64, max int) ([]platformlog.Record, error) {
	if l.deaf.Load() {
		return nil, nil // as if nothing had been appended
	}
	return l.Log.Read(ctx, offset, max)
}

// TestUnknownOutcomeIsSaidAndFoundByTheSameID: an edit that can neither be
// confirmed nor ruled out is said to be so; published again, it takes effect
// once.
func TestUnknownOutcomeIsSaidAndFoundByTheSameID(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	client, err := platformlog.NewClient(srv.URL(), time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	l := &deafLog{Log: client}
	p := newOperatorOn(t, ctx, l)
	l.deaf.Store(true)
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, err = p.Publish(short, edit("a", 0, ""))
	var e *structs.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Verdict).To(Equal(structs.MayHaveRun))
	l.deaf.Store(false)
	rec, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rec.Revision).To(Equal(uint64(1)))
	rec, err = p.Publish(ctx, edit("b", 1, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rec.Revision).To(Equal(uint64(2)), "the first edit took effect once")
}

// TestUnreachableLogIsRefusedAtOnce: nothing was appended, and the operator is
// told so without waiting.
func TestUnreachableLogIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newOperator(t, ctx, srv.URL())
	srv.SetFaults(logserver.Faults{Down: true})
	g.Eventually(p.follower.LogError).WithTimeout(testTimeout).ShouldNot(BeEmpty())
	_, err := p.Publish(ctx, edit("a", 0, ""))
	var e *structs.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Code).To(Equal(structs.CodeUnavailable))
	g.Expect(e.Verdict).To(Equal(structs.NotRun))
	g.Expect(e.RetryAfter).To(BeNumerically(">", 0))
}

// TestEditIDOfAnotherEditIsRefused: an id stands for one content only.
func TestEditIDOfAnotherEditIsRefused(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newOperator(t, ctx, srv.URL())
	_, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.Publish(ctx, edit("a", 1, "[limits]\nqueue = 3\n"))
	g.Expect(err).To(MatchError(ContainSubstring("another edit")))
}

func TestRollbackIsANewRevision(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p := newOperator(t, ctx, srv.URL())
	first, err := p.Publish(ctx, edit("a", 0, ""))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.Publish(ctx, edit("b", 1, "[limits]\nqueue = 3\n"))
	g.Expect(err).NotTo(HaveOccurred())
	rec, err := p.Rollback(ctx, "c", "booking", 2, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rec.Revision).To(Equal(uint64(3)))
	g.Expect(rec.Text).To(Equal(first.Text))
}

func TestRacingOperatorsGetOneWinner(t *testing.T) {
	g := NewWithT(t)
	ctx, srv := startLog(t)
	p, q := newOperator(t, ctx, srv.URL()), newOperator(t, ctx, srv.URL())
	won, err := p.Publish(ctx, edit("a", 0, "[limits]\nqueue = 3\n"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = q.Publish(ctx, edit("b", 0, "[limits]\nqueue = 4\n"))
	var conflict *publish.ConflictError
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
	g.Expect(conflict.Winner).To(Equal(won))
	g.Expect(conflict.Change).To(ContainSubstring("+queue = 3"))
	var e *structs.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Verdict).To(Equal(structs.NotRun))
}
