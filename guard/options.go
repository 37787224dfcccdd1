// Package guard is the state machine of an agent that guards one backend server
// whose tasks run under a lease. It is the last place that decides whether a
// task starts: it holds the server's capacity, ends the tasks of sessions that
// have gone, and renews the lease while all is well.
//
// Safety rests on the server's own clock. Every start and renewal carries an
// absolute end of the lease, counted from the last clock reading that the
// server gave. A call that is delayed, or that an agent makes after it was
// suspended, carries an end that has passed and does nothing.
package guard

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Options are the settings of a Guard.
type Options struct {
	Agent       string
	Incarnation structs.Incarnation
	Zone        string
	Service     string
	// Token is the first fencing token to try; a higher one is taken if the
	// server has seen a higher one.
	Token int64
	// Lease is what a renewal grants from the last clock reading.
	Lease time.Duration
	// SessionTTL is how long a session lives without a fresh message.
	SessionTTL time.Duration
	// RenewalWait is how long the server may hold back the answer to a look.
	RenewalWait time.Duration
	// PollWait is how long a poll without reports is held back.
	PollWait time.Duration
	// StopTimeout is the longest time the server takes to end a stopped task.
	StopTimeout time.Duration
}

// Defaults; together they keep a task of a lost entry from running longer than
// SessionTTL + LookWait + Lease, well below the 1,300 ms after which a caller may
// submit the job elsewhere. SessionTTL bears a poll's wait and one lost packet
// (200 ms); Lease bears several looks.
const (
	DefaultLease       = 300 * time.Millisecond
	DefaultSessionTTL  = 450 * time.Millisecond
	DefaultRenewalWait = 50 * time.Millisecond
	DefaultPollWait    = 200 * time.Millisecond
)

// InDoubtTimeout returns how long a task may run after the last word of its agent:
// until its session has expired and the stop was carried out or, should the
// agent have gone as well, the last lease has lapsed. LeaseMax is the platform's
// bound of a lease, stopTimeout that of a stop.
func InDoubtTimeout(leaseMax, stopTimeout time.Duration) time.Duration {
	longest := DefaultSessionTTL + DefaultRenewalWait + min(DefaultLease, leaseMax) + stopTimeout
	return time.Duration(float64(longest) * (1 + clockDrift))
}

const (
	// clockDrift is how much slower than real time a server's clock may run:
	// the platform's bound of 2 %.
	clockDrift = 0.02
	// helloTTL is how long a session may wait for its Hello to be answered: as
	// long as an entry waits.
	helloTTL = 1500 * time.Millisecond
	// lookPatience is how much longer than its wait a look may take before
	// another is sent: the server answers within a few ms.
	lookPatience = 20 * time.Millisecond
	// lookForget is when a look without an answer is forgotten: no call to the
	// server is waited for as long.
	lookForget = time.Second
	// maxStartTries bounds how often a start without an answer is sent again.
	// Sending the same run twice starts it once.
	maxStartTries = 3
	// stopRetry is the pause before a stop is ordered again, so that a server
	// that refuses connections is not asked without end.
	stopRetry = 20 * time.Millisecond
	// lookRetry is the pause after a look that failed; a tenth of the lease
	// leaves several tries before it ends.
	lookRetry = 50 * time.Millisecond
	// stallAfter is how long a running task may show no progress before it is
	// stopped: over two looks, well under the second within which hanging
	// servers should be found.
	stallAfter = 300 * time.Millisecond
	// tokenStep is added to a fencing token that was refused, in ms: more than
	// the clock steps of the platform.
	tokenStep = 10_000
	// maxRunTries bounds the run numbers tried for one start.
	maxRunTries = 8
	// failureWeight is the weight of the newest outcome in the share of
	// failures; five outcomes then decide.
	failureWeight = 0.2
	// suspectShare is the share of failures from which on a server runs one
	// task at a time, as a probe.
	suspectShare = 0.5
	// soundShare is the share below which it gets a full load again.
	soundShare = 0.2
	// failureMemory is the time in which the share of failures fades to a third:
	// a server that got no more tasks is probed again after some two seconds.
	failureMemory = 3 * time.Second
	// recentMemory is the time in which run times fade to a third: long enough
	// to average some twenty of them, whose estimates are off by 40 %, and short
	// against the faults that slow a server.
	recentMemory = 3 * time.Second
	// lastingMemory is the same for the usual speed: longer than such faults.
	lastingMemory = 30 * time.Second
	// fastestUsual and slowestUsual bound the usual slowness: the platform's
	// servers differ by 0.6 to 1.6 from the ordinary.
	fastestUsual = 0.5
	slowestUsual = 2.0
	// tellingPercent is the progress from which on it predicts the whole run.
	tellingPercent = 5
	// slowServerFactor times its usual slowness makes a server slow: more than
	// single jobs with wrong estimates bring about.
	slowServerFactor = 1.6
	// laggardFactor times its usual run time makes a task a laggard, beyond the
	// errors of estimates; laggardLeft is the time left from which on telling
	// of it is worth it: a stop and a new start.
	laggardFactor = 2
	laggardLeft   = 80 * time.Millisecond
	// maxSpans bounds the running tasks that a state tells apart; later ones are
	// told as one.
	maxSpans = 6
	// usualSamples is how many run times make a usual speed worth remembering.
	usualSamples = 10
	// recentPrior is the weight of the usual speed among the recent run times:
	// as much as five tasks of the commonest kind, so that one job with a wrong
	// estimate does not decide. usualPrior is that of the ordinary speed among
	// the lasting ones.
	recentPrior = time.Second
	usualPrior  = 5 * time.Second
)
