package gateway

import (
	"github.com/rcrowley/go-metrics"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// gatewayMetrics contains the metrics of an entry. Times are in microseconds.
type gatewayMetrics struct {
	registry       metrics.Registry
	configVersion  metrics.Gauge
	configErrors   metrics.Counter
	storeLost      metrics.Counter
	rejected       metrics.Counter
	evacuations    metrics.Counter
	zonesEvacuated metrics.Gauge

	serversCrashed, tasksGivenUp, queuesConfined metrics.Counter

	cancelsReceived, cancelsLearned, cancelsUnconfirmed metrics.Counter
	cancelsEntriesMissed, cancelsSubmitted              metrics.Counter

	turnWait, messageDelay           metrics.Histogram
	reopeningsDelayed, retriesDenied metrics.Counter
	callersProbed, callersSilent     metrics.Counter
	callersReplaced                  metrics.Counter

	placesKept, placesAway, placesGivenUp      metrics.Counter
	tasksPlaced, tasksOtherZone, tasksReturned metrics.Counter
}

func newMetrics(g *Gateway) *gatewayMetrics {
	r := metrics.NewRegistry()
	m := &gatewayMetrics{
		registry:       r,
		configVersion:  metrics.NewRegisteredGauge("config.version", r),
		configErrors:   metrics.NewRegisteredCounter("config.unreadable", r),
		storeLost:      metrics.NewRegisteredCounter("store.lost", r),
		rejected:       metrics.NewRegisteredCounter("jobs.rejected", r),
		evacuations:    metrics.NewRegisteredCounter("evacuations", r),
		zonesEvacuated: metrics.NewRegisteredGauge("evacuations.zones", r),

		serversCrashed: metrics.NewRegisteredCounter("crashes.servers", r),
		tasksGivenUp:   metrics.NewRegisteredCounter("crashes.tasks_given_up", r),
		queuesConfined: metrics.NewRegisteredCounter("crashes.queues_confined", r),

		cancelsReceived:      metrics.NewRegisteredCounter("cancels.received", r),
		cancelsLearned:       metrics.NewRegisteredCounter("cancels.learned", r),
		cancelsUnconfirmed:   metrics.NewRegisteredCounter("cancels.unconfirmed", r),
		cancelsEntriesMissed: metrics.NewRegisteredCounter("cancels.entries_missed", r),
		cancelsSubmitted:     metrics.NewRegisteredCounter("cancels.submitted_again", r),

		turnWait:          instance.Histogram("overload.turn_wait.time", r),
		messageDelay:      instance.Histogram("overload.message_delay.time", r),
		reopeningsDelayed: metrics.NewRegisteredCounter("sessions.reopenings_delayed", r),
		retriesDenied:     metrics.NewRegisteredCounter("tasks.retries_denied", r),
		callersProbed:     metrics.NewRegisteredCounter("callers.probed", r),
		callersSilent:     metrics.NewRegisteredCounter("callers.silent", r),
		callersReplaced:   metrics.NewRegisteredCounter("callers.replaced", r),

		placesKept:    metrics.NewRegisteredCounter("places.tasks_kept", r),
		placesAway:    metrics.NewRegisteredCounter("places.tasks_away", r),
		placesGivenUp: metrics.NewRegisteredCounter("places.waits_given_up", r),

		tasksPlaced:    metrics.NewRegisteredCounter("tasks.placed", r),
		tasksOtherZone: metrics.NewRegisteredCounter("tasks.placed_other_zone", r),
		tasksReturned:  metrics.NewRegisteredCounter("tasks.returned", r),
	}
	r.Register("jobs.open", metrics.NewFunctionalGauge(func() int64 { return int64(g.openJobs()) }))
	r.Register("overload.waiting", metrics.NewFunctionalGauge(func() int64 { return int64(g.turns.state().waiting) }))
	r.Register("overload.expected_wait", metrics.NewFunctionalGauge(func() int64 { return g.turns.state().expectedWait.Microseconds() }))
	r.Register("overload.admitted_per_mille", metrics.NewFunctionalGauge(func() int64 { return int64(1000 * g.turns.state().share) }))
	r.Register("overload.rejected", metrics.NewFunctionalGauge(func() int64 { return int64(g.turns.state().counts.Rejected) }))
	r.Register("overload.expired", metrics.NewFunctionalGauge(func() int64 { return int64(g.turns.state().counts.Expired) }))
	r.Register("connections.open", metrics.NewFunctionalGauge(func() int64 { open, _ := g.listeners.Counts(); return int64(open) }))
	r.Register("connections.closed_at_limit", metrics.NewFunctionalGauge(func() int64 { _, closed := g.listeners.Counts(); return closed }))
	r.Register("bodies.held_bytes", metrics.NewFunctionalGauge(func() int64 { held, _ := g.bodies.Held(); return held }))
	r.Register("messages.held_bytes", metrics.NewFunctionalGauge(func() int64 { held, _ := g.messages.Held(); return held }))
	r.Register("messages.refused", metrics.NewFunctionalGauge(func() int64 { _, refused := g.messages.Held(); return refused }))
	r.Register("bodies.refused", metrics.NewFunctionalGauge(func() int64 { _, refused := g.bodies.Held(); return refused }))
	r.Register("bytes.sent", metrics.NewFunctionalGauge(func() int64 { return rpcconn.TotalTraffic().BytesSent }))
	r.Register("run_times.queues", metrics.NewFunctionalGauge(func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return int64(g.dispatcher.RunTimeQueues())
	}))
	r.Register("evacuations.unheard", metrics.NewFunctionalGauge(func() int64 { return g.topicUnheard().Milliseconds() }))
	r.Register("cancels.marks", metrics.NewFunctionalGauge(func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return int64(g.dispatcher.CancelMarks())
	}))
	r.Register("sessions", metrics.NewFunctionalGauge(func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return int64(len(g.sessions))
	}))
	return m
}

// recordJob counts an answered job or a refused call by queue and outcome.
func (m *gatewayMetrics) recordJob(e *dispatch.JobMetrics) {
	outcome := "refused"
	if e.Status != 0 {
		outcome = e.Status.String()
	}
	name := "jobs." + e.Queue + "." + outcome
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
	if e.Late && e.Status == dispatch.Completed {
		metrics.GetOrRegisterCounter("jobs."+e.Queue+".late", m.registry).Inc(1)
	}
	instance.Histogram(name+".time", m.registry).Update(e.Took.Microseconds())
}

// recordPlan counts an admitted job that may miss its objective.
func (m *gatewayMetrics) recordPlan(e *dispatch.PlanMetrics) {
	if e.Uncertain {
		metrics.GetOrRegisterCounter("jobs."+e.Queue+".uncertain", m.registry).Inc(1)
	}
}

// recordShare counts decisions under shortage by queue and outcome.
func (m *gatewayMetrics) recordShare(e *dispatch.ShareMetrics) {
	metrics.GetOrRegisterCounter("shares."+e.Queue+"."+e.Outcome, m.registry).Inc(1)
}

// recordCrash counts crashes of servers and what followed from them.
func (m *gatewayMetrics) recordCrash(e *dispatch.CrashMetrics) {
	m.serversCrashed.Inc(int64(e.Servers))
	m.tasksGivenUp.Inc(int64(e.TasksGivenUp))
	m.queuesConfined.Inc(int64(e.QueuesConfined))
}

// recordCancel counts cancels and what came after them.
func (m *gatewayMetrics) recordCancel(e *dispatch.CancelMetrics) {
	m.cancelsReceived.Inc(int64(e.Received))
	m.cancelsLearned.Inc(int64(e.Learned))
	m.cancelsUnconfirmed.Inc(int64(e.Unconfirmed))
	m.cancelsEntriesMissed.Inc(int64(e.EntriesMissed))
	m.cancelsSubmitted.Inc(int64(e.Submitted))
}

// recordPlaces counts the tasks of jobs that have a place.
func (m *gatewayMetrics) recordPlaces(e *dispatch.PlaceMetrics) {
	m.placesKept.Inc(int64(e.Kept))
	m.placesAway.Inc(int64(e.Away))
	m.placesGivenUp.Inc(int64(e.GivenUp))
}

// recordPlacement counts where tasks were placed, and those that agents returned.
func (m *gatewayMetrics) recordPlacement(e *dispatch.PlacementMetrics) {
	m.tasksPlaced.Inc(int64(e.Placed))
	m.tasksOtherZone.Inc(int64(e.OtherZone))
	m.tasksReturned.Inc(int64(e.Returned))
}

// Dump implements ops.Source.
func (g *Gateway) Dump() any {
	evacuated, unheard := g.evacuation(), g.topicUnheard()
	g.mu.Lock()
	defer g.mu.Unlock()
	return struct {
		Name        string              `json:"name"`
		Incarnation structs.Incarnation `json:"incarnation"`
		Config      int64               `json:"config_version"`
		Evacuation  session.Evacuation  `json:"evacuation"`
		UnheardMs   int64               `json:"topic_unheard_ms"` // zero unless the view of the evacuations is stale
		Leaving     bool                `json:"leaving"`
		State       any                 `json:"state"`
	}{g.opts.Name, g.self.Incarnation, g.config.raw().Version, evacuated, unheard.Milliseconds(), g.leaving.Load(), g.dispatcher.Dump(boottime.Now())}
}
