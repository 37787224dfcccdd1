package executor

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// record is an accepted task. Its phase is TaskQueued, TaskRunning or TaskDone;
// fenced tasks are kept in their job.
type record struct {
	id       structs.TaskID
	attempt  uint32 // that was accepted
	newest   uint32 // that was asked about; its outcome is the task's
	jobTasks int
	content  [16]byte
	phase    structs.TaskPhase
	spec     structs.TaskSpec // until done
	team     string
	deadline time.Time
	waiters  []CallID
	stopping bool

	result      structs.TaskResult // once done
	serviceTime time.Duration

	// Neighbours in the list of kept results.
	older, newer *record
	kept         bool
}

// asked notes that an attempt gets the outcome of this record.
func (r *record) asked(attempt uint32) { r.newest = max(r.newest, attempt) }

// fenceRef names the attempts that are fenced if the task does not run.
func (r *record) fenceRef() structs.TaskRef { return structs.TaskRef{Task: r.id, Attempt: r.newest} }

// payloadSize returns the bytes of the task's submission.
func (r *record) payloadSize() int { return specSize(&r.spec) }

func specSize(s *structs.TaskSpec) int {
	return len(s.Payload) + len(s.Kind) + len(s.ContentType)
}

func resultSize(r *structs.TaskResult) int {
	n := len(r.Body) + len(r.ContentType)
	if r.Error != nil {
		n += len(r.Error.Message)
	}
	return n
}

// results is the list of kept results, oldest first, with their size.
type results struct {
	oldest, newest *record
	bytes          int
}

func (l *results) add(r *record) {
	r.kept = true
	r.older = l.newest
	if l.newest != nil {
		l.newest.newer = r
	} else {
		l.oldest = r
	}
	l.newest = r
	l.bytes += resultSize(&r.result)
}

func (l *results) remove(r *record) {
	if !r.kept {
		return
	}
	if r.older != nil {
		r.older.newer = r.newer
	} else {
		l.oldest = r.newer
	}
	if r.newer != nil {
		r.newer.older = r.older
	} else {
		l.newest = r.older
	}
	r.older, r.newer, r.kept = nil, nil, false
	l.bytes -= resultSize(&r.result)
}

// shrink replaces the oldest results by their verdicts until the rest fits.
func (l *results) shrink(limit int) {
	for l.bytes > limit && l.oldest != nil {
		r := l.oldest
		l.remove(r)
		r.result = lostResult(&r.result)
	}
}

// lostResult is what is left of a dropped result.
func lostResult(r *structs.TaskResult) structs.TaskResult {
	lost := structs.TaskResult{Index: r.Index, Verdict: r.Verdict}
	if r.Error != nil {
		lost.Error = structs.Errorf(r.Error.Code, r.Verdict, "the message was dropped to bound memory")
		return lost
	}
	lost.Error = structs.Errorf(structs.CodeResultLost, r.Verdict, "the result was dropped to bound memory")
	return lost
}
