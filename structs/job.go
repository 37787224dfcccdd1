package structs

import "time"

// Limits that apply to every service. A service's document can set lower limits
// but not higher ones.
const (
	MaxTasksPerJob  = 890
	MaxPayloadBytes = 256 << 10 // per task
	MaxJobBytes     = 8 << 20   // sum of the payloads of a job
	MaxResultBytes  = 256 << 10 // per task
)

// TaskSpec is a task as submitted. The system does not interpret Payload.
type TaskSpec struct {
	Kind        string `json:"kind,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Payload     []byte `json:"payload,omitempty"` // base64 in JSON
	// Declared is the caller's estimate of the run time; zero if unknown. It is
	// only a hint and may be inaccurate.
	Declared time.Duration `json:"declared_ns,omitempty"`
}

// JobSpec is a job as submitted.
type JobSpec struct {
	Service string     `json:"service"`
	Team    string     `json:"team"`
	Tasks   []TaskSpec `json:"tasks"`
	// Timeout limits the time from the admission of the job to its end; zero
	// selects the default.
	Timeout time.Duration `json:"timeout_ns,omitempty"`
}

// PayloadBytes returns the total size of the payloads.
func (s *JobSpec) PayloadBytes() int {
	n := 0
	for i := range s.Tasks {
		n += len(s.Tasks[i].Payload)
	}
	return n
}

// JobState is the state of a job.
type JobState string

// Job states. Complete and Failed are final.
const (
	JobRunning  JobState = "running"
	JobComplete JobState = "complete"
	JobFailed   JobState = "failed"
)

// Final reports whether the state can no longer change.
func (s JobState) Final() bool { return s == JobComplete || s == JobFailed }

// TaskResult is the outcome of one task.
type TaskResult struct {
	Index       int     `json:"index"`
	Verdict     Verdict `json:"verdict"`
	ContentType string  `json:"content_type,omitempty"`
	Body        []byte  `json:"body,omitempty"` // base64 in JSON
	Error       *Error  `json:"error,omitempty"`
}

// JobAnswer reports the state of a job to a caller. Results of a complete job
// holds the result of every task in order of submission. Results of a failed job
// holds only the verdicts and errors of its tasks. It is empty for a running job.
type JobAnswer struct {
	ID      JobID        `json:"id"`
	Service string       `json:"service"`
	State   JobState     `json:"state"`
	Results []TaskResult `json:"results,omitempty"`
	Error   *Error       `json:"error,omitempty"`
	// Done is the number of finished tasks, to show progress.
	Done  int `json:"done"`
	Total int `json:"total"`
}
