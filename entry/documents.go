package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/follow"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/publish"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// leaveTimeout bounds the announcement on the log that this entry has gone.
const leaveTimeout = 2 * time.Second

// documents connects the entry to the platform's log.
type documents struct {
	e         *Entry
	follower  *follow.Follower
	publisher *publish.Publisher
}

func newDocuments(e *Entry) (*documents, error) {
	client, err := platformlog.NewClient(e.opts.LogURL, 0)
	if err != nil {
		return nil, err
	}
	d := &documents{e: e}
	d.follower, err = follow.New(follow.Options{
		Log:            client,
		Self:           e.self,
		OnDocument:     d.inForce,
		OnEntries:      e.peers.add,
		FetchPeerState: e.peers.fetchFold,
		Logger:         e.log,
	})
	if err != nil {
		return nil, err
	}
	d.publisher = publish.New(client, d.follower, e.log)
	return d, nil
}

func (d *documents) run(ctx context.Context) {
	go d.awaitReady(ctx)
	d.follower.Run(ctx)
}

// readyPoll passes between looks at whether the documents are known.
const readyPoll = 50 * time.Millisecond

// awaitReady tells the coordinator once the documents are known. Those known
// then have been handed to it before.
func (d *documents) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for d.follower.Ready() != nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	d.e.mail.post(coordinator.DocumentsLoaded{})
}

// inForce hands a newer revision to the coordinator.
func (d *documents) inForce(rec structs.DocumentRecord, doc *document.Document) {
	d.e.mail.post(coordinator.DocumentChanged{Record: rec, Document: doc})
}

// learned takes in a record that an agent holds.
func (d *documents) learned(rec structs.DocumentRecord) {
	if rec.Revision > 0 {
		d.follower.OfferRevision(rec)
	}
}

// record returns the service's document in force, or a zero record.
func (d *documents) record(service string) structs.DocumentRecord {
	rec, _ := d.follower.InForce(service)
	return rec
}

func (d *documents) encodedFold() []byte {
	if d.follower.Ready() != nil {
		return nil
	}
	return d.follower.State().Encode()
}

func (d *documents) ready() error { return d.follower.Ready() }

// leave announces on the log that this entry has gone. Without it the
// announcement expires.
func (d *documents) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.follower.Leave(ctx); err != nil {
		level.Warn(d.e.log).Log("event", "leave_not_announced", "err", err)
	}
}
