package structs

import (
	"fmt"
	"strconv"
	"strings"
)

// Incarnation identifies one run of one process. It is drawn at random at each
// start, so that a restarted process is not mistaken for its earlier run. Zero is
// not a valid incarnation.
type Incarnation uint64

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// MarshalText implements encoding.TextMarshaler.
func (i Incarnation) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// zeroIncarnation is the text form of an incarnation that is not set, for example
// in the state of an agent that has not sent one yet.
var zeroIncarnation = Incarnation(0).String()

// UnmarshalText implements encoding.TextUnmarshaler. Unlike ParseIncarnation,
// it accepts zero, which MarshalText writes for a field that is not set.
func (i *Incarnation) UnmarshalText(text []byte) error {
	if string(text) == zeroIncarnation {
		*i = 0
		return nil
	}
	v, err := ParseIncarnation(string(text))
	if err != nil {
		return err
	}
	*i = v
	return nil
}

// incarnationDigits is the length of an incarnation's text form.
const incarnationDigits = 16

// ParseIncarnation parses the text form of an incarnation.
func ParseIncarnation(s string) (Incarnation, error) {
	if len(s) != incarnationDigits {
		return 0, fmt.Errorf("incarnation %q: want %d hexadecimal digits", s, incarnationDigits)
	}
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("incarnation %q: want %d hexadecimal digits", s, incarnationDigits)
	}
	if v == 0 {
		return 0, fmt.Errorf("incarnation %q: zero is not a valid incarnation", s)
	}
	return Incarnation(v), nil
}

// JobID identifies a job. Home is the incarnation of the entry that reserved the
// id. Only that process places the job's tasks. Seq is the sequence number of the
// id at its home.
type JobID struct {
	Home Incarnation
	Seq  uint64
}

// String returns the id as "<home>-<seq>".
func (id JobID) String() string { return id.Home.String() + "-" + strconv.FormatUint(id.Seq, 10) }

// MarshalText implements encoding.TextMarshaler.
func (id JobID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *JobID) UnmarshalText(text []byte) error {
	v, err := ParseJobID(string(text))
	if err != nil {
		return err
	}
	*id = v
	return nil
}

// ParseJobID parses the text form of a job id.
func ParseJobID(s string) (JobID, error) {
	home, seq, ok := strings.Cut(s, "-")
	if !ok {
		return JobID{}, fmt.Errorf("job id %q: want <home>-<sequence>", s)
	}
	h, err := ParseIncarnation(home)
	if err != nil {
		return JobID{}, fmt.Errorf("job id %q: %w", s, err)
	}
	n, err := strconv.ParseUint(seq, 10, 64)
	if err != nil || n == 0 || strconv.FormatUint(n, 10) != seq {
		return JobID{}, fmt.Errorf("job id %q: sequence must be a positive decimal number", s)
	}
	return JobID{Home: h, Seq: n}, nil
}

// TaskID identifies one task of a job by its index in the submission.
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the id as "<job>/<index>".
func (id TaskID) String() string { return id.Job.String() + "/" + strconv.Itoa(id.Index) }

// MarshalText implements encoding.TextMarshaler.
func (id TaskID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *TaskID) UnmarshalText(text []byte) error {
	job, index, ok := strings.Cut(string(text), "/")
	if !ok {
		return fmt.Errorf("task id %q: want <job>/<index>", text)
	}
	j, err := ParseJobID(job)
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(index)
	if err != nil || n < 0 {
		return fmt.Errorf("task id %q: index must be a non-negative number", text)
	}
	*id = TaskID{Job: j, Index: n}
	return nil
}
