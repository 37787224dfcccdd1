package coordinator

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// noTask is the LogEvent.Task of an event that does not concern a single task.
const noTask = -1

// phase is the state of a task as its home sees it.
type phase uint8

const (
	// waiting: in the service's queue, or delayed by its retry budget.
	waiting phase = iota
	// placed: a Run or Await is outstanding at the agent.
	placed
	// inDoubt: the connection broke; the agent may or may not have the task.
	inDoubt
	// done: the outcome is final.
	done
)

type task struct {
	phase   phase
	attempt uint32
	agent   structs.Incarnation // set while placed or inDoubt
	result  structs.TaskResult  // set once done
}

// job is a job whose home is this entry.
type job struct {
	id          structs.JobID
	service     *service
	team        string
	taskSpecs   []structs.TaskSpec // nil once final
	fingerprint [16]byte
	deadline    time.Time

	tasks      []task
	unfinished int // number of tasks that are not done
	// failure is set as soon as the job cannot complete.
	failure *structs.Error
	// verdictDeadline is when a failing job stops waiting for verdicts.
	verdictDeadline time.Time
	state           structs.JobState
	finalAt         time.Time
	memoryBytes     int // payloads and results in memory; counted in Coordinator.heldBytes
	waiters         []CallID
}

func (j *job) ref(index int) structs.TaskRef {
	return structs.TaskRef{
		Task:    structs.TaskID{Job: j.id, Index: index},
		Attempt: j.tasks[index].attempt,
	}
}

// finalBy reports whether the job was final at t.
func (j *job) finalBy(t time.Time) bool {
	return j.state.Final() && !j.finalAt.After(t)
}

// answer returns the job's answer in its current state.
func (j *job) answer() *structs.JobAnswer {
	a := &structs.JobAnswer{
		ID:    j.id,
		State: j.state,
		Error: j.failure,
		Done:  len(j.tasks) - j.unfinished,
		Total: len(j.tasks),
	}
	if j.service != nil {
		a.Service = j.service.name
	}
	if !j.state.Final() {
		a.Error = nil
		return a
	}
	a.Results = make([]structs.TaskResult, len(j.tasks))
	for i := range j.tasks {
		a.Results[i] = j.tasks[i].result
	}
	return a
}

// allSucceeded reports whether every task has a result. A job that was canceled
// or timed out can still reach this state; it is then complete, because another
// entry may already have recovered it as complete.
func (j *job) allSucceeded() bool {
	for i := range j.tasks {
		if j.tasks[i].phase != done || j.tasks[i].result.Error != nil {
			return false
		}
	}
	return true
}

// verdict returns the combined verdict of all tasks.
func (j *job) verdict() structs.Verdict {
	v := structs.NotRun
	for i := range j.tasks {
		v = v.Combine(j.tasks[i].result.Verdict)
	}
	return v
}

// fingerprint returns a hash of the content of a submission.
func fingerprint(s *structs.JobSpec) [16]byte {
	h := fnv.New128a()
	field := func(b []byte) {
		h.Write(strconv.AppendInt(nil, int64(len(b)), 10))
		h.Write([]byte{':'})
		h.Write(b)
	}
	field([]byte(s.Service))
	field([]byte(s.Team))
	field(strconv.AppendInt(nil, int64(s.Timeout), 10))
	for i := range s.Tasks {
		t := &s.Tasks[i]
		field([]byte(t.Kind))
		field([]byte(t.ContentType))
		field(t.Payload)
		field(strconv.AppendInt(nil, int64(t.Declared), 10))
	}
	var sum [16]byte
	h.Sum(sum[:0])
	return sum
}
