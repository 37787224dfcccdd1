package follow

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

// Options configure a Follower. Log is required; zero values of the others
// take the defaults or leave the function out.
type Options struct {
	Log platformlog.Log
	// Self is announced on the log unless its incarnation is zero.
	Self structs.EntryInfo
	// OnDocument is told each newer revision that came into force here. Calls
	// are made one at a time and a service's revisions only grow; some may be
	// left out. It must not call the follower.
	OnDocument func(structs.DocumentRecord, *document.Document)
	// OnEntries is told the announced entries, Self included, when they have
	// changed. Calls are made one at a time. It must not call the follower.
	OnEntries func([]structs.EntryInfo)
	// FetchPeerState asks a running peer for its encoded fold. It is called
	// while the log cannot be followed, at most once per PeerInterval.
	FetchPeerState func(context.Context) ([]byte, error)
	Logger         log.Logger

	// PollInterval passes between reads that found nothing new.
	PollInterval time.Duration
	// PeerInterval passes between calls of FetchPeerState.
	PeerInterval time.Duration
	// AnnounceInterval passes between announcements of Self.
	AnnounceInterval time.Duration
	// EntryTTL is how long an entry is listed after its last announcement;
	// time without a working log does not count.
	EntryTTL time.Duration
	// CheckpointInterval passes after the newest checkpoint, and then a random
	// part of CheckpointJitter, before another one is due.
	CheckpointInterval time.Duration
	CheckpointJitter   time.Duration
	// CheckpointRecords is the number of records no checkpoint covers that
	// makes one due early.
	CheckpointRecords int
}

func (o *Options) setDefaults() error {
	if o.Log == nil {
		return errors.New("follow: no log given")
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
