package executor

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// record is an admitted task. Its phase is TaskQueued, TaskRunning or TaskDone.
// Fenced tasks have no record; their fence is kept in the job.
type record struct {
	id            structs.TaskID
	attempt       uint32 // the admitted attempt
	newest        uint32 // the newest attempt that was asked for; it shares the outcome
	jobTasks      int
	content       [16]byte
	phase         structs.TaskPhase
	spec          structs.TaskSpec // zero once the task is done
	team          string
	deadline      time.Time
	waiters       []CallID // calls that wait for the end of the task, oldest first
	stopRequested bool

	result      structs.TaskResult // set once the task is done
	serviceTime time.Duration

	// Links of resultList.
	older, newer *record
	retained     bool
}

// raiseNewest records that an attempt gets the outcome of this record.
func (r *record) raiseNewest(attempt uint32) { r.newest = max(r.newest, attempt) }

// fenceRef returns the newest attempt to fence if the task does not run.
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

// resultList is a linked list of the records whose results are retained, oldest
// first, with the total size of these results.
type resultList struct {
	oldest, newest *record
	bytes          int
}

func (l *resultList) add(r *record) {
	r.retained = true
	r.older = l.newest
	if l.newest != nil {
		l.newest.newer = r
	} else {
		l.oldest = r
	}
	l.newest = r
	l.bytes += resultSize(&r.result)
}

func (l *resultList) remove(r *record) {
	if !r.retained {
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
	r.older, r.newer, r.retained = nil, nil, false
	l.bytes -= resultSize(&r.result)
}

// evictOldest evicts the oldest results until the rest fits into limit bytes.
// Their records keep the verdict.
func (l *resultList) evictOldest(limit int) {
	for l.bytes > limit && l.oldest != nil {
		r := l.oldest
		l.remove(r)
		r.result = evictedResult(&r.result)
	}
}

// evictedResult returns what remains of an evicted result: its verdict, and the
// code of its error or CodeResultLost.
func evictedResult(r *structs.TaskResult) structs.TaskResult {
	evicted := structs.TaskResult{Index: r.Index, Verdict: r.Verdict}
	if r.Error != nil {
		evicted.Error = structs.Errorf(r.Error.Code, r.Verdict, "message evicted to limit memory use")
		return evicted
	}
	evicted.Error = structs.Errorf(structs.CodeResultLost, r.Verdict, "result evicted to limit memory use")
	return evicted
}
