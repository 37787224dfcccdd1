package load

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
)

// Server describes a backend server for the ideal response time.
type Server struct {
	Slots int
	Speed float64 // divides the work times of tasks
}

// Capacity returns the work that the servers can do per second, in seconds of
// work time on a slot of speed 1.
func Capacity(servers []Server) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += float64(s.Slots) * s.Speed
	}
	return sum
}

// speedClass holds the slots of all servers of one speed, ordered by the time at
// which they become free.
type speedClass struct {
	speed float64
	slots *indexheap.Heap[*slot]
}

type slot struct {
	freeAt time.Duration   // from the start of the job
	index  indexheap.Index // position in speedClass.slots
}

// IdealResponseTime returns the time that a job would take alone on idle servers,
// as described in the package comment; zero if there are no servers. Each server has
// at least one slot.
func IdealResponseTime(servers []Server, tasks []Task) time.Duration {
	if len(servers) == 0 {
		return 0
	}
	classes := speedClasses(servers)
	work := make([]time.Duration, len(tasks))
	for i, t := range tasks {
		work[i] = t.Work
	}
	slices.SortFunc(work, func(a, b time.Duration) int { return int(b - a) })
	var last time.Duration
	for _, w := range work {
		last = max(last, place(classes, w))
	}
	return last
}

// place assigns a task to the slot where it finishes earliest and returns the
// time at which it finishes.
func place(classes []speedClass, work time.Duration) time.Duration {
	var best *speedClass
	var finish time.Duration
	for i := range classes {
		c := &classes[i]
		f := c.slots.First().freeAt + time.Duration(float64(work)/c.speed)
		if best == nil || f < finish {
			best, finish = c, f
		}
	}
	s := best.slots.First()
	s.freeAt = finish
	best.slots.Set(s)
	return finish
}

// speedClasses groups the slots of the servers by speed.
func speedClasses(servers []Server) []speedClass {
	var classes []speedClass
	for _, s := range servers {
		i := slices.IndexFunc(classes, func(c speedClass) bool { return c.speed == s.Speed })
		if i < 0 {
			i = len(classes)
			classes = append(classes, speedClass{speed: s.Speed, slots: indexheap.New(
				func(a, b *slot) bool { return a.freeAt < b.freeAt },
				func(x *slot) *indexheap.Index { return &x.index },
			)})
		}
		for range s.Slots {
			classes[i].slots.Set(&slot{})
		}
	}
	return classes
}
