package taskrunner

import (
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/cancels"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// reasonCanceled is the reason of the tasks of a job that a caller has canceled.
const reasonCanceled = "the job was canceled"

// cancelJobs stops all tasks of the jobs, whoever ordered them, and starts none later. All
// entries in session learn of it with their next poll.
func (m *Runner) cancelJobs(from *entrySession, list []session.Cancel) {
	for _, c := range list {
		job := cancels.Of(c)
		if !m.cancels.Add(m.now, job, cancels.Ago(c)) {
			continue
		}
		stopped := 0
		for _, r := range m.sortedRuns() {
			if r.job() == job {
				stopped++
				m.stop(r, session.Stopped, reasonCanceled)
			}
		}
		m.emit(LogEvent{Event: "job_canceled", Entry: from.entry, Detail: fmt.Sprintf("job=%s queue=%s ago_ms=%d tasks=%d", c.Job, c.Queue, c.AgoMs, stopped)})
		m.wakePolls()
	}
}

// canceled reports whether the job of a run is marked as canceled.
func (m *Runner) canceled(r *run) bool { return m.cancels.Has(m.now, r.job()) }

func (r *run) job() cancels.Job { return cancels.Job{Queue: r.queue, Name: r.key.Job} }

// unsentCancels returns the marks that the entry has not been sent in the session.
func (m *Runner) unsentCancels(s *entrySession) []session.Cancel {
	var list []session.Cancel
	list, s.cancelsSent = m.cancels.Since(m.now, s.cancelsSent)
	return list
}
