// Package overload decides which new requests an instance rejects because it is short of
// processor time itself. New requests wait for turns, which they get while no message of
// work that is already admitted waits. A request is rejected when it arrives if it would
// wait for too long, or with a share of the others while messages are handled late, too.
// The package does no I/O and reads no clock.
package overload

import "time"

const (
	// waitLimit bounds the expected wait of a request that is let in. It is well below the
	// objective of a short job. A burst may exceed it for burstTime, up to burstLimit.
	waitLimit  = 50 * time.Millisecond
	burstLimit = 150 * time.Millisecond
	burstTime  = 200 * time.Millisecond
	// MaxWait bounds the wait of a request that gets a turn.
	MaxWait = 200 * time.Millisecond
	// intervalWeight is the weight of the newest interval between turns in their moving
	// average.
	intervalWeight = 0.1

	// window is the time over which the delays of messages are compared. It contains
	// several messages of an instance with little processor time.
	window = 100 * time.Millisecond
	// messageTarget is the least delay of a window's messages from which on the instance is
	// overloaded by messages alone. Unless they queue, some are handled at once.
	messageTarget = 25 * time.Millisecond
	// minMessages is the least number of messages in a window that count as evidence. A
	// single one may be late because of its sender or its link.
	minMessages = 4
	// decrease is the factor of the share after a window whose messages are at the target.
	// Longer delays lower it further, to maxDecrease at most.
	decrease, maxDecrease = 0.9, 0.5
	// recoveryStep is added to the share after each other window, so that the whole share
	// returns within two seconds.
	recoveryStep = 0.05
	minShare     = 0.05
)

// Controller is the admission state of one instance. It is not safe for concurrent use.
type Controller struct {
	waiting  int           // requests that wait for a turn
	lastTurn time.Time     // when a request got a turn while others waited; zero if none waited
	interval time.Duration // moving average of the time between turns while requests wait
	// longSince is since when requests have been expected to wait for longer than waitLimit;
	// zero if they are not.
	longSince time.Time

	share     float64 // of the new requests that may wait for a turn
	credit    float64 // of the share, not used yet; below one between requests
	windowEnd time.Time
	messages  delays // of the current window

	counts Counts
}

// Counts are totals since the start.
type Counts struct {
	Turns    uint64 // requests that got a turn
	Rejected uint64 // when they arrived
	Expired  uint64 // at their turn, because they had waited for over MaxWait
}

// delays is the number and the least of some delays.
type delays struct {
	count int
	least time.Duration
}

func (d *delays) add(delay time.Duration) {
	if d.count == 0 || delay < d.least {
		d.least = delay
	}
	d.count++
}

// NewController returns a Controller of an instance that is not overloaded.
func NewController() *Controller { return &Controller{share: 1} }

// ExpectedWait returns how long a request that arrives now is expected to wait.
func (c *Controller) ExpectedWait() time.Duration { return time.Duration(c.waiting) * c.interval }

// Share returns the share of the new requests that may wait for a turn.
func (c *Controller) Share() float64 { return c.share }

// Overloaded reports whether new requests are rejected.
func (c *Controller) Overloaded() bool { return c.share < 1 || c.ExpectedWait() > waitLimit }

// Counts returns the totals so far.
func (c *Controller) Counts() Counts { return c.counts }

// RetryAfter returns the expected time until the instance is not overloaded any more if no
// further request arrives.
func (c *Controller) RetryAfter() time.Duration {
	recovery := time.Duration((1 - c.share) / recoveryStep * float64(window))
	return max(recovery, c.ExpectedWait())
}

// Arrive decides on a new request when it arrives. If it may wait for a turn, Turn or Leave
// follows.
func (c *Controller) Arrive(now time.Time) bool {
	c.endWindow(now)
	c.credit = min(c.credit+c.share, 1)
	if c.credit < 1 || c.ExpectedWait() > c.limit(now) {
		c.counts.Rejected++
		return false
	}
	c.credit--
	c.waiting++
	c.updateLong(now)
	return true
}

// limit returns the longest expected wait of a request that is let in.
func (c *Controller) limit(now time.Time) time.Duration {
	if !c.longSince.IsZero() && now.Sub(c.longSince) > burstTime {
		return waitLimit
	}
	return burstLimit
}

func (c *Controller) updateLong(now time.Time) {
	switch {
	case c.ExpectedWait() <= waitLimit/2:
		c.longSince = time.Time{}
	case c.longSince.IsZero() && c.ExpectedWait() > waitLimit:
		c.longSince = now
	}
}

// Leave removes a request that no longer waits for a turn.
func (c *Controller) Leave(now time.Time) {
	c.waiting--
	c.updateLong(now)
}

// Turn decides on a request that has waited for its turn: whether it may be handled.
func (c *Controller) Turn(now time.Time, waited time.Duration) bool {
	c.endWindow(now)
	c.waiting--
	if !c.lastTurn.IsZero() {
		c.learnInterval(min(now.Sub(c.lastTurn), MaxWait)) // longer if the process was paused
	} else if waited < c.interval {
		c.learnInterval(waited) // no other was before it, so that it has waited for one interval at most
	}
	c.lastTurn = now
	if c.waiting == 0 {
		c.lastTurn = time.Time{}
	}
	c.updateLong(now)
	if waited > MaxWait {
		c.counts.Expired++
		return false
	}
	c.counts.Turns++
	return true
}

func (c *Controller) learnInterval(d time.Duration) {
	c.interval += time.Duration(intervalWeight * float64(d-c.interval))
}

// ObserveMessage records by how much a message of admitted work was handled late, counted
// from the earliest time at which it can have arrived.
func (c *Controller) ObserveMessage(now time.Time, delay time.Duration) {
	c.endWindow(now)
	c.messages.add(delay)
}

// endWindow adjusts the share by the delays of the window if its time is over.
func (c *Controller) endWindow(now time.Time) {
	if now.Before(c.windowEnd) {
		return
	}
	late := c.messages.count >= minMessages && c.messages.least >= messageTarget
	switch {
	case late:
		excess := float64(c.messages.least) / float64(messageTarget)
		c.share = max(c.share*max(1-(1-decrease)*excess, maxDecrease), minShare)
	case !c.windowEnd.IsZero():
		windows := 1 + now.Sub(c.windowEnd)/window
		c.share = min(c.share+recoveryStep*float64(windows), 1)
	}
	c.messages = delays{}
	c.windowEnd = now.Add(window)
}
