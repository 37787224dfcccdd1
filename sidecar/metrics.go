package sidecar

import (
	"github.com/rcrowley/go-metrics"

	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// sidecarMetrics contains the metrics of an agent. Times are in microseconds.
type sidecarMetrics struct {
	registry metrics.Registry
	starts   metrics.Counter
	stops    metrics.Counter
	// stopsDeferred counts stops that were not sent because of maxOpenStops.
	stopsDeferred metrics.Counter
	startTime     metrics.Histogram
	// topicReads counts the replies to reads of the operators' topic, storeLost the times
	// that they began to fail.
	topicReads, storeLost metrics.Counter
}

func newMetrics(s *Sidecar) *sidecarMetrics {
	r := metrics.NewRegistry()
	r.Register("server.connections", metrics.NewFunctionalGauge(func() int64 { return s.platform.Server.Connections() }))
	r.Register("connections.open", metrics.NewFunctionalGauge(func() int64 { open, _ := s.listeners.Counts(); return int64(open) }))
	r.Register("connections.closed_at_limit", metrics.NewFunctionalGauge(func() int64 { _, closed := s.listeners.Counts(); return closed }))
	r.Register("bodies.held_bytes", metrics.NewFunctionalGauge(func() int64 { held, _ := s.bodies.Held(); return held }))
	r.Register("messages.held_bytes", metrics.NewFunctionalGauge(func() int64 { held, _ := s.messages.Held(); return held }))
	r.Register("messages.refused", metrics.NewFunctionalGauge(func() int64 { _, refused := s.messages.Held(); return refused }))
	r.Register("bodies.refused", metrics.NewFunctionalGauge(func() int64 { _, refused := s.bodies.Held(); return refused }))
	r.Register("sessions", metrics.NewFunctionalGauge(func() int64 { return int64(s.connections()) }))
	r.Register("run_times.tail_tasks", metrics.NewFunctionalGauge(func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.runner.TailTasks()
	}))
	r.Register("tasks.deferred", metrics.NewFunctionalGauge(func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return int64(s.runner.Deferred())
	}))
	r.Register("evacuations.watching", metrics.NewFunctionalGauge(func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.runner.WatchingTopic() {
			return 1
		}
		return 0
	}))
	return &sidecarMetrics{
		registry: r,
		starts:   metrics.NewRegisteredCounter("tasks.start_orders", r),
		stops:    metrics.NewRegisteredCounter("tasks.stop_orders", r),

		stopsDeferred: metrics.NewRegisteredCounter("tasks.stop_orders_deferred", r),
		startTime:     instance.Histogram("tasks.start_order.time", r),

		topicReads: metrics.NewRegisteredCounter("evacuations.topic_reads", r),
		storeLost:  metrics.NewRegisteredCounter("store.lost", r),
	}
}

// Dump implements ops.Source.
func (s *Sidecar) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Name        string              `json:"name"`
		Incarnation structs.Incarnation `json:"incarnation"`
		State       any                 `json:"state"`
	}{s.opts.Name, s.self.Incarnation, s.runner.Dump(boottime.Now())}
}
