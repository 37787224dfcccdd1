package executor

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// home is the agent's state for one incarnation of an entry. Jobs are compared by
// their sequence number.
type home struct {
	jobs        map[uint64]*job
	lastContact time.Time
	openTasks   int  // queued and running tasks
	closed      bool // fenced by another entry: no further task of it starts here

	// watermark is the sequence below which every job counts as settled: the
	// home has reported it, or compactIdleHomes has dropped the home's jobs.
	watermark uint64
	// floor is the sequence up to which a task without a record is refused. It
	// replaces fences that the limits leave no space for.
	floor uint64
	// forgotten is the highest sequence of which a record of a task that may
	// have run was dropped. Up to it, a task without a record may have run.
	forgotten uint64
}

// job is the agent's state for one job.
type job struct {
	records []*record
	// fences maps the index of a task to its newest fenced attempt. That attempt
	// and the ones before it never start here.
	fences map[int]uint32
	// queuedAtClose holds the indexes of the tasks that were queued when their
	// home was closed. The home had no evidence that their attempt would not
	// run, so it has not placed them again and no later attempt exists.
	queuedAtClose map[int]struct{}
}

func homeFencedError() *structs.Error {
	return structs.Errorf(structs.CodeHomeFenced, structs.NotRun, "the job's home entry is fenced at this agent")
}

// validTaskIndex reports whether a job can have a task with the index.
func validTaskIndex(index int) bool { return index >= 0 && index < structs.MaxTasksPerJob }

// refusal returns why a task without a record may not start if its job has the
// sequence seq, or nil.
func (h *home) refusal(seq uint64) *structs.Error {
	switch {
	case seq <= h.forgotten:
		// The task's record may be one of those that were dropped, so NotRun could
		// be false. A home that has settled the job ignores this answer, but after
		// compactIdleHomes the home may still depend on it.
		return structs.Errorf(structs.CodeExpired, structs.MayHaveRun, "records of the job may have been dropped; the task may have run")
	case h.closed:
		return homeFencedError()
	case seq < h.watermark:
		return structs.Errorf(structs.CodeExpired, structs.NotRun, "the job is already settled")
	case seq <= h.floor:
		return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "the agent reached its limit of fences and refuses tasks of this job without a record")
	}
	return nil
}

// getOrCreateHome returns the home, or nil if it does not exist and the limit on
// homes is reached.
func (e *Executor) getOrCreateHome(id structs.Incarnation, now time.Time) *home {
	if h := e.homes[id]; h != nil {
		return h
	}
	if len(e.homes) >= e.opts.MaxHomes || id == 0 {
		return nil
	}
	h := &home{jobs: make(map[uint64]*job), lastContact: now}
	e.homes[id] = h
	return h
}

// updateLastContact records the time of a message from a home. It does not
// create the home.
func (e *Executor) updateLastContact(id structs.Incarnation, now time.Time) {
	if h := e.homes[id]; h != nil {
		h.lastContact = now
	}
}

// getOrCreateJob returns the job, or nil if it does not exist and the limit on
// jobs is reached.
func (e *Executor) getOrCreateJob(h *home, seq uint64) *job {
	if j := h.jobs[seq]; j != nil {
		return j
	}
	if e.jobCount >= e.opts.MaxJobs {
		return nil
	}
	j := &job{}
	h.jobs[seq] = j
	e.jobCount++
	return j
}

// fenceAttempt makes sure that an attempt of a task without a record, and every
// attempt before it, never starts. If a limit leaves no space for the fence, it
// raises the home's floor to the job instead.
func (e *Executor) fenceAttempt(h *home, ref structs.TaskRef) {
	seq, index := ref.Task.Job.Seq, ref.Task.Index
	j := e.getOrCreateJob(h, seq)
	if j == nil {
		h.floor = max(h.floor, seq)
		return
	}
	fenced, exists := j.fences[index]
	if !exists && e.fenceCount >= e.opts.MaxFences {
		h.floor = max(h.floor, seq)
		return
	}
	if j.fences == nil {
		j.fences = make(map[int]uint32)
	}
	if !exists {
		e.fenceCount++
	}
	j.fences[index] = max(fenced, ref.Attempt)
}

// isFenced reports whether there is a fence for the attempt.
func (h *home) isFenced(ref structs.TaskRef) bool {
	j := h.jobs[ref.Task.Job.Seq]
	return j != nil && ref.Attempt <= j.fences[ref.Task.Index]
}

// raiseWatermark raises the home's watermark and drops the state of the jobs
// that are settled by it. A nil home has no state.
func (e *Executor) raiseWatermark(h *home, watermark uint64) {
	if h == nil || watermark <= h.watermark {
		return
	}
	previous := h.watermark
	h.watermark = watermark
	if watermark-previous <= uint64(len(h.jobs)) {
		for seq := previous; seq < watermark; seq++ {
			e.dropJob(h, seq)
		}
		return
	}
	for _, seq := range sortedSeqs(h) {
		if seq < watermark {
			e.dropJob(h, seq)
		}
	}
}

func sortedSeqs(h *home) []uint64 {
	seqs := make([]uint64, 0, len(h.jobs))
	for seq := range h.jobs {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	return seqs
}

// dropJob drops the state of a settled job and refuses its queued tasks. The
// record of a running task stays until the task ends.
func (e *Executor) dropJob(h *home, seq uint64) {
	j := h.jobs[seq]
	if j == nil {
		return
	}
	for _, r := range slices.Clone(j.records) {
		switch r.phase {
		case structs.TaskQueued:
			e.dropQueued(r, structs.Errorf(structs.CodeExpired, structs.NotRun, "the job is already settled"))
		case structs.TaskDone:
			e.dropRecord(h, r)
		}
	}
	e.dropJobIfSettled(h, seq)
}

// dropJobIfSettled removes a job that is below the watermark and has no records.
func (e *Executor) dropJobIfSettled(h *home, seq uint64) {
	j := h.jobs[seq]
	if j == nil || len(j.records) > 0 || seq >= h.watermark {
		return
	}
	delete(h.jobs, seq)
	e.jobCount--
	e.fenceCount -= len(j.fences)
}

// dropRecord drops the record of a finished task. If the task may have run, it
// raises the home's forgotten sequence, so that the task is not reported as
// NotRun afterwards.
func (e *Executor) dropRecord(h *home, r *record) {
	e.results.remove(r)
	e.unlink(h, r)
	if r.result.Verdict != structs.NotRun {
		h.forgotten = max(h.forgotten, r.id.Job.Seq)
	}
}

// unlink removes a record from the executor's and its job's records.
func (e *Executor) unlink(h *home, r *record) {
	delete(e.records, r.id)
	j := h.jobs[r.id.Job.Seq]
	if i := slices.Index(j.records, r); i >= 0 {
		j.records = slices.Delete(j.records, i, i+1)
	}
}

// compactIdleHomes drops the job state of homes that have sent nothing for
// HomeIdleTimeout and have no open task. It raises the watermark above their
// last job, so these jobs count as settled from then on.
func (e *Executor) compactIdleHomes(now time.Time) {
	for _, h := range e.homes {
		if h.openTasks > 0 || len(h.jobs) == 0 || now.Sub(h.lastContact) < e.opts.HomeIdleTimeout {
			continue
		}
		seqs := sortedSeqs(h)
		e.raiseWatermark(h, seqs[len(seqs)-1]+1)
	}
}
