// Package dispatch is the state machine of an entry for jobs that their callers
// name and that are answered when they have ended. It decides what to take and
// where tasks go, repeats what failed, and stops what nobody waits for.
//
// A job lives at the entry that got it. Its tasks are placed under sessions
// (package session) with agents; a task is placed again only after a report
// that its last placement has ended, or when that placement must have ended
// because its session did.
package dispatch

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Options are the settings of a Dispatcher.
type Options struct {
	Entry       string
	Incarnation structs.Incarnation
	Zone        string
	// Started is when the entry started; zero if long ago. See HoldTime.
	Started time.Time
	// InDoubtTimeout is how long a placement may still run after the last word of
	// its agent: the life of a session, and of a lease that was renewed last
	// under it.
	InDoubtTimeout time.Duration
	// AnswerRetention is how long the answer of an ended job is kept for a copy of
	// its submission.
	AnswerRetention time.Duration
}

// DefaultAnswerRetention covers copies that arrive seconds after the answer.
const DefaultAnswerRetention = 15 * time.Second

// HoldTimeout is how long an entry that has just started, or has been suspended,
// holds jobs while it has no agent, or no configuration: sessions are open some
// 50 ms after the agents' addresses are known, and those take two calls to the
// store.
const HoldTimeout = 300 * time.Millisecond

const (
	// lateFactor times its objective is when the answer of a job is worth
	// nothing any more, by the platform's terms. A job that is not expected to
	// end by then is not taken; one that was taken is carried through until its
	// caller goes, for estimates are off.
	lateFactor = 3
	// hopOverhead is the expected time that a job takes beside the work: both
	// ways between entry, agent and server, as measured on a calm day.
	hopOverhead = 8 * time.Millisecond
	// crossZone is the expected extra time to an agent of another availability
	// zone and back.
	crossZone = 3 * time.Millisecond
	// staleAfter is how old the newest state of an agent may be for it to get
	// tasks: the life of a session. The agent ends an older one, or this entry
	// was suspended.
	staleAfter = 450 * time.Millisecond
	// maxBacklog is how long all servers may work on what waits before only jobs
	// are taken for which there is room at once: half of the time in which the
	// answer of a short job is worth something. Beyond it, those that wait are
	// passed by newer ones until their callers go.
	maxBacklog = 250 * time.Millisecond
	// sureMargin and sureShare of its run time are how long before a job's
	// objective a task must be expected to end for its server to be sure to make
	// it: the uncertainty of waits, and of learned speeds.
	sureMargin = 15 * time.Millisecond
	sureShare  = 0.05
	// nearWeight and takenWeight are how much more a server's room counts if it
	// is in the entry's zone, and if it has tasks of the job already: bytes
	// between zones are priced, and each further server gets the job's text.
	nearWeight  = 0.3
	takenWeight = 0.15
	// answerMargin is left between the expected end of a job and the caller's
	// deadline.
	answerMargin = 10 * time.Millisecond
	// verdictWait bounds how long the answer of a job that was given up on waits
	// for the agents to say whether a task has started: some round trips.
	verdictWait = 60 * time.Millisecond
	// maxMoves bounds how often a task is stopped to run elsewhere, moveMargin
	// is what that must gain: the time that a stop and its report take.
	maxMoves   = 2
	moveMargin = 60 * time.Millisecond
	// maxPlacements bounds how often one task is placed.
	maxPlacements = 12
	// maxRemembered bounds the answers kept.
	maxRemembered = 20000
	// failingShare is the share of failures, in thousandths, from which on an
	// agent is used only if no other is left.
	failingShare = 400
	// fewSamples is how many runs make a learned slowness worth more than the
	// one that was known before.
	fewSamples = 3
)
