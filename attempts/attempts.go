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

// Unnamed stands for an incarnation of the server that is not known: a reply does not say
// which one has accepted a start.
const Unnamed int64 = -1

// Log is the record of the starts of one run. The zero value has sent none. Incarnations of
// the server are numbered upwards; the known one is the newest that the agent has taken
// note of. At most one start is in flight at a time.
//
// A list of runs is later than the starts if it was asked for after the call of the last
// start had ended. It then proves that the incarnation that made it was alive by that time,
// so that no start can have reached a newer one.
type Log struct {
	inFlight bool // the call of a start has not ended
	// crossed is set if the server was replaced while the start was in flight.
	crossed bool
	// unanswered is set if a start without a reply may still be carried out, or was, and
	// nothing more is known of it.
	unanswered bool
	// runningAt is the incarnation that has the run as far as is known, or Unnamed; zero if
	// none has.
	runningAt int64
	endedAt   int64 // newest incarnation that has listed the end of the run; zero if none has
	// mayHaveRun is set once the run has certainly or possibly started.
	mayHaveRun bool
}

// Sent records that a start was sent.
func (l *Log) Sent() { l.inFlight = true }

// Answered records the end of the call of the start in flight. Incarnation is the one that
// replied, or Unnamed.
func (l *Log) Answered(a Answer, incarnation int64) {
	crossed := l.crossed
	l.inFlight, l.crossed = false, false
	switch a {
	case Accepted:
		// A copy whose call had ended before is at the same incarnation, or went with an
		// earlier one.
		l.runningAt, l.mayHaveRun, l.unanswered = incarnation, true, false
	case Unanswered:
		l.unanswered = true
		l.mayHaveRun = l.mayHaveRun || crossed
	}
}

// Listed records that the known incarnation lists the run as running.
func (l *Log) Listed(known int64, later bool) {
	l.mayHaveRun = true
	switch {
	case later:
		l.runningAt, l.unanswered = known, false
	case l.runningAt != Unnamed && l.runningAt < known:
		l.runningAt = known
	}
}

// NumberUsed records that an incarnation, or Unnamed, has rejected a start because its run
// number was used before, while an earlier copy has no reply: that copy may have used it, and
// cannot start the run any more.
func (l *Log) NumberUsed(incarnation int64) {
	l.mayHaveRun, l.unanswered = true, false
	l.runningAt = Unnamed
	if incarnation == l.endedAt {
		l.runningAt = 0
	}
}

// Ended records that the known incarnation lists the end of the run.
func (l *Log) Ended(known int64, later bool) {
	l.mayHaveRun, l.endedAt = true, known
	if later || l.runningAt == known && !l.unanswered && !l.inFlight {
		l.runningAt, l.unanswered = 0, false
	}
}

// Missing records that the known incarnation lists neither the run nor its end. Fenced means
// that the list was asked for after this incarnation had acknowledged a stop of the run, so
// that no start received before can be carried out any more. Complete means that the end of
// the run would have been listed.
func (l *Log) Missing(later, fenced, complete bool) {
	if !later {
		return
	}
	l.runningAt = 0
	if fenced {
		l.mayHaveRun = l.mayHaveRun || l.unanswered && !complete
		l.unanswered = false
	}
}

// LeaseExpired records that every lease by the clock of the known incarnation has expired,
// and what ran under one has been stopped. Starts without a reply may have reached another
// incarnation, whose clock says nothing about these leases.
func (l *Log) LeaseExpired(known int64) {
	if l.runningAt == known {
		l.runningAt = 0
	}
}

// LongestLeaseExpired records that since the last call for a lease ended so much time has
// passed that every incarnation has stopped whatever it ran.
func (l *Log) LongestLeaseExpired() {
	l.mayHaveRun = l.mayHaveRun || l.unanswered
	l.runningAt, l.unanswered = 0, false
}

// ServerReplaced records that a newer incarnation of the server is the known one. Starts
// without a reply may have been carried out by either.
func (l *Log) ServerReplaced(known int64) {
	l.mayHaveRun = l.mayHaveRun || l.unanswered
	l.crossed = l.inFlight
	if l.runningAt != Unnamed && l.runningAt < known {
		l.runningAt = 0
	}
}

// RunningAt returns the incarnation that has the run as far as is known, or Unnamed; zero if
// none has.
func (l *Log) RunningAt() int64 { return l.runningAt }

// Verdict returns what is certain about the run.
func (l *Log) Verdict() Verdict {
	switch {
	case l.runningAt != 0 || l.unanswered || l.inFlight:
		return Open
	case l.mayHaveRun:
		return Over
	}
	return NeverStarted
}

// String summarizes the log.
func (l *Log) String() string {
	return fmt.Sprintf("verdict=%s in_flight=%t unanswered=%t may_have_run=%t", l.Verdict(), l.inFlight, l.unanswered, l.mayHaveRun)
}
