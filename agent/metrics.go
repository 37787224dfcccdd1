package agent

import (
	"github.com/rcrowley/go-metrics"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Parameters of the exponentially decaying samples behind the histograms.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

type agentMetrics struct {
	registry    metrics.Registry
	started     metrics.Counter
	done        map[structs.Verdict]metrics.Counter
	failed      metrics.Counter
	refused     metrics.Counter
	serviceTime metrics.Histogram // microseconds
}

func newMetrics(a *Agent) *agentMetrics {
	r := metrics.NewRegistry()
	m := &agentMetrics{
		registry: r,
		started:  metrics.NewRegisteredCounter("tasks_started", r),
		done: map[structs.Verdict]metrics.Counter{
			structs.Ran:        metrics.NewRegisteredCounter("tasks_done_ran", r),
			structs.NotRun:     metrics.NewRegisteredCounter("tasks_done_not_run", r),
			structs.MayHaveRun: metrics.NewRegisteredCounter("tasks_done_may_have_run", r),
		},
		failed:      metrics.NewRegisteredCounter("tasks_done_failed", r),
		refused:     metrics.NewRegisteredCounter("tasks_refused", r),
		serviceTime: metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	r.Register("backend_service_time_us", m.serviceTime)
	m.gauge("tasks_running", func() int { return a.state().Running })
	m.gauge("tasks_queued", func() int { return a.state().Queued })
	m.gauge("rpc_connections", func() int { return a.rpc.Conns() })
	m.gauge("connections_open", func() int { open, _ := a.httpListener.Counts(); return open })
	m.gauge("connections_closed_at_limit", func() int { _, closed := a.httpListener.Counts(); return int(closed) })
	m.gauge("message_bytes_held", func() int { held, _ := a.messages.Held(); return int(held) })
	m.gauge("messages_refused", func() int { _, refused := a.messages.Held(); return int(refused) })
	m.gauge("entries_known", func() int { return len(a.announcer.dir.list()) })
	return m
}

func (m *agentMetrics) gauge(name string, value func() int) {
	metrics.NewRegisteredFunctionalGauge(name, m.registry, func() int64 { return int64(value()) })
}

// count updates the counters for a log event of the executor.
func (m *agentMetrics) count(ev *executor.LogEvent) {
	switch ev.Event {
	case "task_refused":
		m.refused.Inc(1)
	case "task_done":
		m.done[*ev.Verdict].Inc(1)
		if ev.Detail != "" {
			m.failed.Inc(1)
		}
	}
}
