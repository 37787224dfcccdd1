// Package places decides how long a wait for a place near a job's data pays. A task that
// runs away from its place takes a multiple of its run time; one that waits for its place
// may wait longer than expected. The package learns how long waits really were that were
// expected to be of some length, and keeps a task at its place only while that ends it
// in time, or sooner. It does no I/O and reads no clock.
package places

import "time"

const (
	// sure is the certainty with which a task must end in time at its place to wait for
	// it. A wait that turns out longer cannot be made up for: its objective is then missed
	// also elsewhere.
	sure = 0.9
	// likely is the certainty at which two ends are compared if neither is in time.
	likely = 0.5
)

// Never is the wait of an option that is not available.
const Never = time.Hour

// Option is a way to run a job: the task that ends last in it.
type Option struct {
	Rack     string        // of the server
	Wait     time.Duration // expected, until the start
	Run      time.Duration // expected run time there
	Overhead time.Duration // expected time besides
	Margin   time.Duration // uncertainty of the run time
}

// End returns the expected time until the end.
func (o Option) End() time.Duration { return o.Wait + o.Run + o.Overhead }

// Options are the ways to run a job that has a place.
type Options struct {
	Place Option // all tasks at the place
	Mixed Option // those that are in time there at the place, the others away from it
	Away  Option // all tasks away from the place
}

// Limits are times from now.
type Limits struct {
	Objective time.Duration // by when the job should end
	Latest    time.Duration // by when it must end to be of use
}

// Where is where the tasks of a job run.
type Where string

// Places of the tasks of a job.
const (
	AtPlace Where = "at_place"
	Mixed   Where = "mixed"
	Away    Where = "away"
)

// Choice is the decision between Options.
type Choice struct {
	Where  Where
	InTime bool          // the job is expected to meet its objective
	Wait   time.Duration // that the place is sure not to exceed
	Bound  time.Duration // the longest wait for the place that would have paid
}

// Choose decides where the tasks of a job run. They wait for the place if all are sure to
// end in time there: ending sooner elsewhere would help no caller and take a multiple of
// the capacity. Otherwise the first of the other ways is taken that is in time. A job that
// is late either way goes where it ends first. A queue at its place counts against it by
// the extra run time away: the place is contended, and who waits there sends another job
// away. So does a queue away from it, which the longer run time holds up.
func (w *Waits) Choose(now time.Time, o Options, l Limits) Choice {
	c := Choice{Wait: w.Within(now, o.Place.Rack, o.Place.Wait, sure), Bound: l.Objective - o.Place.Run - o.Place.Overhead - o.Place.Margin}
	switch {
	case w.InTime(now, o.Place, l.Objective):
		c.Where, c.InTime = AtPlace, true
		return c
	case w.InTime(now, o.Mixed, l.Objective):
		c.Where, c.InTime = Mixed, true
		return c
	case w.InTime(now, o.Away, l.Objective):
		c.Where, c.InTime = Away, true
		return c
	}
	extra := max(o.Away.Run-o.Place.Run, 0)
	awayEnd := w.lateEnd(now, o.Away, extra)
	c.Bound = max(c.Bound, awayEnd-o.Place.Run-o.Place.Overhead-extra)
	c.Where = AtPlace
	if o.Away.End() <= l.Latest && (awayEnd < w.lateEnd(now, o.Place, extra) || o.Place.End() > l.Latest) {
		c.Where = Away
	}
	return c
}

// InTime reports whether a task is sure to end within the given time.
func (w *Waits) InTime(now time.Time, o Option, within time.Duration) bool {
	return w.Within(now, o.Rack, o.Wait, sure)+o.Run+o.Overhead+o.Margin <= within
}

// lateEnd returns the likely end of an option, later by the given time if there is a
// queue.
func (w *Waits) lateEnd(now time.Time, o Option, extra time.Duration) time.Duration {
	end := w.Within(now, o.Rack, o.Wait, likely) + o.Run + o.Overhead
	if o.Wait > 0 {
		end += extra
	}
	return end
}

// Waiting is a task in the queue of a server.
type Waiting struct {
	Option   // Wait is the one expected when the task was placed
	Waited   time.Duration
	Forecast time.Duration // expected remaining wait by the newest state of the server
}

// GiveUp decides whether a task leaves its queue for a server elsewhere. Its remaining
// wait is the longer one of the forecast and of what similar waits lasted that had
// reached this length. The move takes the given time.
func (w *Waits) GiveUp(now time.Time, t Waiting, elsewhere Option, move time.Duration, within time.Duration) bool {
	end := func(certainty float64) time.Duration {
		remaining := max(w.Within(now, t.Rack, t.Forecast, certainty), w.Remaining(now, t.Rack, t.Wait, t.Waited, certainty))
		return remaining + t.Run + t.Overhead
	}
	elsewhere.Overhead += move
	switch {
	case end(sure)+t.Margin <= within:
		return false
	case w.InTime(now, elsewhere, within):
		return true
	}
	return w.Within(now, elsewhere.Rack, elsewhere.Wait, likely)+elsewhere.Run+elsewhere.Overhead < end(likely)
}
