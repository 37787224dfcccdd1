package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Between a caller and an entry there may be a proxy that acknowledges probes although the caller has
// disconnected. Then only the entry that has the next submission of the job knows of the end. Entries
// therefore announce to each other the jobs that they have had open for long, before callers may submit
// these again:
//
//   - An entry that gets a submission of a job that another one has announced has that one stop it, and
//     waits until its tasks are over.
//   - An entry that would place tasks of a job that was submitted long ago, because it was suspended or has
//     lost agents, first asks the others whether they have a newer submission.
//
// Both add to the signs of callers, and replace none: an entry that gets no reply goes by these alone.

const (
	// longOpen is the age of the newest submission of a job from which on it is announced. The next one may
	// come at ResubmissionDelay, and the announcement takes up to AnnounceInterval.
	longOpen = 600 * time.Millisecond
	// AnnounceInterval is the interval at which an entry announces its jobs that are open for long.
	AnnounceInterval = 400 * time.Millisecond
	// announcementTTL is how long an announcement counts: one may be lost.
	announcementTTL = 2*AnnounceInterval + 200*time.Millisecond
	// lateAge is the age of the newest submission from which on tasks are placed only after the other
	// entries were asked. It is less than ResubmissionDelay by what their clocks and the link may add.
	lateAge = 1000 * time.Millisecond
	// minAgeDifference is by how much a submission must be newer than another one to replace it. The two
	// are ResubmissionDelay apart, less what they have waited to be read.
	minAgeDifference = ResubmissionDelay / 2
	// MaxAnnouncedJobs bounds the jobs in one message between entries.
	MaxAnnouncedJobs = 512
	// maxElsewhere bounds the jobs of other entries that an entry remembers.
	maxElsewhere = 8192
	// PeerJobsTimeout is how long the reply of other entries is awaited: tasks that are stopped have ended
	// by then if their servers and agents reply.
	PeerJobsTimeout = 300 * time.Millisecond
)

// openElsewhere is a job that another entry has announced.
type openElsewhere struct {
	entry string
	at    time.Time // when it did
}

// ageOf returns the time since the newest submission of the job.
func (d *Dispatcher) ageOf(j *job) time.Duration { return d.now.Sub(j.newest) }

// LongOpenJobs returns the jobs that are to be announced, oldest first.
func (d *Dispatcher) LongOpenJobs(now time.Time) []session.OpenJob {
	var list []session.OpenJob
	for _, j := range d.jobs {
		if age := now.Sub(j.newest); !j.answered && age >= longOpen {
			list = append(list, session.OpenJob{Job: j.Name, AgeMs: age.Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b session.OpenJob) int {
		return cmp.Or(cmp.Compare(b.AgeMs, a.AgeMs), cmp.Compare(a.Job, b.Job))
	})
	return list[:min(len(list), MaxAnnouncedJobs)]
}

// peerJobs compares jobs of another entry with those that are open here: the older submission is stopped.
func (d *Dispatcher) peerJobs(e PeerJobs) {
	states := make([]session.JobState, 0, len(e.Jobs))
	for _, o := range e.Jobs {
		states = append(states, d.peerJob(e.From, o))
	}
	d.emit(PeerJobsCompared{States: states})
}

func (d *Dispatcher) peerJob(from string, o session.OpenJob) session.JobState {
	age := time.Duration(o.AgeMs) * time.Millisecond
	j := d.jobs[o.Job]
	switch {
	case j == nil:
		if age >= longOpen {
			d.recordElsewhere(o.Job, from)
		}
		return session.JobUnknown
	case j.answered:
		return session.JobEnding
	case d.ageOf(j)+minAgeDifference < age:
		return session.JobNewer
	case age+minAgeDifference < d.ageOf(j):
		d.replaced(j, from)
		if j.livePlacements > 0 {
			return session.JobEnding
		}
	}
	return session.JobUnknown
}

// recordElsewhere remembers a job that is open at another entry.
func (d *Dispatcher) recordElsewhere(name, entry string) {
	if _, known := d.elsewhere[name]; !known && len(d.elsewhere) >= maxElsewhere {
		return
	}
	d.elsewhere[name] = openElsewhere{entry: entry, at: d.now}
	if d.elsewhereSwept.Add(announcementTTL).After(d.now) {
		return
	}
	d.elsewhereSwept = d.now
	for name, o := range d.elsewhere {
		if d.now.Sub(o.at) > announcementTTL {
			delete(d.elsewhere, name)
		}
	}
}

// announcingEntry returns the other entry that has announced the job within announcementTTL; empty if none
// has.
func (d *Dispatcher) announcingEntry(name string) string {
	if o, ok := d.elsewhere[name]; ok && d.now.Sub(o.at) <= announcementTTL && d.jobs[name] == nil {
		return o.entry
	}
	return ""
}

// replaced closes a job of which another entry has a newer submission. Its callers, who are not
// expected to be there, learn that it may have run.
func (d *Dispatcher) replaced(j *job, entry string) {
	reason := fmt.Sprintf("entry %s has a newer submission of the job", entry)
	for _, call := range slices.Clone(j.calls) {
		d.emit(CallerMetrics{Replaced: 1})
		d.emit(Refused{Call: call, Error: structs.Errorf(structs.CodeUnavailable, structs.MayHaveRun, "%s", reason)})
		d.callClosed(call, reason)
	}
}

// mayPlaceLate reports whether tasks of the job may be placed as far as other entries know: it was submitted
// of late, or they were asked.
func (d *Dispatcher) mayPlaceLate(j *job) bool {
	return d.ageOf(j) < lateAge || !j.peersAsked.IsZero() && d.now.Sub(j.peersAsked) <= probeInterval
}

// askPeers asks the other entries for newer submissions of the jobs, except those that were asked for
// already.
func (d *Dispatcher) askPeers(jobs []*job) {
	var list []session.OpenJob
	for _, j := range jobs {
		if !j.asksPeers {
			j.asksPeers = true
			list = append(list, session.OpenJob{Job: j.Name, AgeMs: d.ageOf(j).Milliseconds()})
		}
	}
	if len(list) > 0 {
		d.emit(AskPeers{Jobs: list})
	}
}

// peersAsked records the replies of other entries. Jobs of which they have newer submissions are closed;
// submissions that wait for the end of earlier ones elsewhere may be handled.
func (d *Dispatcher) peersAsked(e PeersAsked) {
	for _, o := range e.Jobs {
		if j := d.jobs[o.Job]; j != nil {
			j.asksPeers, j.peersAsked = false, d.now
		}
		for i := range d.ready {
			if d.ready[i].Job.Name == o.Job {
				d.ready[i].awaitsPeer = false
			}
		}
		delete(d.elsewhere, o.Job)
	}
	for _, n := range e.Newer {
		if j := d.jobs[n.Job]; j != nil && !j.answered && d.ageOf(j) >= minAgeDifference {
			d.replaced(j, n.Entry)
		}
	}
	d.heldUnchecked = len(d.heldJobs) > 0
}
