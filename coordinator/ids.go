package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// ids hands out sequence numbers and tells which are still open. The sequences
// from 1 to next-1 have been handed out.
type ids struct {
	next uint64
	// reserved holds the sequences handed out and neither submitted nor
	// expired.
	reserved map[uint64]struct{}
	// blocks are the reservations in order of time.
	blocks []idBlock
	// watermark is the sequence below which every job is settled.
	watermark uint64
}

type idBlock struct {
	first, last uint64
	at          time.Time
}

func newIDs() ids {
	return ids{next: 1, watermark: 1, reserved: make(map[uint64]struct{})}
}

// take hands out count sequences and returns the first.
func (s *ids) take(now time.Time, count int) uint64 {
	first := s.next
	s.next += uint64(count)
	for seq := first; seq < s.next; seq++ {
		s.reserved[seq] = struct{}{}
	}
	s.blocks = append(s.blocks, idBlock{first: first, last: s.next - 1, at: now})
	return first
}

// claim takes a reserved sequence out of the reservation. It reports false if
// the sequence was never reserved, was claimed before or has expired.
func (s *ids) claim(seq uint64) bool {
	if _, ok := s.reserved[seq]; !ok {
		return false
	}
	delete(s.reserved, seq)
	return true
}

// expire drops the reservations made before deadline.
func (s *ids) expire(deadline time.Time) {
	for len(s.blocks) > 0 && s.blocks[0].at.Before(deadline) {
		for seq := s.blocks[0].first; seq <= s.blocks[0].last; seq++ {
			delete(s.reserved, seq)
		}
		s.blocks = s.blocks[1:]
	}
}

// reserve hands out job identifiers.
func (c *Coordinator) reserve(e ReserveCalled) {
	if err := c.checkReserve(e.Count); err != nil {
		c.emit(ReplyIDs{Call: e.Call, Error: err})
		return
	}
	first := c.ids.take(c.now, e.Count)
	list := make([]structs.JobID, e.Count)
	for i := range list {
		list[i] = structs.JobID{Home: c.cfg.Self.Incarnation, Seq: first + uint64(i)}
	}
	c.emit(ReplyIDs{Call: e.Call, IDs: list})
}

func (c *Coordinator) checkReserve(count int) *structs.Error {
	if count < 1 || count > c.cfg.MaxReserve {
		return structs.Errorf(structs.CodeInvalid, structs.NotRun, "count %d: want 1 to %d", count, c.cfg.MaxReserve)
	}
	if c.leaving {
		return c.leavingError()
	}
	if len(c.ids.reserved)+count > c.cfg.MaxReservations {
		return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "too many reserved ids").
			WithRetryAfter(c.cfg.ReservationTTL)
	}
	return nil
}

// maxRanges bounds what is told of unsubmitted sequences.
const maxRanges = 1024

// unsubmitted returns the reserved sequences as ranges in order, cut off after
// maxRanges.
func (s *ids) unsubmitted() []structs.SeqRange {
	var ranges []structs.SeqRange
	for _, seq := range slices.Sorted(maps.Keys(s.reserved)) {
		last := len(ranges) - 1
		if last >= 0 && ranges[last].Last+1 == seq {
			ranges[last].Last = seq
			continue
		}
		if len(ranges) == maxRanges {
			break
		}
		ranges = append(ranges, structs.SeqRange{First: seq, Last: seq})
	}
	return ranges
}

// advanceWatermark moves the watermark past settled sequences. The watermark
// never passes a sequence that may still be submitted or has an unsettled task.
// It stays behind by WatermarkLag, for as long as the agents keep their records
// another entry can recover the job.
func (c *Coordinator) advanceWatermark() {
	settled := c.now.Add(-c.cfg.WatermarkLag)
	for c.ids.watermark < c.ids.next {
		seq := c.ids.watermark
		if _, open := c.ids.reserved[seq]; open {
			return
		}
		if j := c.jobs[seq]; j != nil && !j.settledBy(settled) {
			return
		}
		c.ids.watermark++
	}
}
