package executor

import (
	"slices"
	"strconv"
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// maxDocumentBytes bounds the text of a document that the agent applies.
const maxDocumentBytes = 64 << 10

// heartbeat handles Agent.Heartbeat.
func (e *Executor) heartbeat(now time.Time, call CallID, req *structs.HeartbeatRequest) {
	if req.Agent == e.opts.Incarnation {
		e.updateLastContact(req.Entry.Incarnation, now)
		e.raiseWatermark(e.homes[req.Entry.Incarnation], req.Watermark)
	}
	e.reply(call, &structs.HeartbeatReply{State: e.State()})
}

// putDocument handles Agent.PutDocument and Agent.GetDocument. It applies the
// record if it is a newer revision of the service's document, and answers with
// the newest one that the agent holds.
func (e *Executor) putDocument(call CallID, rec *structs.DocumentRecord) {
	if rec.Revision > e.documentRecord.Revision && rec.Service == e.opts.Service {
		e.applyDocument(rec)
	}
	e.reply(call, &structs.DocumentReply{Record: e.documentRecord, State: e.State()})
}

// applyDocument puts a revision of the document in force, unless it is too large,
// malformed or written for another service.
func (e *Executor) applyDocument(rec *structs.DocumentRecord) {
	detail := "revision=" + strconv.FormatUint(rec.Revision, 10)
	if len(rec.Text) > maxDocumentBytes {
		e.emit(LogEvent{Event: "document_refused", Detail: detail + " text exceeds the size limit"})
		return
	}
	doc, err := document.Parse(rec.Text)
	if err != nil {
		e.emit(LogEvent{Event: "document_refused", Detail: detail + " " + err.Error()})
		return
	}
	if doc.Service != e.opts.Service {
		e.emit(LogEvent{Event: "document_refused", Detail: detail + " is for service " + doc.Service})
		return
	}
	e.documentRecord = *rec
	e.document = *doc
	e.document.Leave.BackendServers = e.onlyOwnName(doc.Leave.BackendServers)
	e.emit(LogEvent{Event: "document_in_force", Detail: detail})
}

// onlyOwnName returns names without the names of other agents. Every step
// searches the list, so a long one would slow down each step.
func (e *Executor) onlyOwnName(names []string) []string {
	if slices.Contains(names, e.opts.Name) {
		return []string{e.opts.Name}
	}
	return nil
}
