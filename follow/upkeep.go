package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

const (
	upkeepInterval = time.Second
	// appendSpacing passes at least between a process's own appends of one
	// kind.
	appendSpacing = 10 * time.Second
	// earlyJitter spreads the writers of a checkpoint that records made due.
	earlyJitter = 10 * time.Second
	// boundsInterval passes between questions of how much the log keeps.
	boundsInterval = 15 * time.Second
	// keptShare is the part of a log's kept records that may go uncovered by a
	// checkpoint: one in keptShare.
	keptShare = 4
	// farewellAttempts bounds the appends that say the process is gone.
	farewellAttempts = 3
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
func (s *schedule) wantsAnnouncement(now time.Time, f *fold.Fold) bool {
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
func (s *schedule) wantsCheckpoint(now time.Time, f *fold.Fold, random float64) bool {
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

// runUpkeep appends announcements and checkpoints until ctx is canceled.
func (f *Follower) runUpkeep(ctx context.Context) {
	s := schedule{opts: &f.opts}
	ticker := time.NewTicker(min(upkeepInterval, f.opts.PollInterval))
	defer ticker.Stop()
	for {
		if current := f.followed(); current != nil {
			f.upkeep(ctx, &s, current)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// followed returns the fold if it stands at the log's end as far as known and
// the process is to append anything.
func (f *Follower) followed() *fold.Fold {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving || f.link.problem != "" || !f.link.caught {
		return nil
	}
	return f.reader.Fold()
}

func (f *Follower) upkeep(ctx context.Context, s *schedule, current *fold.Fold) {
	if s.wantsAnnouncement(time.Now(), current) {
		s.announcedAt = time.Now()
		f.append(ctx, fold.Record{Type: fold.TypeEntry, Entry: &fold.Entry{Info: f.opts.Self, Seen: current.Next()}})
	}
	f.askBounds(ctx, s)
	if s.wantsCheckpoint(time.Now(), current, rand.Float64()) {
		s.checkpointAt = time.Now()
		f.append(ctx, current.CheckpointRecord())
	}
}

// askBounds finds out now and then how many records the log keeps.
func (f *Follower) askBounds(ctx context.Context, s *schedule) {
	if time.Since(s.boundsAt) < boundsInterval {
		return
	}
	s.boundsAt = time.Now()
	earliest, next, err := f.opts.Log.Bounds(ctx)
	if err == nil && earliest > 0 {
		s.kept = next - earliest
	}
}

// append writes a record whose loss is mended by a later one.
func (f *Follower) append(ctx context.Context, r fold.Record) {
	data, err := fold.EncodeRecord(r)
	if err == nil {
		_, err = f.opts.Log.Append(ctx, data)
	}
	if err != nil {
		level.Warn(f.opts.Logger).Log("event", "append_failed", "type", r.Type, "err", err)
		return
	}
	level.Info(f.opts.Logger).Log("event", "appended", "type", r.Type, "bytes", len(data))
	f.Poke()
}

// Leave says on the log that Self is gone, and ends the follower's other
// appends. It gives up when ctx is over.
func (f *Follower) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	self := f.opts.Self
	data, err := fold.EncodeRecord(fold.Record{
		Type:      fold.TypeEntryGone,
		EntryGone: &fold.EntryGone{Name: self.Name, Incarnation: self.Incarnation},
	})
	if err != nil {
		return err
	}
	var backoff platformlog.Backoff
	for range farewellAttempts {
		if _, err = f.opts.Log.Append(ctx, data); err == nil {
			return nil
		}
		f.pause(ctx, backoff.Next())
	}
	return err
}
