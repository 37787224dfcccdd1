package structs

import "time"

// Limits on a submission that hold for every service; a service's document can
// only narrow them.
const (
	MaxTasksPerJob  = 890
	MaxPayloadBytes = 256 << 10 // per task
	MaxJobBytes     = 8 << 20   // all payloads of a job together
	MaxResultBytes  = 256 << 10 // per task
)

// TaskSpec is one task as submitted. Payload is opaque to the system.
type TaskSpec struct {
	Kind        string `json:"kind,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Payload     []byte `json:"payload,omitempty"` // base64 in JSON
	// Declared is the caller's estimate of the run time; zero if unknown. It
	// is a hint and may be far off.
	Declared time.Duration `json:"declared_ns,omitempty"`
}

// JobSpec is a job as submitted.
type JobSpec struct {
	Service string     `json:"service"`
	Team    string     `json:"team"`
	Tasks   []TaskSpec `json:"tasks"`
	// Timeout bounds the job from its admission; zero takes the default.
	Timeout time.Duration `json:"timeout_ns,omitempty"`
}

// PayloadBytes returns the size of all payloads together.
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

// Final reports whether the state never changes again.
func (s JobState) Final() bool { return s == JobComplete || s == JobFailed }

// TaskResult is the outcome of one task.
type TaskResult struct {
	Index       int     `json:"index"`
	Verdict     Verdict `json:"verdict"`
	ContentType string  `json:"content_type,omitempty"`
	Body        []byte  `json:"body,omitempty"` // base64 in JSON
	Error       *Error  `json:"error,omitempty"`
}

// JobAnswer is what a caller gets of a job. A complete job has every result in
// order of submission. A failed one has every task's verdict and no result. A
// running one has neither.
type JobAnswer struct {
	ID      JobID        `json:"id"`
	Service string       `json:"service"`
	State   JobState     `json:"state"`
	Results []TaskResult `json:"results,omitempty"`
	Error   *Error       `json:"error,omitempty"`
	// Done is the number of finished tasks, for progress.
	Done  int `json:"done"`
	Total int `json:"total"`
}
