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
