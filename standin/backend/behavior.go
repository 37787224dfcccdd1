package backend

import "fmt"

// Mode is what a Server does with a task that has got a slot.
type Mode string

// Modes.
const (
	ModeWork          Mode = "work"      // work, then answer
	ModeStall         Mode = "stall"     // start, and answer only once the mode is another
	ModeFail          Mode = "fail"      // start, and answer 500 at once
	ModeFailSlow      Mode = "fail_slow" // work, then answer 500
	ModeDropAtStart   Mode = "cut"       // start, then close the connection without an answer
	ModeDropAfterWork Mode = "deaf"      // work, then close the connection without an answer
	ModeDecline       Mode = "decline"   // answer 503 not-run, without a start
	ModeRefuse        Mode = "refuse"    // answer 503 without a verdict, without a start
)

var modes = map[Mode]bool{
	ModeWork: true, ModeStall: true, ModeFail: true, ModeFailSlow: true,
	ModeDropAtStart: true, ModeDropAfterWork: true, ModeDecline: true, ModeRefuse: true,
}

// Behavior is how a Server treats tasks.
type Behavior struct {
	Mode Mode `json:"mode"`
	// Share is the part of the tasks that Mode applies to, drawn at random; the
	// others work. Zero counts as 1.
	Share float64 `json:"share,omitempty"`
	Speed float64 `json:"speed,omitempty"` // zero leaves it as it is
}

// Validate reports a behavior that makes no sense.
func (b *Behavior) Validate() error {
	if !modes[b.Mode] {
		return fmt.Errorf("unknown mode %q", b.Mode)
	}
	if b.Share < 0 || b.Share > 1 {
		return fmt.Errorf("share %v: want 0 to 1", b.Share)
	}
	if b.Speed < 0 {
		return fmt.Errorf("speed %v: want a positive number", b.Speed)
	}
	return nil
}
