// Package follow keeps one process up to date with the system's stream on the
// platform's log: it reads the log into a fold, puts new revisions of documents
// in force, lists the announced entries, announces its own, and now and then
// writes a checkpoint.
//
// An entry's shell embeds it like this:
//
//	follower, err := follow.New(follow.Options{
//		Log:           client,            // platformlog.NewClient(url, 0)
//		Self:          info,              // announced on the log
//		OnDocument:    putDocumentEvent,  // coordinator.DocumentChanged
//		OnEntries:     putPeersEvent,     // coordinator.PeersChanged
//		FetchPeerState: fetchFromAnyPeer,  // Entry.Members of a peer
//		Logger:        logger,
//	})
//	go follower.Run(ctx)                  // until ctx is canceled
//	follower.Ready()                      // nil, or why it cannot serve
//	follower.State()                      // MembersReply.Fold = State().Encode()
//	follower.OfferRevision(record)                // a revision from an agent or peer
//	follower.Leave(ctx)                   // on a graceful stop
//	publisher := publish.New(client, follower, logger)
package follow

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Follower follows the log. Its methods are safe for concurrent use.
type Follower struct {
	opts Options
	poke chan struct{} // asks for a read at once

	mu       sync.Mutex
	reader   fold.Replayer
	register *Register
	liveness *liveness
	entries  []structs.EntryInfo // as last told
	changed  chan struct{}       // closed when the fold changes
	link     linkState
	leaving  bool
}

// notReadYet is the first failure of every follower.
const notReadYet = "the log has not been read yet"

// linkState is how the log is doing.
type linkState struct {
	failure string    // of the last read; empty if it went well
	readAt  time.Time // of the last read that went well
	caught  bool      // the log's end has been reached once
}

// New returns a follower that has read nothing.
func New(opts Options) (*Follower, error) {
	if err := opts.setDefaults(); err != nil {
		return nil, err
	}
	return &Follower{
		opts:     opts,
		poke:     make(chan struct{}, 1),
		register: NewRegister(),
		liveness: newLiveness(opts.EntryTTL),
		changed:  make(chan struct{}),
		link:     linkState{failure: notReadYet},
	}, nil
}

// Run follows the log until ctx is canceled.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.runUpkeep(ctx) })
	f.runReads(ctx)
	wg.Wait()
}

// State returns the newest fold, which must not be changed; an empty one if there
// is none yet.
func (f *Follower) State() *fold.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.reader.State(); current != nil {
		return current
	}
	return fold.New()
}

// Ready returns nil once the process knows the documents, or the reason why it
// does not. A process that has been ready stays so while the log is out.
func (f *Follower) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reader.State() == nil {
		return errors.New("no service documents: " + f.problem())
	}
	if !f.link.caught {
		return errors.New("still reading the log")
	}
	return nil
}

// LogError returns why the log cannot be followed now; empty if it can.
func (f *Follower) LogError() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.problem()
}

// problem is LogError with f.mu held.
func (f *Follower) problem() string {
	if f.link.failure == "" && f.reader.AwaitingCheckpoint() {
		return fmt.Sprintf("the log holds no usable checkpoint before offset %d", f.reader.Offset())
	}
	return f.link.failure
}

// Refused returns by service the accepted revisions that fail this program's
// checks, so that an earlier one stays in force here.
func (f *Follower) Refused() map[string]RefusedDocument {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.register.refused)
}

// RequestRead makes the next read of the log happen at once.
func (f *Follower) RequestRead() {
	select {
	case f.poke <- struct{}{}:
	default:
	}
}

// Wait returns the first fold for which done holds. It returns the context's
// error if none came in time.
func (f *Follower) Wait(ctx context.Context, done func(*fold.State) bool) (*fold.State, error) {
	for {
		f.mu.Lock()
		current, changed := f.reader.State(), f.changed
		f.mu.Unlock()
		if current != nil && done(current) {
			return current, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// OfferRevision takes in a revision that came from an agent or a peer, and puts it in
// force if it is newer. It leaves the fold as it is.
func (f *Follower) OfferRevision(rec structs.DocumentRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(rec)
}

// InForce returns the revision of a service's document in force here.
func (f *Follower) InForce(service string) (structs.DocumentRecord, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.register.Get(service)
}

// put puts a revision in force; f.mu is held.
func (f *Follower) put(rec structs.DocumentRecord) {
	doc, err := f.register.Put(rec)
	if err != nil {
		level.Error(f.opts.Logger).Log("event", "document_refused", "service", rec.Service, "revision", rec.Revision, "err", err)
		return
	}
	if doc == nil {
		return
	}
	level.Info(f.opts.Logger).Log("event", "document_in_force", "service", rec.Service, "revision", rec.Revision, "offset", rec.Offset, "edit", rec.EditID)
	f.opts.OnDocument(rec, doc)
}

// foldChanged tells of what a new fold brought; f.mu is held.
func (f *Follower) foldChanged() {
	for _, rec := range f.reader.State().Documents() {
		f.put(rec)
	}
	f.listEntries(0)
	close(f.changed)
	f.changed = make(chan struct{})
}

// listEntries tells of the listed entries if they changed; f.mu is held.
func (f *Follower) listEntries(elapsed time.Duration) {
	current := f.reader.State()
	if current == nil {
		return
	}
	list := f.liveness.list(current.Entries(), elapsed)
	if reflect.DeepEqual(list, f.entries) {
		return
	}
	f.entries = list
	f.opts.OnEntries(append([]structs.EntryInfo(nil), list...))
}
