// Package logfollower keeps one process up to date with the system's stream on the
// platform's log: it replays the log into a state, puts new revisions of
// documents in force, lists the announced entries, announces its own entry, and
// writes a checkpoint when one is due.
//
// An entry uses it as follows:
//
//	follower, err := logfollower.New(logfollower.Options{
//		Log:            client,           // platformlog.NewClient(url, 0)
//		Self:           info,             // announced on the log
//		OnDocument:     putDocumentEvent, // coordinator.DocumentChanged
//		OnEntries:      putPeersEvent,    // coordinator.PeersChanged
//		FetchPeerState: fetchFromAnyPeer, // RPC Entry.Members of a peer
//		Logger:         logger,
//	})
//	go follower.Run(ctx)                  // until ctx is canceled
//	follower.Ready()                      // nil, or why it cannot serve
//	follower.State()                      // MembersReply.Fold = State().Encode()
//	follower.OfferRevision(record)        // a revision from an agent or peer
//	follower.Leave(ctx)                   // on a graceful stop
//	publisher := publish.New(client, follower, logger)
package logfollower

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Follower follows the log. Its methods are safe for concurrent use.
type Follower struct {
	opts          Options
	readRequested chan struct{} // ends the wait before the next read

	mu        sync.Mutex
	replayer  logstate.Replayer
	documents *Documents
	liveness  *liveness
	entries   []structs.EntryInfo // as last passed to OnEntries
	changed   chan struct{}       // closed and replaced when the state changes
	logStatus logStatus
	leaving   bool
}

// notReadYet is the initial logStatus.failure.
const notReadYet = "the log has not been read yet"

// logStatus describes whether the log can be read.
type logStatus struct {
	failure  string    // error of the last read; empty if it succeeded
	readAt   time.Time // time of the last successful read
	caughtUp bool      // the log's end has been reached or a peer's state installed, at least once
}

// New returns a Follower; Run starts reading.
func New(opts Options) (*Follower, error) {
	if err := opts.setDefaults(); err != nil {
		return nil, err
	}
	return &Follower{
		opts:          opts,
		readRequested: make(chan struct{}, 1),
		documents:     NewDocuments(),
		liveness:      newLiveness(opts.EntryTTL),
		changed:       make(chan struct{}),
		logStatus:     logStatus{failure: notReadYet},
	}, nil
}

// Run follows the log until ctx is canceled.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.runAppends(ctx) })
	f.runReads(ctx)
	wg.Wait()
}

// State returns the newest state, which must not be modified; an empty one if
// there is none yet.
func (f *Follower) State() *logstate.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.replayer.State(); current != nil {
		return current
	}
	return logstate.New()
}

// Ready returns nil once the process has the documents, or the reason why it
// does not. A process that was ready once stays ready while the log is
// unavailable.
func (f *Follower) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replayer.State() == nil {
		return errors.New("no service documents: " + f.logProblem())
	}
	if !f.logStatus.caughtUp {
		return errors.New("the log has not been read to its end yet")
	}
	return nil
}

// LogError returns why the log cannot be followed at present; empty if it can.
func (f *Follower) LogError() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logProblem()
}

// logProblem is LogError for callers that hold f.mu.
func (f *Follower) logProblem() string {
	if f.logStatus.failure == "" && f.replayer.AwaitingCheckpoint() {
		return fmt.Sprintf("the log holds no usable checkpoint before offset %d", f.replayer.Offset())
	}
	return f.logStatus.failure
}

// Refused returns by service the accepted revisions that fail this program's
// validation, so that an earlier revision stays in force here.
func (f *Follower) Refused() map[string]RefusedDocument {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.documents.refused)
}

// RequestRead makes the Follower read the log again without waiting for
// PollInterval or a backoff delay.
func (f *Follower) RequestRead() {
	select {
	case f.readRequested <- struct{}{}:
	default:
	}
}

// Wait blocks until done holds for the state, and returns that state. If ctx
// ends first, it returns the context's error.
func (f *Follower) Wait(ctx context.Context, done func(*logstate.State) bool) (*logstate.State, error) {
	for {
		f.mu.Lock()
		current, changed := f.replayer.State(), f.changed
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

// OfferRevision puts a revision that came from an agent or a peer in force if it
// is higher than the present one. It does not change the state.
func (f *Follower) OfferRevision(rec structs.DocumentRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putDocument(rec)
}

// InForce returns the revision of a service's document that is in force in this
// process.
func (f *Follower) InForce(service string) (structs.DocumentRecord, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.documents.Get(service)
}

// putDocument puts a revision in force if it is higher than the present one. The
// caller holds f.mu.
func (f *Follower) putDocument(rec structs.DocumentRecord) {
	doc, err := f.documents.Put(rec)
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

// stateChanged puts the documents of a new state in force, reports its entries
// and wakes the callers of Wait. The caller holds f.mu.
func (f *Follower) stateChanged() {
	for _, rec := range f.replayer.State().Documents() {
		f.putDocument(rec)
	}
	f.reportEntries(0)
	close(f.changed)
	f.changed = make(chan struct{})
}

// reportEntries calls OnEntries if the listed entries have changed. Elapsed is
// the time in which the log could be read since the last call. The caller holds
// f.mu.
func (f *Follower) reportEntries(elapsed time.Duration) {
	current := f.replayer.State()
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
