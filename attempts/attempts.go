// Package attempts decides what may be said about one run of a task when its agent gives
// the run up. A start of the run may be sent several times, and each copy may be carried
// out, rejected, or left without a reply and carried out late. A claim that the run has
// not started is a claim about all copies, at every incarnation of the backend server
// that any of them may have reached.
//
// At one incarnation of a server a run number starts at most once: a further copy does
// nothing, neither while the run is there nor after it has ended or was stopped. An
// incarnation that ends takes with it what it runs and what it would have carried out
// later. A call that is in flight meanwhile may reach the next one, which knows nothing of
// the run. The package does no I/O.
package attempts

import "fmt"

// Answer is what the end of a call proves about the start that the call carried.
type Answer uint8

// Answers.
const (
	// Unanswered means that there was no reply: the start may have been carried out, or
	// may be carried out later by the incarnation that has received it.
	Unanswered Answer = iota
	// Accepted means that the run is there.
	Accepted
	// Rejected means that the start has done nothing and never will. It proves nothing
	// about other copies.
	Rejected
)

// Verdict is what is certain about a run.
type Verdict uint8

// Verdicts.
const (
	// NeverStarted means that no copy has been carried out or ever will be.
	NeverStarted Verdict = iota
	// Over means that the run has or may have started, does not run any more, and will
	// not start again.
	Over
	// Open means that the run may be running or may still start.
	Open
)

var verdictNames = [...]string{"never_started", "over", "open"}

// String returns the name of the verdict as written to logs.
func (v Verdict) String() string { return verdictNames[v] }

// Log is the record of the starts of one run. The zero value has sent none. Incarnations of
// the server are numbered upwards; the known one is the newest that the agent has taken
// note of.
type Log struct {
	inFlight int // starts whose call has not ended
	// unanswered counts the starts whose call has ended without a reply and that may still
	// be carried out, or have been.
	unanswered int
	// runningAt is the incarnation that runs the run as far as is known; zero if none does.
	runningAt int64
	// mayHaveRun is set once the run has certainly or possibly started.
	mayHaveRun bool
}

// Sent records that a start was sent.
func (l *Log) Sent() { l.inFlight++ }

// Answered records the end of the call of a start. Incarnation is the one that replied.
func (l *Log) Answered(a Answer, incarnation int64) {
	l.inFlight = max(l.inFlight-1, 0)
	switch a {
	case Accepted:
		l.Listed(incarnation)
	case Unanswered:
		l.unanswered++
	}
}

// Listed records that an incarnation of the server has the run.
func (l *Log) Listed(incarnation int64) {
	l.runningAt, l.mayHaveRun = max(incarnation, l.runningAt), true
}

// Ended records that the run has ended at the known incarnation.
func (l *Log) Ended() {
	l.mayHaveRun = true
	l.close()
}

// Fenced records that the known incarnation does not have the run in a reply to a call that
// was made after a stop of the run was acknowledged there, so that no copy received before
// can start any more. Complete means that the reply listed all ends that were not known
// before: a run that had started and ended would have been among them.
func (l *Log) Fenced(complete bool) {
	l.mayHaveRun = l.mayHaveRun || !complete && l.Pending() > 0
	l.close()
}

// close records that the known incarnation does not have the run and cannot start it by a
// call that has ended.
func (l *Log) close() { l.runningAt, l.unanswered = 0, 0 }

// LeaseExpired records that every lease by the clock of the known incarnation has expired,
// and what ran under one has been stopped. Starts without a reply may have reached another
// incarnation, whose clock says nothing about these leases.
func (l *Log) LeaseExpired(known int64) {
	if l.runningAt <= known {
		l.runningAt = 0
	}
}

// LongestLeaseExpired records that since the last call ended so much time has passed that
// every incarnation has stopped whatever it ran.
func (l *Log) LongestLeaseExpired() {
	l.mayHaveRun = l.mayHaveRun || l.Pending() > 0
	l.close()
}

// ServerReplaced records that a newer incarnation of the server is the known one. Starts
// without a reply may have been carried out by either.
func (l *Log) ServerReplaced(known int64) {
	l.mayHaveRun = l.mayHaveRun || l.Pending() > 0
	if l.runningAt != known {
		l.runningAt = 0
	}
}

// RunningAt returns the incarnation that runs the run as far as is known; zero if none does.
func (l *Log) RunningAt() int64 { return l.runningAt }

// Verdict returns what is certain about the run.
func (l *Log) Verdict() Verdict {
	switch {
	case l.runningAt != 0 || l.Pending() > 0:
		return Open
	case l.mayHaveRun:
		return Over
	}
	return NeverStarted
}

// Pending returns the number of starts whose effect is unknown.
func (l *Log) Pending() int { return l.inFlight + l.unanswered }

// String summarizes the log.
func (l *Log) String() string {
	return fmt.Sprintf("verdict=%s in_flight=%d unanswered=%d may_have_run=%t", l.Verdict(), l.inFlight, l.unanswered, l.mayHaveRun)
}
