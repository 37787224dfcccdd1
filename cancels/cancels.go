// Package cancels keeps which jobs were canceled a short time ago, so that a copy of a
// submission that arrives later, at any process, is not run. The marks are bounded in
// number and in time. The package does no I/O and reads no clock.
package cancels

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// Retention is how long a mark is kept. Copies of a submission arrive up to seconds
	// after its answer.
	Retention = 30 * time.Second
	// MaxMarks bounds the marks of one process. Above it the oldest are dropped.
	MaxMarks = 8192
	// maxNameLength bounds the names of a job and its queue, in bytes. Longer ones are not
	// marked: entries admit no such jobs.
	maxNameLength = 256
)

// Job identifies a job.
type Job struct {
	Queue, Name string
}

// Of returns the job that a message names.
func Of(c session.Cancel) Job { return Job{Queue: c.Queue, Name: c.Job} }

type mark struct {
	job    Job
	at     time.Time // when the job was canceled, by the clock of this process
	number uint64    // in the order in which this process learned of the marks
	relay  bool      // agents have to hold it
}

// Marks is the set of marks of one process. The zero value is empty. It is not safe for
// concurrent use.
type Marks struct {
	byJob      map[Job]*mark
	list       []*mark // in the order of number
	lastNumber uint64
	dropped    int
}

// Add marks a job that was canceled the given time ago, and reports whether it had no mark.
// A job that was canceled again is kept longer.
func (m *Marks) Add(now time.Time, job Job, ago time.Duration) bool {
	if len(job.Name) > maxNameLength || len(job.Queue) > maxNameLength || ago >= Retention {
		return false
	}
	m.expire(now)
	at := now.Add(-max(ago, 0))
	if k := m.byJob[job]; k != nil {
		fresh := expired(now, k)
		if at.After(k.at) {
			k.at = at
		}
		return fresh
	}
	if m.byJob == nil {
		m.byJob = make(map[Job]*mark)
	}
	m.lastNumber++
	k := &mark{job: job, at: at, number: m.lastNumber}
	m.byJob[job] = k
	m.list = append(m.list, k)
	if len(m.list) > MaxMarks {
		m.dropped++
		m.removeOldest()
	}
	return true
}

// Has reports whether a job is marked.
func (m *Marks) Has(now time.Time, job Job) bool {
	if len(m.byJob) == 0 {
		return false
	}
	k := m.byJob[job]
	return k != nil && !expired(now, k)
}

// Relay records that agents have to hold the mark of a job.
func (m *Marks) Relay(job Job) {
	if k := m.byJob[job]; k != nil {
		k.relay = true
	}
}

// Relayed returns the marks that agents have to hold.
func (m *Marks) Relayed(now time.Time) []session.Cancel {
	return m.messages(now, func(k *mark) bool { return k.relay })
}

// Since returns the marks after the one with the number, and the number of the newest.
func (m *Marks) Since(now time.Time, number uint64) ([]session.Cancel, uint64) {
	if number == m.lastNumber {
		return nil, number
	}
	return m.messages(now, func(k *mark) bool { return k.number > number }), m.lastNumber
}

func (m *Marks) messages(now time.Time, match func(*mark) bool) []session.Cancel {
	var list []session.Cancel
	for _, k := range m.list {
		if match(k) && !expired(now, k) {
			list = append(list, session.Cancel{Job: k.job.Name, Queue: k.job.Queue, AgoMs: now.Sub(k.at).Milliseconds()})
		}
	}
	return list
}

// Len returns the number of marks, and Dropped how many were dropped before their time
// because there were too many.
func (m *Marks) Len() int { return len(m.list) }

// Dropped is described at Len.
func (m *Marks) Dropped() int { return m.dropped }

// Ago returns how long ago a job was canceled, by a message.
func Ago(c session.Cancel) time.Duration {
	ms := min(max(c.AgoMs, 0), Retention.Milliseconds())
	return time.Duration(ms) * time.Millisecond
}

func expired(now time.Time, k *mark) bool { return now.Sub(k.at) >= Retention }

// expire removes expired marks. One that is behind a younger one is removed with it.
func (m *Marks) expire(now time.Time) {
	for len(m.list) > 0 && expired(now, m.list[0]) {
		m.removeOldest()
	}
}

func (m *Marks) removeOldest() {
	delete(m.byJob, m.list[0].job)
	m.list[0] = nil
	m.list = m.list[1:]
}
