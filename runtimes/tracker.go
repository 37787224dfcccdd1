package runtimes

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// Tracker learns the distributions of the queues whose tasks one server runs. The zero
// value knows nothing.
type Tracker struct {
	queues []*trackedQueue // sorted by name
	// version increases with each publication.
	version uint64
}

type trackedQueue struct {
	name         string
	histogram    histogram
	current      Distribution // as published
	publishedAt  time.Time
	publishedVer uint64
}

// Record records the ratio of a task that has ended.
func (t *Tracker) Record(now time.Time, queue string, ratio float64) {
	if queue == "" || ratio <= 0 || math.IsNaN(ratio) || math.IsInf(ratio, 0) {
		return
	}
	q := t.queue(queue)
	q.histogram.decay(now)
	q.histogram.add(ratio, 1)
	if now.Sub(q.publishedAt) >= publishInterval || q.histogram.total >= growthToPublish*float64(q.current.Samples) {
		t.version++
		q.current, q.publishedAt, q.publishedVer = q.histogram.distribution(), now, t.version
	}
}

// queue returns the entry of a queue. If there are too many, it replaces the one that
// recorded least.
func (t *Tracker) queue(name string) *trackedQueue {
	i, found := slices.BinarySearchFunc(t.queues, name, func(q *trackedQueue, name string) int { return cmp.Compare(q.name, name) })
	if found {
		return t.queues[i]
	}
	if len(t.queues) >= maxQueues {
		least := slices.IndexFunc(t.queues, func(q *trackedQueue) bool { return q == t.lightest() })
		t.queues = slices.Delete(t.queues, least, least+1)
		if least < i {
			i--
		}
	}
	q := &trackedQueue{name: name}
	t.queues = slices.Insert(t.queues, i, q)
	return q
}

func (t *Tracker) lightest() *trackedQueue {
	return slices.MinFunc(t.queues, func(a, b *trackedQueue) int { return cmp.Compare(a.histogram.total, b.histogram.total) })
}

// Of returns the distribution of a queue. It is unknown while there are too few samples.
func (t *Tracker) Of(queue string) Distribution {
	i, found := slices.BinarySearchFunc(t.queues, queue, func(q *trackedQueue, name string) int { return cmp.Compare(q.name, name) })
	if !found || !t.queues[i].current.Known() {
		return Distribution{}
	}
	return t.queues[i].current
}

// Since returns the distributions published after a version, and the version to pass the
// next time. Version zero stands for all. Those of few samples are included, because many
// servers together may have enough.
func (t *Tracker) Since(version uint64) ([]session.RunTimes, uint64) {
	if version == t.version {
		return nil, version
	}
	var list []session.RunTimes
	for _, q := range t.queues {
		if q.publishedVer > version {
			list = append(list, q.current.Message(q.name))
		}
	}
	return list, t.version
}

// Queues returns the sorted names of the queues whose distribution is known.
func (t *Tracker) Queues() []string {
	var names []string
	for _, q := range t.queues {
		if q.current.Known() {
			names = append(names, q.name)
		}
	}
	return names
}

// Tracked returns the number of queues that are kept, known or not.
func (t *Tracker) Tracked() int { return len(t.queues) }
