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
	// boundsInterval passes between questions of how much the log keeps.
	boundsInterval = 15 * time.Second
	// farewellAttempts bounds the appends that say the process is gone.
	farewellAttempts = 3
)

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
func (f *Follower) followed() *fold.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving || f.problem() != "" || !f.link.caught {
		return nil
	}
	return f.reader.State()
}

func (f *Follower) upkeep(ctx context.Context, s *schedule, current *fold.State) {
	if s.wantsAnnouncement(time.Now(), current) {
		s.announcedAt = time.Now()
		f.append(ctx, fold.Record{Type: fold.TypeEntryAnnouncement, EntryAnnouncement: &fold.EntryAnnouncement{Info: f.opts.Self, StateOffset: current.Next()}})
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
	f.RequestRead()
}

// Leave says on the log that Self is gone, and ends the follower's other
// appends. It gives up when ctx is over.
func (f *Follower) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	self := f.opts.Self
	data, err := fold.EncodeRecord(fold.Record{
		Type:           fold.TypeEntryDeparture,
		EntryDeparture: &fold.EntryDeparture{Name: self.Name, Incarnation: self.Incarnation},
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
