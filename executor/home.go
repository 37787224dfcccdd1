package executor

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// home is what is known of one run of an entry.
type home struct {
	jobs      map[uint64]*job
	lastHeard time.Time
	open      int  // queued and running tasks
	closed    bool // fenced: nothing starts any more

	// watermark: below it the home has settled every job.
	watermark uint64
	// floor: an unknown task of this job or an earlier one never starts here.
	floor uint64
	// forgotten: records of started tasks of this job or an earlier one were
	// dropped.
	forgotten uint64
}

// job is what is known of one job.
type job struct {
	records []*record
	// fences maps a task's index to the newest attempt that never starts here;
	// nor do the attempts before it.
	fences map[int]uint32
	// waited holds the tasks that were queued when their home was closed. Its
	// home had no evidence against their attempt, so no later one exists.
	waited map[int]struct{}
}

func homeFenced() *structs.Error {
	return structs.Errorf(structs.CodeHomeFenced, structs.NotRun, "the job's home is fenced")
}

// validIndex reports whether a task with the index can exist at all.
func validIndex(index int) bool { return index >= 0 && index < structs.MaxTasksPerJob }

// refusal says why an unknown task of the home's job may not start, or nil.
func (h *home) refusal(seq uint64) *structs.Error {
	switch {
	case seq <= h.forgotten:
		// Records at or below forgotten are gone, and the task may be one of
		// them. The home has settled the job, so it ignores this answer, but
		// it must not be false all the same.
		return structs.Errorf(structs.CodeExpired, structs.MayHaveRun, "the job is older than what is remembered")
	case h.closed:
		return homeFenced()
	case seq < h.watermark:
		return structs.Errorf(structs.CodeExpired, structs.NotRun, "the job is settled")
	case seq <= h.floor:
		return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "the agent's memory for tasks is full")
	}
	return nil
}

// homeOf returns the home, made if needed, or nil at the cap on homes.
func (e *Executor) homeOf(id structs.Incarnation, now time.Time) *home {
	if h := e.homes[id]; h != nil {
		return h
	}
	if len(e.homes) >= e.opts.MaxHomes || id == 0 {
		return nil
	}
	h := &home{jobs: make(map[uint64]*job), lastHeard: now}
	e.homes[id] = h
	return h
}

// heard notes a message from a home; it makes none.
func (e *Executor) heard(id structs.Incarnation, now time.Time) {
	if h := e.homes[id]; h != nil {
		h.lastHeard = now
	}
}

// jobOf returns the job, made if needed, or nil at the cap on jobs.
func (e *Executor) jobOf(h *home, seq uint64) *job {
	if j := h.jobs[seq]; j != nil {
		return j
	}
	if e.jobs >= e.opts.MaxJobs {
		return nil
	}
	j := &job{}
	h.jobs[seq] = j
	e.jobs++
	return j
}

// fence makes sure that an unknown attempt never starts.
func (e *Executor) fence(h *home, ref structs.TaskRef) {
	seq, index := ref.Task.Job.Seq, ref.Task.Index
	j := e.jobOf(h, seq)
	if j == nil {
		h.floor = max(h.floor, seq)
		return
	}
	newest, known := j.fences[index]
	if !known && e.fences >= e.opts.MaxFences {
		h.floor = max(h.floor, seq)
		return
	}
	if j.fences == nil {
		j.fences = make(map[int]uint32)
	}
	if !known {
		e.fences++
	}
	j.fences[index] = max(newest, ref.Attempt)
}

// isFenced reports whether the attempt is remembered as fenced.
func (h *home) isFenced(ref structs.TaskRef) bool {
	j := h.jobs[ref.Task.Job.Seq]
	return j != nil && ref.Attempt <= j.fences[ref.Task.Index]
}

// raiseWatermark drops what is known of settled jobs; an unknown home, nil, has
// none.
func (e *Executor) raiseWatermark(h *home, watermark uint64) {
	if h == nil || watermark <= h.watermark {
		return
	}
	low := h.watermark
	h.watermark = watermark
	if watermark-low <= uint64(len(h.jobs)) {
		for seq := low; seq < watermark; seq++ {
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

// dropJob forgets a settled job, but for its running tasks: each of them is
// dropped when it ends. Queued ones are refused.
func (e *Executor) dropJob(h *home, seq uint64) {
	j := h.jobs[seq]
	if j == nil {
		return
	}
	for _, r := range slices.Clone(j.records) {
		switch r.phase {
		case structs.TaskQueued:
			e.dropQueued(r, structs.Errorf(structs.CodeExpired, structs.NotRun, "the job is settled"))
		case structs.TaskDone:
			e.dropRecord(h, r)
		}
	}
	e.dropJobIfSettled(h, seq)
}

// dropJobIfSettled forgets a job below the watermark that has no records.
func (e *Executor) dropJobIfSettled(h *home, seq uint64) {
	j := h.jobs[seq]
	if j == nil || len(j.records) > 0 || seq >= h.watermark {
		return
	}
	delete(h.jobs, seq)
	e.jobs--
	e.fences -= len(j.fences)
}

// dropRecord forgets a finished task. Unless it is known not to have run, the
// home remembers that it forgot.
func (e *Executor) dropRecord(h *home, r *record) {
	e.results.remove(r)
	e.unlink(h, r)
	if r.result.Verdict != structs.NotRun {
		h.forgotten = max(h.forgotten, r.id.Job.Seq)
	}
}

// unlink takes a record out of the tables.
func (e *Executor) unlink(h *home, r *record) {
	delete(e.records, r.id)
	j := h.jobs[r.id.Job.Seq]
	if i := slices.Index(j.records, r); i >= 0 {
		j.records = slices.Delete(j.records, i, i+1)
	}
}

// compactQuietHomes drops the records of homes that have been silent for long
// and have nothing open. What they did so far is settled from then on.
func (e *Executor) compactQuietHomes(now time.Time) {
	for _, h := range e.homes {
		if h.open > 0 || len(h.jobs) == 0 || now.Sub(h.lastHeard) < e.opts.HomeIdleTimeout {
			continue
		}
		seqs := sortedSeqs(h)
		e.raiseWatermark(h, seqs[len(seqs)-1]+1)
	}
}
