package taskrunner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxLoggedTasks bounds the tasks that a line about a crash lists.
const maxLoggedTasks = 32

// serverCrashed records that the server's process is gone: calls fail and connections
// are refused. A network that refuses connections looks the same, so that the tasks
// count as running until their lease has expired.
func (m *Runner) serverCrashed() {
	m.serverGone = true
	runs := m.startedRuns()
	var tasks strings.Builder
	for i, r := range runs[:min(len(runs), maxLoggedTasks)] {
		if i > 0 {
			tasks.WriteByte(',')
		}
		fmt.Fprintf(&tasks, "%s:%s:%d", r.key, r.queue, m.ranBeforeFailure(r).Milliseconds())
	}
	m.log("server_crashed", fmt.Sprintf("server=%s run=%d draining=%t tasks=%d youngest=%s", m.server.ID, m.clockIncarnation, m.server.Draining, len(runs), tasks.String()))
}

// startedRuns returns the runs that are not queued, the last started first.
func (m *Runner) startedRuns() []*run {
	list := slices.DeleteFunc(m.sortedRuns(), func(r *run) bool { return r.phase == queued })
	slices.SortStableFunc(list, func(a, b *run) int { return cmp.Compare(m.ranBeforeFailure(a), m.ranBeforeFailure(b)) })
	return list
}

// ranBeforeFailure returns how long a run had been started when calls to the server
// began to fail.
func (m *Runner) ranBeforeFailure(r *run) time.Duration {
	since := r.sentAt
	if r.confirmed {
		since = r.startedAt
	}
	return max(m.failingSince.Sub(since), 0)
}
