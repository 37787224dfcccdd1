package idempotency

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// slowLog keeps records in memory. A read takes some time, unless its context ends.
type slowLog struct {
	readTime time.Duration

	mu      sync.Mutex
	records [][]byte
}

func (l *slowLog) Append(_ context.Context, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	return uint64(len(l.records) - 1), nil
}

func (l *slowLog) Read(ctx context.Context, offset uint64, _ int) ([]platformlog.Record, error) {
	select {
	case <-time.After(l.readTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []platformlog.Record
	for i, data := range l.records[offset:] {
		records = append(records, platformlog.Record{Offset: offset + uint64(i), Data: data})
	}
	return records, nil
}

func (l *slowLog) Bounds(context.Context) (earliest, next uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 0, uint64(len(l.records)), nil
}

// Guards against keys that are never bound because a read of the stream was given up
// after a fixed time, over a slow link, and started again from the same offset.
func TestKeyIsBoundWhenReadsAreSlow(t *testing.T) {
	g := NewWithT(t)
	b := NewBinder(&slowLog{readTime: 2500 * time.Millisecond}, log.NewNopLogger())
	go b.Run(t.Context())
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	job := structs.JobID{Home: 3, Seq: 1}
	bound, err := b.Bind(ctx, keyAt(time.Now().UnixMilli(), 1), job)
	g.Expect(err).To(BeNil())
	g.Expect(bound).To(Equal(job))
}

// An entry whose clock runs ahead accepts a key that this one refuses, so the job may
// have run.
func TestKeyAheadOfClockMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	b := NewBinder(&slowLog{}, log.NewNopLogger())
	_, err := b.Bind(t.Context(), keyAt(time.Now().Add(2*maxClockLead).UnixMilli(), 1), structs.JobID{Home: 3, Seq: 1})
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Code).To(Equal(structs.CodeInvalid))
	g.Expect(err.Verdict).To(Equal(structs.MayHaveRun))
}
