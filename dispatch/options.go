// Package dispatch is the state machine of an entry. It admits or refuses jobs,
// chooses an agent for each of their tasks, retries failed tasks, stops tasks
// whose callers have disconnected, and answers a job when it has ended. Callers
// choose the names of their jobs.
//
// A job stays at the entry that received it. Its tasks are placed through
// sessions (package session) with agents. A task is placed again only after its
// last placement was reported as ended, or must have ended because its session
// did, so that it does not run twice at the same time.
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
	// Started is when the entry started; zero if long ago. A service that has had
	// no agent yet counts as without agents since then, see HoldTimeout.
	Started time.Time
	// AwaitCancels delays submissions until CancelsLearned.All, at most cancelsTimeout after
	// Started: the entry may have restarted between the cancel of a job and a copy of its
	// submission.
	AwaitCancels bool
	// FarFactor is how many times as long a task takes away from its rack, see
	// Job.Rack; zero if unknown.
	FarFactor  float64
	Scheduling Scheduling
	// InDoubtTimeout is how long a placement may still run after the last
	// message from its agent: until the session has expired and its tasks were
	// stopped, or the last lease renewed under it has expired.
	InDoubtTimeout time.Duration
	// AnswerRetention is how long the answer of a job is kept for duplicates of
	// its submission.
	AnswerRetention time.Duration
}

// Scheduling switches decisions on that an entry makes under load. Without them, jobs are
// admitted in the order of their arrival.
type Scheduling struct {
	// Shares divides scarce capacity between queues by priority and share.
	Shares bool `toml:"shares"`
	// RunTimes plans jobs by learned distributions of run times instead of means.
	RunTimes bool `toml:"run_times"`
	// Spread places tasks with regard to what other entries place meanwhile.
	Spread bool `toml:"spread"`
	// Places decides how long a job waits for a place near its data.
	Places bool `toml:"places"`
}

// DefaultAnswerRetention covers duplicates that arrive seconds after the answer.
const DefaultAnswerRetention = 15 * time.Second

// HoldTimeout bounds how long an entry that has just started, or has been
// suspended, holds jobs while it has no agent or no configuration. Sessions are
// open some 50 ms after the agents' addresses are known, and reading those takes
// two calls to the store.
const HoldTimeout = 300 * time.Millisecond

// cancelsTimeout is the longest time after its start for which an entry delays submissions
// because it has not heard of cancels. A peer that is up replies within some ms; after a
// restart of all entries there is nothing to hear.
const cancelsTimeout = 60 * time.Millisecond

const (
	// usefulFactor times its objective is how long the answer of a job is useful
	// by the platform's terms. A job that is not expected to end by then is not
	// admitted. An admitted one continues until its caller's deadline, because
	// estimates are inexact.
	usefulFactor = 3
	// hopOverhead is the expected time that a job takes in addition to its work:
	// both ways between entry, agent and server, on a day without faults.
	hopOverhead = 8 * time.Millisecond
	// crossZoneOverhead is the expected extra round-trip time to an agent in
	// another availability zone.
	crossZoneOverhead = 3 * time.Millisecond
	// staleAfter is the maximum age of an agent's newest state for the agent to
	// get tasks. It equals the TTL of a session: once the state is older, either
	// the agent ends the session, or this entry was suspended.
	staleAfter = 450 * time.Millisecond
	// maxBacklog bounds the time that all servers need for the queued tasks.
	// Above it, a job is admitted only if all its tasks can start at once. It is
	// half of the time in which the answer of a short job is useful: with a
	// longer backlog, newer jobs overtake the queued ones until the callers of
	// those disconnect.
	maxBacklog = 250 * time.Millisecond
	// minFinishMargin plus finishMarginShare of its run time is how long before
	// the job's objective a task must be expected to finish for its server to be
	// considered safe: the uncertainty of waiting times and of learned speeds.
	minFinishMargin   = 15 * time.Millisecond
	finishMarginShare = 0.05
	// sameZoneWeight and sameJobWeight are added to the weight of a server's free
	// capacity if it is in the entry's zone, and if it already has tasks of the
	// job: traffic between zones is priced, and each further server needs a copy
	// of the job's spec.
	sameZoneWeight = 0.3
	sameJobWeight  = 0.15
	// answerMargin is kept between the expected end of a job and the time by
	// which it must end, for the answer.
	answerMargin = 10 * time.Millisecond
	// verdictTimeout bounds how long the answer of an abandoned job waits for the
	// agents to report whether a task has started: a few round trips.
	verdictTimeout = 60 * time.Millisecond
	// maxMoves bounds how often a task is stopped to run on another agent.
	// moveMargin is the minimum gain of such a move: the time that a stop and its
	// report take.
	maxMoves   = 2
	moveMargin = 60 * time.Millisecond
	// maxPlacements bounds how often one task is placed.
	maxPlacements = 12
	// retryShare is how many tasks that were lost or not started may be placed again for
	// each completed task, and maxRetries the largest number of them without any: those of
	// a dozen servers full of small tasks.
	retryShare = 0.5
	maxRetries = 512
	// maxLosses bounds how often one task is placed again after it was lost. A task may
	// have crashed a server also if no agent has reported it.
	maxLosses = 4
	// maxLimitDelay is how much later a job may end because its tasks stay away from
	// some servers after crashes. It is long for a short job, and spares it the loss of
	// its server, which takes longer.
	maxLimitDelay = 250 * time.Millisecond
	// maxRetainedAnswers bounds the answers kept for duplicates.
	maxRetainedAnswers = 20000
	// failingThreshold is the share of failed tasks, in thousandths, from which
	// on an agent is used only if no other is left.
	failingThreshold = 400
	// minSlownessSamples is the number of samples from which on an agent's learned
	// slowness is used instead of the one cached from an earlier session.
	minSlownessSamples = 3
)
