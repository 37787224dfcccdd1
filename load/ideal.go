package load

import (
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/indexheap"
)

// Server is a backend server as the ideal knows it.
type Server struct {
	Slots int
	Speed float64 // divides the work times
}

// Capacity returns the work that the servers do in a second, in seconds on a
// server of speed 1.
func Capacity(servers []Server) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += float64(s.Slots) * s.Speed
	}
	return sum
}

// slots of one speed, the first free one on top.
type speedClass struct {
	speed float64
	free  *indexheap.Heap[*slot]
}

type slot struct {
	free  time.Duration
	index indexheap.Index
}

// IdealResponseTime returns how long a job would take alone on idle servers.
func IdealResponseTime(servers []Server, tasks []Task) time.Duration {
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

// place puts a task on the slot where it ends first and returns that end.
func place(classes []speedClass, work time.Duration) time.Duration {
	var best *speedClass
	var end time.Duration
	for i := range classes {
		c := &classes[i]
		e := c.free.First().free + time.Duration(float64(work)/c.speed)
		if best == nil || e < end {
			best, end = c, e
		}
	}
	s := best.free.First()
	s.free = end
	best.free.Set(s)
	return end
}

func speedClasses(servers []Server) []speedClass {
	var classes []speedClass
	for _, s := range servers {
		i := slices.IndexFunc(classes, func(c speedClass) bool { return c.speed == s.Speed })
		if i < 0 {
			i = len(classes)
			classes = append(classes, speedClass{speed: s.Speed, free: indexheap.New(
				func(a, b *slot) bool { return a.free < b.free },
				func(x *slot) *indexheap.Index { return &x.index },
			)})
		}
		for range s.Slots {
			classes[i].free.Set(&slot{})
		}
	}
	return classes
}
