package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// updateLeaving starts or ends leaving, as LeaveRequested and the document
// demand. When leaving starts, the queued tasks are refused so that their homes
// place them at other backend servers.
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

// updateGrace stops the running tasks once the grace period that the document
// sets for a leaving backend server has passed. A graceful shutdown of the agent, by
// LeaveRequested, has no grace period and waits for its running tasks.
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

// runningRecords returns the running tasks, ordered by identifier so that effects
// are deterministic.
func (e *Executor) runningRecords() []*record {
	var running []*record
	for _, r := range e.records {
		if r.phase == structs.TaskRunning {
			running = append(running, r)
		}
	}
	slices.SortFunc(running, func(a, b *record) int { return compareTaskIDs(a.id, b.id) })
	return running
}

func compareTaskIDs(a, b structs.TaskID) int {
	return cmp.Or(
		cmp.Compare(a.Job.Home, b.Job.Home),
		cmp.Compare(a.Job.Seq, b.Job.Seq),
		cmp.Compare(a.Index, b.Index),
	)
}

// checkDrained emits Drained, once, when a graceful shutdown is complete.
func (e *Executor) checkDrained() {
	if !e.leaveRequested || e.drained || e.running > 0 || len(e.queue) > 0 {
		return
	}
	e.drained = true
	e.emit(Drained{})
}
