package keyedlog_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/keyedlog"
)

// store is silent until it is back, and then has one record. Calls that were
// made while it was silent are never answered.
type store struct {
	mu   sync.Mutex
	back bool
	gone bool // records before offset 5 were dropped
}

func (s *store) state() (back, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.back, s.gone
}

func (s *store) Newest(ctx context.Context, _ string) ([]keyedlog.Record, int64, error) {
	if _, gone := s.state(); gone {
		return []keyedlog.Record{{Key: "k", Value: []byte("newest"), Offset: 6}}, 7, nil
	}
	return nil, 0, nil
}

func (s *store) Read(ctx context.Context, _ string, from int64, wait time.Duration) ([]keyedlog.Record, int64, error) {
	back, gone := s.state()
	if !back {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if gone && from < 5 {
		return nil, 0, keyedlog.ErrTruncated
	}
	if from == 0 {
		return []keyedlog.Record{{Key: "k", Value: []byte("v")}}, 1, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, from, ctx.Err()
}

func (s *store) Append(context.Context, string, keyedlog.Record) error { return errors.New("not here") }

type handler struct {
	read     chan keyedlog.Record
	lost     chan struct{}
	regained chan struct{}
}

func newHandler() *handler {
	return &handler{read: make(chan keyedlog.Record, 10), lost: make(chan struct{}, 10), regained: make(chan struct{}, 10)}
}

func (h *handler) HandleRecords(list []keyedlog.Record) {
	for _, r := range list {
		h.read <- r
	}
}
func (h *handler) StoreUnavailable(error) { h.lost <- struct{}{} }
func (h *handler) StoreAvailable()  { h.regained <- struct{}{} }

// What is written when the store is back after a long silence is known within
// the two seconds in which a configuration must be in force.
func TestRecordAfterALongSilenceIsReadSoon(t *testing.T) {
	g := NewWithT(t)
	s, h := &store{}, newHandler()
	go keyedlog.Follow(t.Context(), s, "topic", h)
	g.Eventually(h.lost, "5s").Should(Receive())
	time.Sleep(7 * time.Second) // timeouts have grown as far as they do
	s.mu.Lock()
	s.back = true
	s.mu.Unlock()
	g.Eventually(h.read, "2s").Should(Receive())
	g.Expect(h.regained).To(Receive())
}

func TestDroppedRecordsAreReadAsNewest(t *testing.T) {
	g := NewWithT(t)
	s, h := &store{back: true, gone: true}, newHandler()
	go keyedlog.Follow(t.Context(), s, "topic", h)
	g.Eventually(h.read, "5s").Should(Receive(HaveField("Value", []byte("newest"))))
}
