// Package shares decides who is served while not all work can be. Entries and agents use
// it alike.
//
// An entry ranks each job by the priority of its queue and by what it knows of its own
// callers: the work that they ask for and the part of it that was served (Ledger). It
// needs no knowledge of other entries. Agents order their queues by rank (Order), so that
// a rank holds for the work of all entries.
//
// Ranks matter only under shortage: as long as all queued tasks start in time, they start
// in the order of their latest starts. So capacity that one queue leaves idle is lent to
// the others, and returns to its owner with the next task that ends.
//
// The package does no I/O and reads no clock.
package shares

import "time"

// Rank orders tasks under shortage: lower ranks start first.
type Rank int

// Ranks of one priority, in the order in which they are served. Jobs whose callers were
// told to come back at this time are ahead of others of their priority, and what a queue
// asks for above its usual demand is behind.
const (
	offsetReturned = iota
	offsetUsual
	offsetSurplus
	ranksPerPriority
)

// Owed is the rank of jobs of a queue that is below its floor. It is ahead of all
// priorities.
const Owed Rank = 0

// RankOf returns the rank of a job by the priority of its queue, 0 first.
func RankOf(priority int, returned, surplus bool) Rank {
	offset := offsetUsual
	switch {
	case returned:
		offset = offsetReturned
	case surplus:
		offset = offsetSurplus
	}
	return Rank(1 + ranksPerPriority*max(priority, 0) + offset)
}

const (
	// sharedPart is the part of scarce capacity that queues share equally.
	sharedPart = 0.7
	// floor is the part of a queue's recent demand that is served also while work of
	// higher priority could use all of the capacity. Half of the demand is meant to be
	// served; the rest is for what was admitted and is owed for a moment.
	floor = 0.55
	// shortageShare is the part of the recent demand of all queues that has to be served, or
	// to be expected to end in time. Below it capacity is short.
	shortageShare = 0.95
	// sizeShare is the ratio of the served part of large jobs to that of all jobs of their
	// queue below which large jobs are owed capacity. largeFactor is the ratio of a job's
	// tasks to the mean of its queue from which on it is large.
	sizeShare   = 0.9
	largeFactor = 1.5
	// minFreeShare is the free share of the capacity below which the servers are
	// saturated. It is averaged over pressureTime, which is longer than the random peaks
	// of the usual load.
	minFreeShare = 0.1
	pressureTime = 300 * time.Millisecond
	// recentTime is the time constant of what counts as recent demand. It is as long as
	// callers wait for a short job, so that a queue below its floor is served before they
	// give up.
	recentTime = 2 * time.Second
	// usualTime is the time constant of usual demand. It is longer than surges last.
	usualTime = 15 * time.Second
	// surplusFactor is the ratio of recent to usual demand above which a queue asks for
	// more than its share. Demand swings by half on a usual day.
	surplusFactor = 1.7
	// allotmentTime is how long allotments are kept: they are sums over all queues, and
	// change little between two jobs.
	allotmentTime = 100 * time.Millisecond
	// negligible is the part of the capacity, or of the demand, that is not divided.
	negligible = 1e-6
	// maxAccounts bounds the queues that a Ledger keeps.
	maxAccounts = 4096
)
