package logfollower

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Defaults of Options.
const (
	DefaultPollInterval       = 500 * time.Millisecond
	DefaultPeerInterval       = 4 * time.Second
	DefaultAnnounceInterval   = 20 * time.Minute
	DefaultEntryTTL           = 65 * time.Minute
	DefaultCheckpointInterval = 15 * time.Minute
	DefaultCheckpointJitter   = 5 * time.Minute
	DefaultCheckpointRecords  = 200
)

// Options configure a Follower. Log is required. For the other fields a zero
// value selects the default or, for a function, leaves it out.
type Options struct {
	Log platformlog.Log
	// Self is announced on the log unless its incarnation is zero.
	Self structs.EntryInfo
	// OnDocument is called with each revision that is put in force here. Calls
	// are sequential, and the revisions of a service only increase; some may be
	// skipped. It must not call the Follower.
	OnDocument func(structs.DocumentRecord, *document.Document)
	// OnEntries is called with the list of announced entries, including Self,
	// whenever the list has changed. Calls are sequential. It must not call the
	// Follower.
	OnEntries func([]structs.EntryInfo)
	// FetchPeerState returns the encoded state of a running peer, or nil if
	// there is none. It is called while the log cannot be followed, at most
	// once per PeerInterval.
	FetchPeerState func(context.Context) ([]byte, error)
	Logger         log.Logger

	// PollInterval is the time between a read that returned no records and the
	// next one.
	PollInterval time.Duration
	// PeerInterval is the least time between calls of FetchPeerState, and the
	// timeout of each.
	PeerInterval time.Duration
	// AnnounceInterval is the time between announcements of Self.
	AnnounceInterval time.Duration
	// EntryTTL is how long an entry is listed after its last announcement, not
	// counting time in which the log could not be read.
	EntryTTL time.Duration
	// CheckpointInterval, plus a random part of CheckpointJitter, is the time
	// after the newest checkpoint at which the next one is due.
	CheckpointInterval time.Duration
	CheckpointJitter   time.Duration
	// CheckpointRecords is the number of records not covered by a checkpoint at
	// which the next one is due before CheckpointInterval has passed.
	CheckpointRecords int
}

func (o *Options) setDefaults() error {
	if o.Log == nil {
		return errors.New("logfollower: Options.Log is not set")
	}
	if o.OnDocument == nil {
		o.OnDocument = func(structs.DocumentRecord, *document.Document) {}
	}
	if o.OnEntries == nil {
		o.OnEntries = func([]structs.EntryInfo) {}
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	setDefault(&o.PollInterval, DefaultPollInterval)
	setDefault(&o.PeerInterval, DefaultPeerInterval)
	setDefault(&o.AnnounceInterval, DefaultAnnounceInterval)
	setDefault(&o.EntryTTL, DefaultEntryTTL)
	setDefault(&o.CheckpointInterval, DefaultCheckpointInterval)
	setDefault(&o.CheckpointJitter, DefaultCheckpointJitter)
	setDefault(&o.CheckpointRecords, DefaultCheckpointRecords)
	return nil
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}
