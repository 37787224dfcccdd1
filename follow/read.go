package follow

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

// maxBatchRecords bounds the records of one read.
const maxBatchRecords = 512

// runReads reads the log until ctx is canceled.
func (f *Follower) runReads(ctx context.Context) {
	var backoff platformlog.Backoff
	var askedPeer time.Time
	for ctx.Err() == nil {
		more, err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.wantsPeer() && time.Since(askedPeer) >= f.opts.PeerInterval {
			askedPeer = time.Now()
			f.askPeer(ctx)
		}
		switch {
		case err != nil:
			f.pause(ctx, backoff.Next())
		case !more:
			backoff.Reset()
			f.pause(ctx, f.opts.PollInterval)
		default:
			backoff.Reset()
		}
	}
}

// readOnce reads the next records and reports whether there may be more.
func (f *Follower) readOnce(ctx context.Context) (more bool, err error) {
	f.mu.Lock()
	offset := f.reader.Offset()
	f.mu.Unlock()
	records, err := f.opts.Log.Read(ctx, offset, maxBatchRecords)
	if errors.Is(err, platformlog.ErrTruncated) {
		return true, f.truncated(ctx)
	}
	if err != nil {
		f.failed(err)
		return false, err
	}
	f.took(records)
	return len(records) > 0, nil
}

// truncated finds out where the log begins now.
func (f *Follower) truncated(ctx context.Context) error {
	earliest, _, err := f.opts.Log.Bounds(ctx)
	if err != nil {
		f.failed(err)
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	level.Warn(f.opts.Logger).Log("event", "log_truncated", "offset", f.reader.Offset(), "earliest", earliest)
	f.reader.Truncated(earliest)
	return nil
}

// failed notes a read that did not go well.
func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link.failure == "" || f.link.failure == notReadYet {
		level.Warn(f.opts.Logger).Log("event", "log_unreachable", "err", err)
	}
	f.link.failure = err.Error()
}

// took takes in the records of a read that went well.
func (f *Follower) took(records []platformlog.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	before := f.reader.State()
	if err := f.reader.Apply(records); err != nil {
		level.Error(f.opts.Logger).Log("event", "log_record_ignored", "err", err)
	}
	elapsed := f.noteRead(now, len(records) == 0)
	if f.reader.State() != before {
		f.foldChanged()
	}
	f.listEntries(elapsed)
}

// noteRead updates the link and returns the time with a working log since the
// last call; f.mu is held.
func (f *Follower) noteRead(now time.Time, end bool) time.Duration {
	var elapsed time.Duration
	if f.link.failure == "" {
		elapsed = now.Sub(f.link.readAt)
	} else {
		level.Info(f.opts.Logger).Log("event", "log_followed", "offset", f.reader.Offset())
	}
	f.link.readAt = now
	f.link.failure = ""
	if end && !f.reader.AwaitingCheckpoint() {
		f.link.caught = true
	}
	return elapsed
}

// wantsPeer reports whether a peer's fold is worth asking for.
func (f *Follower) wantsPeer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.FetchPeerState != nil && f.problem() != ""
}

// askPeer takes over a peer's fold if it is ahead.
func (f *Follower) askPeer(ctx context.Context) {
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
	peer, err := fold.Decode(data)
	if err != nil {
		level.Warn(f.opts.Logger).Log("event", "peer_fold_refused", "err", err)
		return
	}
	f.install(peer)
}

func (f *Follower) install(peer *fold.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reader.Install(peer) {
		return
	}
	f.link.caught = true
	level.Info(f.opts.Logger).Log("event", "peer_fold_taken", "next", peer.Next())
	f.foldChanged()
}

// pause waits for d, a poke or the end of ctx.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.poke:
	case <-ctx.Done():
	}
}
