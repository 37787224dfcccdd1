package executor

import (
	"slices"
	"strconv"
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// maxDocumentBytes bounds the text of a document an agent takes.
const maxDocumentBytes = 64 << 10

// heartbeat handles Agent.Heartbeat.
func (e *Executor) heartbeat(now time.Time, call CallID, req *structs.HeartbeatRequest) {
	if req.Agent == e.opts.Incarnation {
		e.heard(req.Entry.Incarnation, now)
		e.raiseWatermark(e.homes[req.Entry.Incarnation], req.Watermark)
	}
	e.reply(call, &structs.HeartbeatReply{State: e.State()})
}

// putDocument takes in a newer revision of the service's document and answers
// with the newest one.
func (e *Executor) putDocument(call CallID, rec *structs.DocumentRecord) {
	if rec.Revision > e.record.Revision && rec.Service == e.opts.Service {
		e.adopt(rec)
	}
	e.reply(call, &structs.DocumentReply{Record: e.record, State: e.State()})
}

func (e *Executor) adopt(rec *structs.DocumentRecord) {
	detail := "revision=" + strconv.FormatUint(rec.Revision, 10)
	if len(rec.Text) > maxDocumentBytes {
		e.emit(LogEvent{Event: "document_refused", Detail: detail + " too large"})
		return
	}
	doc, err := document.Parse(rec.Text)
	if err != nil {
		e.emit(LogEvent{Event: "document_refused", Detail: detail + " " + err.Error()})
		return
	}
	if doc.Service != e.opts.Service {
		e.emit(LogEvent{Event: "document_refused", Detail: detail + " is of service " + doc.Service})
		return
	}
	e.record = *rec
	e.document = *doc
	e.document.Leave.BackendServers = e.ownName(doc.Leave.BackendServers)
	e.emit(LogEvent{Event: "document_in_force", Detail: detail})
}

// ownName reduces a list of agent names to this agent's, so that a long list
// costs nothing afterwards.
func (e *Executor) ownName(names []string) []string {
	if slices.Contains(names, e.opts.Name) {
		return []string{e.opts.Name}
	}
	return nil
}

// updateLeaving compares the wish to leave with the state, and refuses waiting
// tasks when the backend server starts to leave, so that entries place them
// elsewhere.
func (e *Executor) updateLeaving(now time.Time) {
	leaving := e.leaveRequested || e.document.Leaving(e.opts.Name, now)
	if leaving == e.leaving {
		return
	}
	e.leaving = leaving
	if !leaving {
		e.emit(LogEvent{Event: "leaving_revoked"})
		e.emit(Announce{State: e.State()})
		return
	}
	e.emit(LogEvent{Event: "leaving"})
	e.dropQueuedIf(func(*record) *structs.Error { return e.leavingError() })
	e.emit(Announce{State: e.State()})
}

// checkDrained reports the end of a graceful stop, once.
func (e *Executor) checkDrained() {
	if !e.leaveRequested || e.drained || e.running > 0 || len(e.queue) > 0 {
		return
	}
	e.drained = true
	e.emit(Drained{})
}
