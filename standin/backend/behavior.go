package backend

import "fmt"

// Mode is how a Server treats a task. To start a task, the server waits for a
// free slot and records the start.
type Mode string

// Modes.
const (
	ModeWork          Mode = "work"      // start, work, then answer 200
	ModeStall         Mode = "stall"     // start, wait until the behavior is set again, work, then answer 200
	ModeFail          Mode = "fail"      // start, then answer 500 without working
	ModeFailSlow      Mode = "fail_slow" // start, work, then answer 500
	ModeDropAtStart   Mode = "cut"       // start, then close the connection without working or answering
	ModeDropAfterWork Mode = "deaf"      // start, work, then close the connection without answering
	ModeDecline       Mode = "decline"   // answer 503 with the verdict not-run, without starting
	ModeRefuse        Mode = "refuse"    // answer 503 without a verdict, without starting
)

var validModes = map[Mode]bool{
	ModeWork: true, ModeStall: true, ModeFail: true, ModeFailSlow: true,
	ModeDropAtStart: true, ModeDropAfterWork: true, ModeDecline: true, ModeRefuse: true,
}

// Behavior is how a Server treats tasks.
type Behavior struct {
	Mode Mode `json:"mode"`
	// Share is the share of tasks, chosen at random, that Mode applies to; the
	// others are treated as in ModeWork. Zero means 1.
	Share float64 `json:"share,omitempty"`
	Speed float64 `json:"speed,omitempty"` // zero leaves the speed unchanged
}

// Validate returns an error if the behavior is invalid.
func (b *Behavior) Validate() error {
	if !validModes[b.Mode] {
		return fmt.Errorf("unknown mode %q", b.Mode)
	}
	if b.Share < 0 || b.Share > 1 {
		return fmt.Errorf("share %v: want 0 to 1", b.Share)
	}
	if b.Speed < 0 {
		return fmt.Errorf("speed %v: want a positive number, or zero to leave it unchanged", b.Speed)
	}
	return nil
}
