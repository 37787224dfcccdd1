package logfollower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/internal/ctxsleep"
	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

const (
	// appendCheckInterval is the longest time between checks of whether an
	// append is due.
	appendCheckInterval = time.Second
	// boundsInterval is the time between queries of how many records the log
	// keeps.
	boundsInterval = 15 * time.Second
	// departureAttempts bounds the attempts to append the departure of Self.
	departureAttempts = 3
)

// runAppends appends announcements and checkpoints until ctx is canceled.
func (f *Follower) runAppends(ctx context.Context) {
	s := schedule{opts: &f.opts}
	ticker := time.NewTicker(min(appendCheckInterval, f.opts.PollInterval))
	defer ticker.Stop()
	for {
		if current := f.stateForAppends(); current != nil {
			f.appendDue(ctx, &s, current)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// stateForAppends returns the state to base appends on. It returns nil while the
// log cannot be followed, before its end has been reached for the first time,
// and after Leave.
func (f *Follower) stateForAppends() *logstate.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving || f.logProblem() != "" || !f.logStatus.caughtUp {
		return nil
	}
	return f.replayer.State()
}

// appendDue appends an announcement and a checkpoint if they are due.
func (f *Follower) appendDue(ctx context.Context, s *schedule, current *logstate.State) {
	if s.announcementDue(time.Now(), current) {
		s.announcedAt = time.Now()
		f.appendRecord(ctx, logstate.Record{Type: logstate.TypeEntryAnnouncement, EntryAnnouncement: &logstate.EntryAnnouncement{Info: f.opts.Self, StateOffset: current.Next()}})
	}
	f.updateKeptRecords(ctx, s)
	if s.checkpointDue(time.Now(), current, rand.Float64()) {
		s.checkpointAt = time.Now()
		f.appendRecord(ctx, current.CheckpointRecord())
	}
}

// updateKeptRecords queries every boundsInterval how many records the log keeps.
func (f *Follower) updateKeptRecords(ctx context.Context, s *schedule) {
	if time.Since(s.boundsAt) < boundsInterval {
		return
	}
	s.boundsAt = time.Now()
	earliest, next, err := f.opts.Log.Bounds(ctx)
	if err == nil && earliest > 0 {
		s.keptRecords = next - earliest
	}
}

// appendRecord appends a record without retrying. If it is lost, a later
// announcement or checkpoint makes up for it.
func (f *Follower) appendRecord(ctx context.Context, r logstate.Record) {
	data, err := logstate.EncodeRecord(r)
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

// Leave announces the departure of Self on the log and stops the follower from
// starting other appends. It returns the last error if all attempts failed;
// when ctx ends, the remaining attempts fail without waiting.
func (f *Follower) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	self := f.opts.Self
	data, err := logstate.EncodeRecord(logstate.Record{
		Type:           logstate.TypeEntryDeparture,
		EntryDeparture: &logstate.EntryDeparture{Name: self.Name, Incarnation: self.Incarnation},
	})
	if err != nil {
		return err
	}
	var backoff platformlog.Backoff
	for range departureAttempts {
		if _, err = f.opts.Log.Append(ctx, data); err == nil {
			return nil
		}
		ctxsleep.For(ctx, backoff.Next())
	}
	return err
}
