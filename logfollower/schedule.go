package logfollower

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/logstate"
)

const (
	// minAppendInterval is the least time between a process's own appends of
	// one type.
	minAppendInterval = 10 * time.Second
	// earlyCheckpointJitter spreads the processes for which the number of
	// records has made a checkpoint due, so that the first one's checkpoint
	// spares the others theirs.
	earlyCheckpointJitter = 10 * time.Second
	// keptRecordsDivisor makes a checkpoint due once the records that none
	// covers reach 1/keptRecordsDivisor of those the log keeps.
	keptRecordsDivisor = 4
)

// schedule decides when a process appends announcements and checkpoints. It is
// a pure state machine: time and random numbers are passed in.
type schedule struct {
	opts *Options

	// keptRecords is the number of records that the log keeps; zero if it is
	// not known to have truncated any.
	keptRecords uint64
	boundsAt    time.Time // when keptRecords was last queried
	announcedAt time.Time // when the last announcement was appended; zero: never
	// covered is the offset up to which, exclusive, checkpoints cover the log;
	// coveredAt is when it last changed.
	covered      uint64
	coveredAt    time.Time
	dueAt        time.Time // when the next checkpoint is due by age
	earlyAt      time.Time // when it is due by number of records; zero: not due
	checkpointAt time.Time // when the last own checkpoint was appended
}

// announcementDue reports whether Self is to be announced now.
func (s *schedule) announcementDue(now time.Time, state *logstate.State) bool {
	self := s.opts.Self
	if self.Incarnation == 0 || state.Superseded(self.Name, self.Incarnation) {
		return false
	}
	since := now.Sub(s.announcedAt)
	if s.announcedAt.IsZero() || since >= s.opts.AnnounceInterval {
		return true
	}
	return since >= minAppendInterval && !state.Listed(self.Name, self.Incarnation)
}

// checkpointDue reports whether a checkpoint is to be written now. Random is in
// [0,1).
func (s *schedule) checkpointDue(now time.Time, state *logstate.State, random float64) bool {
	covered := state.Next() - state.SinceCheckpoint()
	if s.coveredAt.IsZero() || covered != s.covered {
		s.covered = covered
		s.coveredAt = now
		s.dueAt = now.Add(s.opts.CheckpointInterval + fraction(s.opts.CheckpointJitter, random))
		s.earlyAt = time.Time{}
	}
	if state.Next() == 0 || now.Sub(s.checkpointAt) < minAppendInterval {
		return false
	}
	if !now.Before(s.dueAt) {
		return true
	}
	if state.SinceCheckpoint() < s.uncoveredLimit() {
		return false
	}
	if s.earlyAt.IsZero() {
		s.earlyAt = now.Add(fraction(earlyCheckpointJitter, random))
	}
	return !now.Before(s.earlyAt)
}

// uncoveredLimit returns the number of records not covered by a checkpoint at
// which one is due before its interval has passed.
func (s *schedule) uncoveredLimit() uint64 {
	limit := uint64(s.opts.CheckpointRecords)
	if s.keptRecords == 0 {
		return limit
	}
	return min(limit, max(1, s.keptRecords/keptRecordsDivisor))
}

func fraction(d time.Duration, random float64) time.Duration {
	return time.Duration(float64(d) * random)
}
