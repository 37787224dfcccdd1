package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// idAllocator allocates the sequence numbers of job identifiers and tracks
// which are still reserved. The sequences from 1 to next-1 have been allocated.
type idAllocator struct {
	next uint64
	// reserved holds the sequences that have been allocated and neither
	// submitted nor expired.
	reserved map[uint64]struct{}
	// reservations holds the allocated ranges, oldest first.
	reservations []idReservation
	// watermark is the sequence below which every job is settled.
	watermark uint64
}

type idReservation struct {
	first, last uint64
	at          time.Time
}

func newIDAllocator() idAllocator {
	return idAllocator{next: 1, watermark: 1, reserved: make(map[uint64]struct{})}
}

// allocate reserves count sequences and returns the first.
func (a *idAllocator) allocate(now time.Time, count int) uint64 {
	first := a.next
	a.next += uint64(count)
	for seq := first; seq < a.next; seq++ {
		a.reserved[seq] = struct{}{}
	}
	a.reservations = append(a.reservations, idReservation{first: first, last: a.next - 1, at: now})
	return first
}

// claim removes a sequence from the reserved ones, for a submission or a
// cancellation. It returns false if the sequence was never reserved, was
// claimed before or has expired.
func (a *idAllocator) claim(seq uint64) bool {
	if _, ok := a.reserved[seq]; !ok {
		return false
	}
	delete(a.reserved, seq)
	return true
}

// expire removes the reservations made before cutoff.
func (a *idAllocator) expire(cutoff time.Time) {
	for len(a.reservations) > 0 && a.reservations[0].at.Before(cutoff) {
		for seq := a.reservations[0].first; seq <= a.reservations[0].last; seq++ {
			delete(a.reserved, seq)
		}
		a.reservations = a.reservations[1:]
	}
}

// reserve allocates job identifiers for a caller.
func (c *Coordinator) reserve(e ReserveCalled) {
	if err := c.checkReserve(e.Count); err != nil {
		c.emit(ReplyIDs{Call: e.Call, Error: err})
		return
	}
	first := c.ids.allocate(c.now, e.Count)
	list := make([]structs.JobID, e.Count)
	for i := range list {
		list[i] = structs.JobID{Home: c.opts.Self.Incarnation, Seq: first + uint64(i)}
	}
	c.emit(ReplyIDs{Call: e.Call, IDs: list})
}

func (c *Coordinator) checkReserve(count int) *structs.Error {
	if count < 1 || count > c.opts.MaxIDsPerReservation {
		return structs.Errorf(structs.CodeInvalid, structs.NotRun, "cannot reserve %d job ids: want 1 to %d", count, c.opts.MaxIDsPerReservation)
	}
	if c.leaving {
		return c.leavingError()
	}
	if len(c.ids.reserved)+count > c.opts.MaxReservedIDs {
		return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "too many reserved job ids are not yet submitted").
			WithRetryAfter(c.opts.ReservationTTL)
	}
	return nil
}

// maxUnsubmittedRanges limits the size of the final report. A reserved sequence
// that the report leaves out counts as possibly submitted.
const maxUnsubmittedRanges = 1024

// unsubmitted returns the reserved sequences as ranges in ascending order, at
// most maxUnsubmittedRanges of them.
func (a *idAllocator) unsubmitted() []structs.SeqRange {
	var ranges []structs.SeqRange
	for _, seq := range slices.Sorted(maps.Keys(a.reserved)) {
		last := len(ranges) - 1
		if last >= 0 && ranges[last].Last+1 == seq {
			ranges[last].Last = seq
			continue
		}
		if len(ranges) == maxUnsubmittedRanges {
			break
		}
		ranges = append(ranges, structs.SeqRange{First: seq, Last: seq})
	}
	return ranges
}

// evictedAnswer is a final job whose answer has been evicted.
type evictedAnswer struct {
	seq     uint64
	finalAt time.Time
}

// watermarkCutoff returns the time by which a job must have been final for the watermark
// to pass it.
func (c *Coordinator) watermarkCutoff() time.Time { return c.now.Add(-c.opts.WatermarkLag) }

// advanceWatermark moves the watermark past sequences whose jobs are final. It
// never passes a sequence that may still be submitted or whose job is open. A
// final job holds it back for WatermarkLag, because another entry can recover
// the job as long as the agents keep their records of it. That holds also for a job
// whose answer is evicted earlier.
func (c *Coordinator) advanceWatermark() {
	cutoff := c.watermarkCutoff()
	limit := c.firstEvictedAfter(cutoff)
	for c.ids.watermark < limit {
		seq := c.ids.watermark
		if _, isReserved := c.ids.reserved[seq]; isReserved {
			return
		}
		if j := c.jobs[seq]; j != nil && !j.finalBy(cutoff) {
			return
		}
		c.ids.watermark++
	}
}

// firstEvictedAfter returns the lowest sequence whose answer has been evicted and whose
// job was final only after the cutoff, or the next sequence to allocate if there is none.
func (c *Coordinator) firstEvictedAfter(cutoff time.Time) uint64 {
	for len(c.evictedEarly) > 0 && !c.evictedEarly[0].finalAt.After(cutoff) {
		c.evictedEarly = c.evictedEarly[1:]
	}
	first := c.ids.next
	for _, e := range c.evictedEarly {
		first = min(first, e.seq)
	}
	return first
}
