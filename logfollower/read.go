package logfollower

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

// maxBatchRecords bounds the records of one read.
const maxBatchRecords = 512

// runReads reads the log until ctx is canceled.
func (f *Follower) runReads(ctx context.Context) {
	var backoff platformlog.Backoff
	var peerFetchedAt time.Time
	for ctx.Err() == nil {
		more, err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.needsPeerState() && time.Since(peerFetchedAt) >= f.opts.PeerInterval {
			peerFetchedAt = time.Now()
			f.fetchPeerState(ctx)
		}
		switch {
		case err != nil:
			f.wait(ctx, backoff.Next())
		case !more:
			backoff.Reset()
			f.wait(ctx, f.opts.PollInterval)
		default:
			backoff.Reset()
		}
	}
}

// readOnce reads the next records and reports whether there may be more.
func (f *Follower) readOnce(ctx context.Context) (more bool, err error) {
	f.mu.Lock()
	offset := f.replayer.Offset()
	f.mu.Unlock()
	records, err := f.opts.Log.Read(ctx, offset, maxBatchRecords)
	if errors.Is(err, platformlog.ErrTruncated) {
		return true, f.handleTruncation(ctx)
	}
	if err != nil {
		f.readFailed(ctx, err)
		return false, err
	}
	f.applyRecords(records)
	return len(records) > 0, nil
}

// handleTruncation queries the log's earliest kept offset and continues there.
func (f *Follower) handleTruncation(ctx context.Context) error {
	earliest, _, err := f.opts.Log.Bounds(ctx)
	if err != nil {
		f.readFailed(ctx, err)
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	level.Warn(f.opts.Logger).Log("event", "log_truncated", "offset", f.replayer.Offset(), "earliest", earliest)
	f.replayer.Truncated(earliest)
	return nil
}

// readFailed records a failed read, unless it has ended because the follower stops. Only
// the first of consecutive failures is logged.
func (f *Follower) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.logStatus.failure == "" || f.logStatus.failure == notReadYet {
		level.Warn(f.opts.Logger).Log("event", "log_unreachable", "err", err)
	}
	f.logStatus.failure = err.Error()
}

// applyRecords applies the records of a successful read.
func (f *Follower) applyRecords(records []platformlog.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	before := f.replayer.State()
	if err := f.replayer.Apply(records); err != nil {
		level.Error(f.opts.Logger).Log("event", "log_record_ignored", "err", err)
	}
	elapsed := f.readSucceeded(now, len(records) == 0)
	if f.replayer.State() != before {
		f.stateChanged()
	}
	f.reportEntries(elapsed)
}

// readSucceeded records a successful read; atEnd says that it returned no
// records. It returns the time since the previous read if that succeeded too,
// else zero. The caller holds f.mu.
func (f *Follower) readSucceeded(now time.Time, atEnd bool) time.Duration {
	var elapsed time.Duration
	if f.logStatus.failure == "" {
		elapsed = now.Sub(f.logStatus.readAt)
	} else {
		level.Info(f.opts.Logger).Log("event", "log_followed", "offset", f.replayer.Offset())
	}
	f.logStatus.readAt = now
	f.logStatus.failure = ""
	if atEnd && !f.replayer.AwaitingCheckpoint() {
		f.logStatus.caughtUp = true
	}
	return elapsed
}

// needsPeerState reports whether a peer's state is to be fetched because the log
// cannot be followed.
func (f *Follower) needsPeerState() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.FetchPeerState != nil && f.logProblem() != ""
}

// fetchPeerState fetches a peer's state and installs it if it is newer.
func (f *Follower) fetchPeerState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.PeerInterval)
	defer cancel()
	data, err := f.opts.FetchPeerState(ctx)
	if err != nil {
		level.Warn(f.opts.Logger).Log("event", "peer_fold_failed", "err", err)
		return
	}
	if data == nil {
		return
	}
	state, err := logstate.Decode(data)
	if err != nil {
		level.Warn(f.opts.Logger).Log("event", "peer_fold_refused", "err", err)
		return
	}
	f.installPeerState(state)
}

func (f *Follower) installPeerState(state *logstate.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.replayer.Install(state) {
		return
	}
	f.logStatus.caughtUp = true
	level.Info(f.opts.Logger).Log("event", "peer_fold_taken", "next", state.Next())
	f.stateChanged()
}

// wait returns after d, on a call of RequestRead, or when ctx ends.
func (f *Follower) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.readRequested:
	case <-ctx.Done():
	}
}
