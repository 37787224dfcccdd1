// Package taskrunner implements the state machine of an agent. An agent manages one
// backend server, whose tasks run under a lease. It makes the final decision
// whether a task starts: it enforces the server's capacity, stops the tasks of
// closed sessions, and keeps renewing the lease while the server replies.
//
// Safety is based on the server's own clock. Every start and every renewal
// carries the end of the lease as an absolute time, calculated from the newest
// clock reading received from the server. A call that is delayed, or made by an
// agent that was suspended, carries an end that has already passed and has no
// effect.
package taskrunner

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Options are the settings of a Runner.
type Options struct {
	Agent       string
	Incarnation structs.Incarnation
	Zone        string
	Service     string
	// Token is the first fencing token to use. It is raised if the server has
	// seen a higher one.
	Token int64
	// Lease is the duration of a lease, counted from the newest clock reading.
	Lease time.Duration
	// LeaseMax is the longest lease that a server grants, whatever a call asks for.
	LeaseMax time.Duration
	// SessionTTL is how long a session stays open without a new message from the
	// entry. It also bounds the age of an echoed clock reading.
	SessionTTL time.Duration
	// RenewalWait is how long the server may delay the reply to a lease renewal.
	RenewalWait time.Duration
	// PollWait is how long after its last reply the reply to a poll is delayed while there
	// are no reports.
	PollWait time.Duration
	// StopTimeout is the longest time that the server takes to end a stopped
	// task.
	StopTimeout time.Duration
	// RunTimes learns the distributions of run times, forecasts by them and sends them to
	// the entries.
	RunTimes bool
}

// Default timings. They stop a task whose entry has failed within InDoubtTimeout,
// which is dominated by SessionTTL + RenewalWait + Lease and is well below the
// 1,300 ms after which a caller may submit the job elsewhere. SessionTTL covers the
// wait of a poll and the retransmission of one lost packet (200 ms). Lease covers
// several renewals.
const (
	DefaultLease       = 300 * time.Millisecond
	DefaultSessionTTL  = 450 * time.Millisecond
	DefaultRenewalWait = 50 * time.Millisecond
	DefaultPollWait    = 200 * time.Millisecond
)

// InDoubtTimeout returns how long a task may still run after the last message from
// its agent. It ends when the session has expired and the task has been stopped
// or, if the agent has failed too, when the last lease has expired. LeaseMax is
// the platform's upper bound for a lease, stopTimeout the one for a stop.
func InDoubtTimeout(leaseMax, stopTimeout time.Duration) time.Duration {
	longest := DefaultSessionTTL + DefaultRenewalWait + min(DefaultLease, leaseMax) + stopTimeout
	return time.Duration(float64(longest) * (1 + clockDrift))
}

const (
	// clockDrift is how much slower than real time a server's clock may run.
	// The platform guarantees 2 %.
	clockDrift = 0.02
	// helloTTL is how long a session may wait for the reply to its Hello. It
	// equals the timeout of the entry's call.
	helloTTL = 1500 * time.Millisecond
	// minPollWait is the least delay of the reply to a poll. It bounds the polls of an
	// entry that handles its messages late.
	minPollWait = 20 * time.Millisecond
	// renewalRetransmitAfter is the retransmission timeout of a lease renewal, in
	// addition to the wait that it asks for. The server replies within a few ms.
	renewalRetransmitAfter = 20 * time.Millisecond
	// renewalExpiry is the age at which a renewal without a reply is discarded.
	// Every call to the server times out earlier.
	renewalExpiry = time.Second
	// maxStartTries bounds how often a start is sent while no reply is received.
	// Starts are idempotent: a run that is sent twice starts once.
	maxStartTries = 3
	// stopRetransmitAfter is the retransmission timeout of a stop. The server replies within a
	// few ms, and stops are idempotent.
	stopRetransmitAfter = 30 * time.Millisecond
	// stopRetryDelay is the delay before a failed stop is sent again. A server
	// that refuses connections fails at once and would otherwise be called in a
	// tight loop.
	stopRetryDelay = 20 * time.Millisecond
	// renewalRetryDelay is the delay after a failed lease renewal. A sixth of
	// DefaultLease allows several attempts before the lease expires.
	renewalRetryDelay = 50 * time.Millisecond
	// firstRenewalRetryDelay is the delay after the first failed renewal. It is short
	// because the retry detects a server that refuses connections.
	firstRenewalRetryDelay = 5 * time.Millisecond
	// stallTimeout is how long a running task may report no progress before it is
	// stopped. It covers more than two lease renewals and is well below the one
	// second within which hanging servers should be detected.
	stallTimeout = 300 * time.Millisecond
	// tokenStep is added to a refused fencing token. Tokens start at the wall
	// clock in Unix ms, and 10 s is larger than any step of the platform's wall
	// clocks.
	tokenStep = 10_000
	// maxNumberTries bounds how many run numbers are tried for one start.
	maxNumberTries = 8
	// failureWeight is the weight of the newest outcome in the moving average of
	// failures, which then mostly reflects the last five outcomes.
	failureWeight = 0.2
	// suspectShare is the share of failures above which a server runs only one
	// task at a time, as a probe.
	suspectShare = 0.5
	// recoveredShare is the share of failures below which a suspect server gets
	// its full load again.
	recoveredShare = 0.2
	// failureDecayTime is the time constant with which the share of failures
	// decays. A server that gets no more tasks is probed again after about two
	// seconds.
	failureDecayTime = 3 * time.Second
	// recentDecayTime is the time constant with which recent run times decay. It
	// is long enough to average about twenty tasks, whose estimates are off by
	// 40 %, and short compared with the faults that slow down a server.
	recentDecayTime = 3 * time.Second
	// longTermDecayTime is the time constant for the baseline slowness. It is
	// longer than such faults last.
	longTermDecayTime = 30 * time.Second
	// minBaseline and maxBaseline bound the baseline slowness. The run times on
	// the platform's servers are 0.6 to 1.6 times the nominal ones.
	minBaseline = 0.5
	maxBaseline = 2.0
	// minPredictivePercent is the least progress from which the total run time is
	// extrapolated.
	minPredictivePercent = 5
	// slowServerFactor is the ratio of current to baseline slowness at which a
	// server counts as slow. Single jobs with wrong estimates stay below it.
	slowServerFactor = 1.6
	// stragglerFactor is the ratio of a task's predicted to its baseline run time
	// above which the task is a straggler; errors of estimates stay below it.
	// minStragglerLeft is the least remaining time at which a straggler is
	// reported: what it takes to stop the task and start it elsewhere.
	stragglerFactor  = 2
	minStragglerLeft = 80 * time.Millisecond
	// maxRunningTasks bounds the running tasks that a state lists separately. Those
	// that end later are merged into the last one.
	maxRunningTasks = 6
	// maxCanceled bounds the placements of a session that were stopped while they
	// had no run. Their ids increase, and a start arrives late by a few orders at
	// most, so that the older half can be forgotten.
	maxCanceled = 4096
	// minBaselineSamples is how many run times it takes for the baseline slowness
	// to be stored.
	minBaselineSamples = 10
	// recentPrior is the weight of the baseline slowness among the recent run
	// times. It equals five tasks of the most common kind, so that a single job
	// with a wrong estimate does not dominate. baselinePrior is the weight of the
	// stored or nominal slowness among the long-term run times.
	recentPrior   = time.Second
	baselinePrior = 5 * time.Second
)
