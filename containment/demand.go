package containment

import (
	"math"
	"time"
)

const (
	// demandDecayTime is the time constant of the work of a queue.
	demandDecayTime = 10 * time.Second
	// priorJobs is how many jobs the assumption counts that a queue has no work, so that
	// an entry that has just started does not judge by its first jobs.
	priorJobs = 30
	// maxDemands bounds the queues whose work is kept.
	maxDemands = 4096
)

// demand is the recently admitted work of the queues of a service.
type demand struct {
	total  work
	jobs   work // number of jobs
	queues map[string]*work
}

// work is an amount, of core-seconds or of jobs, with exponential decay.
type work struct {
	amount    float64
	decayedAt time.Time
}

func (w *work) add(now time.Time, amount float64) {
	w.amount = w.at(now) + amount
	w.decayedAt = now
}

func (w *work) at(now time.Time) float64 {
	return w.amount * math.Exp(-float64(now.Sub(w.decayedAt))/float64(demandDecayTime))
}

func (t *Tracker) recordDemand(e JobAdmitted) {
	d := t.demands[e.Service]
	if d == nil || len(d.queues) >= maxDemands {
		d = &demand{queues: make(map[string]*work)}
		t.demands[e.Service] = d
	}
	q := d.queues[e.Queue]
	if q == nil {
		q = &work{}
		d.queues[e.Queue] = q
	}
	q.add(t.now, e.Work)
	d.total.add(t.now, e.Work)
	d.jobs.add(t.now, 1)
}

// shareOf returns the share of a queue in the work of its service.
func (t *Tracker) shareOf(service, queue string) float64 {
	d := t.demands[service]
	if d == nil || d.queues[queue] == nil || d.total.at(t.now) <= 0 {
		return 0
	}
	jobs := d.jobs.at(t.now)
	return d.queues[queue].at(t.now) / d.total.at(t.now) * jobs / (jobs + priorJobs)
}
