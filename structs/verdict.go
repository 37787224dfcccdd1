package structs

import "fmt"

// Verdict says whether a task may have started on a backend server.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the task has started. It is
	// the zero value, so that a verdict that was not set is not mistaken for
	// evidence.
	MayHaveRun Verdict = iota
	// NotRun means that the task has not started and never will under this id. In
	// an agent's reply it covers only the attempt asked for and the ones before
	// it.
	NotRun
	// Ran means that the task has started.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

// String returns "may_have_run", "not_run" or "ran".
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
	return verdictNames[v]
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	if int(v) >= len(verdictNames) {
		return nil, fmt.Errorf("unknown verdict %d", uint8(v))
	}
	return []byte(verdictNames[v]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Combine returns the verdict for two tasks together: Ran if either is Ran,
// otherwise MayHaveRun if either is MayHaveRun, otherwise NotRun.
func (v Verdict) Combine(w Verdict) Verdict {
	if v == Ran || w == Ran {
		return Ran
	}
	if v == MayHaveRun || w == MayHaveRun {
		return MayHaveRun
	}
	return NotRun
}
