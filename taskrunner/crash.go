package taskrunner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// maxLoggedTasks bounds the tasks that a line about a crash lists.
	maxLoggedTasks = 32
	// maxCrashTasks bounds the tasks that the report of a crash lists: those started
	// last, which are the most likely to have caused it.
	maxCrashTasks = 32
	// crashRetention is how long a crash is reported to new sessions, maxCrashes how
	// many are. A report is some kB, and all sessions may open at once on slow links.
	crashRetention = 30 * time.Second
	maxCrashes     = 4
	// startRateDecayTime is the time constant of the rates of starts.
	startRateDecayTime = 3 * time.Second
	// maxStartRates bounds the queues whose rate of starts is kept.
	maxStartRates = 256
)

// crash is a crash of the backend server.
type crash struct {
	number uint64 // from 1
	at     time.Time
	report session.Crash
}

// serverCrashed records that the server's process has ended: calls fail and connections
// are refused, or another incarnation replies. A network that refuses connections
// cannot be told from it, so the tasks count as running until their lease has expired.
func (m *Runner) serverCrashed(at time.Time) {
	runs := m.startedRuns(at)
	var tasks strings.Builder
	for i, r := range runs[:min(len(runs), maxLoggedTasks)] {
		if i > 0 {
			tasks.WriteByte(',')
		}
		fmt.Fprintf(&tasks, "%s:%s:%d", r.key, r.queue, r.startedBefore(at).Milliseconds())
	}
	m.log("server_crashed", fmt.Sprintf("server=%s run=%d draining=%t tasks=%d youngest=%s", m.server.ID, m.clockIncarnation, m.server.Draining, len(runs), tasks.String()))
	if m.server.Draining {
		return // it leaves as announced
	}
	m.lastCrash++
	c := crash{number: m.lastCrash, at: at, report: session.Crash{Run: m.clockIncarnation, Starts: m.starts.list(at)}}
	for _, r := range runs[:min(len(runs), maxCrashTasks)] {
		c.report.Tasks = append(c.report.Tasks, session.LostTask{
			Job: r.key.Job, Index: r.key.Index, Queue: r.queue, Ran: int(r.startedBefore(at).Milliseconds()), Started: r.confirmed,
		})
	}
	m.crashes = append(m.crashes, c)
	if len(m.crashes) > maxCrashes {
		m.crashes = slices.Delete(m.crashes, 0, 1)
	}
	m.wakePolls()
}

// startedRuns returns the runs that are not queued, the last started first.
func (m *Runner) startedRuns(before time.Time) []*run {
	list := slices.DeleteFunc(m.sortedRuns(), func(r *run) bool { return r.phase == queued })
	slices.SortStableFunc(list, func(a, b *run) int { return cmp.Compare(a.startedBefore(before), b.startedBefore(before)) })
	return list
}

// startedBefore returns how long before a time the run was started.
func (r *run) startedBefore(t time.Time) time.Duration {
	since := r.sentAt
	if r.confirmed {
		since = r.startedAt
	}
	return max(t.Sub(since), 0)
}

// unsentCrashes returns the recent crashes that have not been sent in the session, and
// marks them as sent.
func (m *Runner) unsentCrashes(s *entrySession) []session.Crash {
	var list []session.Crash
	for _, c := range m.crashes {
		age := m.now.Sub(c.at)
		if c.number <= s.crashSent || age > crashRetention {
			continue
		}
		report := c.report
		report.Ago = int(age.Milliseconds())
		list = append(list, report)
	}
	s.crashSent = m.lastCrash
	return list
}

// startRates are the numbers of recent starts by queue, with exponential decay.
type startRates map[string]*startRate

type startRate struct {
	starts    float64
	decayedAt time.Time
}

func (r *startRate) decay(now time.Time) {
	r.starts *= math.Exp(-float64(now.Sub(r.decayedAt)) / float64(startRateDecayTime))
	r.decayedAt = now
}

func (s startRates) record(now time.Time, queue string) {
	r := s[queue]
	if r == nil {
		if len(s) >= maxStartRates {
			clear(s)
		}
		r = &startRate{decayedAt: now}
		s[queue] = r
	}
	r.decay(now)
	r.starts++
}

// list returns the rates at a time, in the order of the queues' names.
func (s startRates) list(now time.Time) []session.StartRate {
	var list []session.StartRate
	for queue, r := range s {
		age := max(now.Sub(r.decayedAt), 0)
		list = append(list, session.StartRate{Queue: queue, PerSecond: r.starts * math.Exp(-float64(age)/float64(startRateDecayTime)) / startRateDecayTime.Seconds()})
	}
	slices.SortFunc(list, func(a, b session.StartRate) int { return cmp.Compare(a.Queue, b.Queue) })
	return list
}
