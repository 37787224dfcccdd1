package follow

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/fold"
)

const (
	// appendSpacing passes at least between a process's own appends of one
	// kind.
	appendSpacing = 10 * time.Second
	// earlyJitter spreads the writers of a checkpoint that records made due.
	earlyJitter = 10 * time.Second
	// keptShare is the part of a log's kept records that may go uncovered by a
	// checkpoint: one in keptShare.
	keptShare = 4
)

// schedule decides when a process appends announcements and checkpoints. It
// is a pure state machine: time and random numbers come in.
type schedule struct {
	opts *Options

	// kept is the number of records the log keeps; zero: it has dropped none.
	kept        uint64
	boundsAt    time.Time // of the last question for it
	announcedAt time.Time // of the last append; zero: none
	// covered is how far checkpoints reach; seenAt is when that changed.
	covered      uint64
	seenAt       time.Time
	dueAt        time.Time // of a checkpoint by age
	earlyAt      time.Time // of one by number of records; zero: not due
	checkpointAt time.Time // of the last own append
}

// wantsAnnouncement reports whether Self is to be announced now.
func (s *schedule) wantsAnnouncement(now time.Time, f *fold.State) bool {
	self := s.opts.Self
	if self.Incarnation == 0 || f.Superseded(self.Name, self.Incarnation) {
		return false
	}
	since := now.Sub(s.announcedAt)
	if s.announcedAt.IsZero() || since >= s.opts.AnnounceInterval {
		return true
	}
	return since >= appendSpacing && !f.Listed(self.Name, self.Incarnation)
}

// wantsCheckpoint reports whether a checkpoint is to be written now. Random is
// in [0,1).
func (s *schedule) wantsCheckpoint(now time.Time, f *fold.State, random float64) bool {
	covered := f.Next() - f.SinceCheckpoint()
	if s.seenAt.IsZero() || covered != s.covered {
		s.covered = covered
		s.seenAt = now
		s.dueAt = now.Add(s.opts.CheckpointInterval + fraction(s.opts.CheckpointJitter, random))
		s.earlyAt = time.Time{}
	}
	if f.Next() == 0 || now.Sub(s.checkpointAt) < appendSpacing {
		return false
	}
	if !now.Before(s.dueAt) {
		return true
	}
	if f.SinceCheckpoint() < s.uncoveredLimit() {
		return false
	}
	if s.earlyAt.IsZero() {
		s.earlyAt = now.Add(fraction(earlyJitter, random))
	}
	return !now.Before(s.earlyAt)
}

// uncoveredLimit returns the number of records without a checkpoint that makes
// one due early.
func (s *schedule) uncoveredLimit() uint64 {
	limit := uint64(s.opts.CheckpointRecords)
	if s.kept == 0 {
		return limit
	}
	return min(limit, max(1, s.kept/keptShare))
}

func fraction(d time.Duration, random float64) time.Duration {
	return time.Duration(float64(d) * random)
}
