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

// store is a fake with one record. A Read that is called before the store is
// available never gets a reply; Newest always replies.
type store struct {
	mu        sync.Mutex
	available bool
	truncated bool // records before offset 5 are not retained
}

func (s *store) state() (available, truncated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available, s.truncated
}

func (s *store) Newest(context.Context, string, time.Duration) (keyedlog.Batch, error) {
	if _, truncated := s.state(); truncated {
		return keyedlog.Batch{Records: []keyedlog.Record{{Key: "k", Value: []byte("newest"), Offset: 6}}, Next: 7}, nil
	}
	return keyedlog.Batch{}, nil
}

func (s *store) Read(ctx context.Context, _ string, from int64, wait, idle time.Duration) (keyedlog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+idle)
	defer cancel()
	available, truncated := s.state()
	if !available {
		<-ctx.Done()
		return keyedlog.Batch{}, ctx.Err()
	}
	if truncated && from < 5 {
		return keyedlog.Batch{}, keyedlog.ErrTruncated
	}
	if from == 0 {
		return keyedlog.Batch{Records: []keyedlog.Record{{Key: "k", Value: []byte("v")}}, Next: 1}, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return keyedlog.Batch{Next: from}, ctx.Err()
}

func (s *store) Append(context.Context, string, keyedlog.Record) error { return errors.New("readonly") }

type handler struct {
	read        chan keyedlog.Record
	unavailable chan struct{}
	available   chan struct{}
}

func newHandler() *handler {
	return &handler{read: make(chan keyedlog.Record, 10), unavailable: make(chan struct{}, 10), available: make(chan struct{}, 10)}
}

func (h *handler) HandleBatch(b keyedlog.Batch) {
	records := b.Records
	for _, r := range records {
		h.read <- r
	}
}
func (h *handler) StoreUnavailable(error) { h.unavailable <- struct{}{} }
func (h *handler) StoreAvailable()        { h.available <- struct{}{} }

// A record written when the store is available again after a long outage has to be
// read within the two seconds in which a configuration must be in force. Timeouts
// that grow with the outage would delay it.
func TestRecordIsReadSoonAfterLongOutage(t *testing.T) {
	g := NewWithT(t)
	s, h := &store{}, newHandler()
	go keyedlog.Follow(t.Context(), s, "topic", 0, h)
	g.Eventually(h.unavailable, "5s").Should(Receive())
	time.Sleep(7 * time.Second) // timeouts have reached their maximum
	s.mu.Lock()
	s.available = true
	s.mu.Unlock()
	g.Eventually(h.read, "2s").Should(Receive())
	g.Expect(h.available).To(Receive())
}

func TestTruncatedReadContinuesWithNewestRecords(t *testing.T) {
	g := NewWithT(t)
	s, h := &store{available: true, truncated: true}, newHandler()
	go keyedlog.Follow(t.Context(), s, "topic", 0, h)
	g.Eventually(h.read, "5s").Should(Receive(HaveField("Value", []byte("newest"))))
}

// burstStore is a fake to which a record is written each millisecond.
type burstStore struct {
	start time.Time
	mu    sync.Mutex
	reads int
}

func (s *burstStore) Newest(context.Context, string, time.Duration) (keyedlog.Batch, error) {
	return keyedlog.Batch{}, nil
}

func (s *burstStore) Read(_ context.Context, _ string, from int64, _, _ time.Duration) (keyedlog.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	next := max(time.Since(s.start).Milliseconds(), from+1)
	return keyedlog.Batch{Records: make([]keyedlog.Record, next-from), Next: next}, nil
}

func (s *burstStore) Append(context.Context, string, keyedlog.Record) error {
	return errors.New("readonly")
}

// Batching: 160 agents that announced themselves together caused 160 reads by each of
// 35 entries.
func TestRecordsWrittenTogetherAreReadTogether(t *testing.T) {
	g := NewWithT(t)
	s := &burstStore{start: time.Now()}
	h := &handler{read: make(chan keyedlog.Record, 1000), unavailable: make(chan struct{}, 1), available: make(chan struct{}, 1)}
	const pause = 50 * time.Millisecond
	go keyedlog.Follow(t.Context(), s, "topic", pause, h)
	for range 200 {
		<-h.read
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Expect(s.reads).To(BeNumerically("<=", int(time.Since(s.start)/pause)+1))
}

// recordingStore is a fake that records its calls and fails those after the first two reads.
type recordingStore struct {
	mu      sync.Mutex
	newests int
	from    []int64
	waits   []time.Duration
}

func (s *recordingStore) Newest(context.Context, string, time.Duration) (keyedlog.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newests++
	return keyedlog.Batch{Next: 3}, nil
}

func (s *recordingStore) Read(_ context.Context, _ string, from int64, wait, _ time.Duration) (keyedlog.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.from, s.waits = append(s.from, from), append(s.waits, wait)
	if len(s.from) > 2 {
		return keyedlog.Batch{}, errors.New("status 503")
	}
	return keyedlog.Batch{Next: from + 1}, nil
}

func (s *recordingStore) Append(context.Context, string, keyedlog.Record) error {
	return errors.New("readonly")
}

// Guards against agents that read the whole topic, configuration included, each time that
// their entries are cut off, or that fill the store's limit of calls while it rejects them.
func TestSparingReaderBeginsAtItsOffsetAndCallsRarely(t *testing.T) {
	g := NewWithT(t)
	s, h := &recordingStore{}, newHandler()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	keyedlog.FollowSparingly(ctx, s, "topic", 5, h)
	g.Expect(s.newests).To(BeZero())
	g.Expect(s.from[:3]).To(Equal([]int64{5, 6, 7}))
	g.Expect(s.waits[0]).To(BeNumerically(">=", 2*time.Second))
	g.Expect(len(s.from)).To(BeNumerically("<=", 2+7), "failed calls: delays of 0.1, 0.2, 0.4, 0.8 s and at least 1 s each")
	g.Expect(h.unavailable).To(HaveLen(1))

	s, h = &recordingStore{}, newHandler()
	ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	keyedlog.FollowSparingly(ctx, s, "topic", 0, h)
	g.Expect(s.newests).To(Equal(1), "a reader that knows nothing needs a snapshot")
	g.Expect(s.from[0]).To(Equal(int64(3)))
}

// countingHandler counts the replies that it is passed.
type countingHandler struct {
	handler
	replies chan int // number of records of each
}

func (h *countingHandler) HandleBatch(b keyedlog.Batch) { h.replies <- len(b.Records) }

// Guards against readers that take a quiet topic for one that they do not hear.
func TestRepliesWithoutRecordsArePassedOn(t *testing.T) {
	g := NewWithT(t)
	h := &countingHandler{handler: *newHandler(), replies: make(chan int, 10)}
	go keyedlog.Follow(t.Context(), &recordingStore{}, "topic", 0, h)
	for range 3 {
		g.Eventually(h.replies, "3s").Should(Receive(BeZero()))
	}
}
