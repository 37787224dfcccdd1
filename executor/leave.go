package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// updateLeaving compares the wish to leave with the state, and refuses waiting
// tasks when the backend server starts to leave, so that entries place them
// elsewhere.
func (e *Executor) updateLeaving(now time.Time) {
	byDocument := e.document.Leaving(e.opts.Name, now)
	e.updateGrace(now, byDocument)
	leaving := e.leaveRequested || byDocument
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

// updateGrace stops started tasks once the document's grace for a leaving
// backend server is over. A graceful stop of the agent has no such end.
func (e *Executor) updateGrace(now time.Time, leaving bool) {
	if !leaving {
		e.leavingSince = time.Time{}
		e.graceOver = false
		return
	}
	if e.leavingSince.IsZero() {
		e.leavingSince = now
	}
	grace := time.Duration(e.document.Leave.Grace)
	if e.graceOver || grace <= 0 || now.Sub(e.leavingSince) < grace {
		return
	}
	e.graceOver = true
	e.emit(LogEvent{Event: "leaving_grace_over"})
	for _, r := range e.runningRecords() {
		e.stop(r)
	}
}

// runningRecords returns the started tasks in the order of their identifiers.
func (e *Executor) runningRecords() []*record {
	var running []*record
	for _, r := range e.records {
		if r.phase == structs.TaskRunning {
			running = append(running, r)
		}
	}
	slices.SortFunc(running, func(a, b *record) int { return compareTasks(a.id, b.id) })
	return running
}

func compareTasks(a, b structs.TaskID) int {
	return cmp.Or(
		cmp.Compare(a.Job.Home, b.Job.Home),
		cmp.Compare(a.Job.Seq, b.Job.Seq),
		cmp.Compare(a.Index, b.Index),
	)
}

// checkDrained reports the end of a graceful stop, once.
func (e *Executor) checkDrained() {
	if !e.leaveRequested || e.drained || e.running > 0 || len(e.queue) > 0 {
		return
	}
	e.drained = true
	e.emit(Drained{})
}
