package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/logfollower"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/publish"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// leaveTimeout is the timeout of announcing this entry's departure on the log.
const leaveTimeout = 2 * time.Second

// documents follows the platform's log for the entry and publishes edits to it.
type documents struct {
	entry     *Entry
	follower  *logfollower.Follower
	publisher *publish.Publisher
}

func newDocuments(e *Entry) (*documents, error) {
	client, err := platformlog.NewClient(e.opts.LogURL, 0)
	if err != nil {
		return nil, err
	}
	d := &documents{entry: e}
	d.follower, err = logfollower.New(logfollower.Options{
		Log:            client,
		Self:           e.self,
		OnDocument:     d.documentChanged,
		OnEntries:      e.peers.add,
		FetchPeerState: e.peers.fetchState,
		Logger:         e.logger,
	})
	if err != nil {
		return nil, err
	}
	d.publisher = publish.New(client, d.follower, e.logger)
	return d, nil
}

func (d *documents) run(ctx context.Context) {
	go d.awaitReady(ctx)
	d.follower.Run(ctx)
}

// readyPollInterval is the interval at which awaitReady checks the follower.
const readyPollInterval = 50 * time.Millisecond

// awaitReady notifies the coordinator when all documents are loaded. By then
// documentChanged has posted an event for each of them.
func (d *documents) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for d.follower.Ready() != nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	d.entry.events.post(coordinator.DocumentsLoaded{})
}

// documentChanged passes a newer revision to the coordinator.
func (d *documents) documentChanged(rec structs.DocumentRecord, doc *document.Document) {
	d.entry.events.post(coordinator.DocumentChanged{Record: rec, Document: doc})
}

// offerRevision passes a record held by an agent to the follower. A record
// without a revision is ignored.
func (d *documents) offerRevision(rec structs.DocumentRecord) {
	if rec.Revision > 0 {
		d.follower.OfferRevision(rec)
	}
}

// record returns the service's document in force, or a zero record if there is
// none.
func (d *documents) record(service string) structs.DocumentRecord {
	rec, _ := d.follower.InForce(service)
	return rec
}

// encodedState returns the encoded state of the log, or nil if it is not loaded.
func (d *documents) encodedState() []byte {
	if d.follower.Ready() != nil {
		return nil
	}
	return d.follower.State().Encode()
}

func (d *documents) ready() error { return d.follower.Ready() }

// leave announces the departure of this entry on the log. If that fails, the
// entry stays listed until its last announcement expires.
func (d *documents) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.follower.Leave(ctx); err != nil {
		level.Warn(d.entry.logger).Log("event", "leave_not_announced", "err", err)
	}
}
