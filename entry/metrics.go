package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
)

// registerIntakeGauges registers gauges for what callers occupy.
func (e *Entry) registerIntakeGauges() {
	for name, value := range map[string]func() int64{
		"connections_open":            func() int64 { open, _ := e.httpListener.Counts(); return int64(open) },
		"connections_closed_at_limit": func() int64 { _, closed := e.httpListener.Counts(); return closed },
		"body_bytes_held":             func() int64 { held, _ := e.bodies.Held(); return held },
		"message_bytes_held":          func() int64 { held, _ := e.messages.Held(); return held },
		"messages_refused":            func() int64 { _, refused := e.messages.Held(); return refused },
		"bodies_refused":              func() int64 { _, refused := e.bodies.Held(); return refused },
	} {
		_ = e.metrics.Register(name, metrics.NewFunctionalGauge(value)) // the names are unique
	}
}

// registerGauges registers gauges for the coordinator's current state.
func (e *Entry) registerGauges() {
	for name, value := range map[string]func(*coordinator.Dump) int{
		"jobs_open":    func(d *coordinator.Dump) int { return d.OpenJobs },
		"tasks_open":   func(d *coordinator.Dump) int { return d.OpenTasks },
		"answers_kept": func(d *coordinator.Dump) int { return d.Answers },
		"bytes_held":   func(d *coordinator.Dump) int { return d.HeldBytes },
		"ids_reserved": func(d *coordinator.Dump) int { return d.Reserved },
		"agents_known": func(d *coordinator.Dump) int { return len(d.Agents) },
	} {
		gauge := metrics.NewFunctionalGauge(func() int64 {
			d, _ := e.snapshot()
			return int64(value(&d))
		})
		// Register fails only for duplicate names, and these are unique.
		_ = e.metrics.Register(name, gauge)
	}
}
