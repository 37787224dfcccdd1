package taskrunner

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/shares"
)

// startOrder returns the queue in the order in which its tasks should start, and how many
// of them, the last ones, give way to others. It logs when a shortage begins and ends.
func (m *Runner) startOrder() (order []*run, deferred int) {
	indexes, deferred := shares.Order(m.waiting(), m.timeline)
	order = make([]*run, len(indexes))
	for i, index := range indexes {
		order[i] = m.queue[index]
	}
	m.recordShortage(deferred)
	return order, deferred
}

// recordShortage logs when queued tasks begin to give way to others, and when no longer.
func (m *Runner) recordShortage(deferred int) {
	switch {
	case deferred > 0 && m.shortageSince.IsZero():
		m.shortageSince = m.now
		m.log("shortage_began", fmt.Sprintf("queued=%d deferred=%d", len(m.queue), deferred))
	case deferred == 0 && !m.shortageSince.IsZero():
		m.log("shortage_ended", fmt.Sprintf("took_ms=%d", m.now.Sub(m.shortageSince).Milliseconds()))
		m.shortageSince = time.Time{}
	}
	m.deferred = deferred
}

// Deferred returns how many queued tasks give way to others and are not expected to start
// in time.
func (m *Runner) Deferred() int { return m.deferred }

// waiting returns the queue as package shares takes it.
func (m *Runner) waiting() []shares.Waiting {
	list := make([]shares.Waiting, len(m.queue))
	for i, r := range m.queue {
		list[i] = m.asWaiting(r)
	}
	return list
}

func (m *Runner) asWaiting(r *run) shares.Waiting {
	return shares.Waiting{Rank: r.rank, CPU: r.cpu, RunTime: m.expectedRunTime(r), Within: r.startBy.Sub(m.now)}
}
