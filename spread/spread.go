// Package spread chooses among servers on which several entries place tasks without
// knowing of each other. An entry knows each server by its agent's last state. If all
// entries took the server that is freest by that state, they would fill it together and
// leave others idle. So each entry deducts from the free capacity what the others are
// expected to place until its order arrives, and takes the best of a few random
// servers that still have enough, those of its own availability zone first.
//
// Capacity is in thousandths of a core.
package spread

import (
	"math/rand/v2"
	"slices"
)

// draws is the number of random servers of which the best is taken (the power of d
// choices). With two, entries collide least; with more, tasks get servers on which they have
// more time left.
const draws = 6

// Server is a server that is expected to end a task in time.
type Server struct {
	Local bool // in the availability zone of the entry
	// Unreliable servers are taken only if no other has spare capacity.
	Unreliable bool
	// Spare is the capacity expected to be free, besides the task, when the order arrives.
	Spare float64
	// Weight decides between the servers drawn: the highest one is taken.
	Weight float64
}

// Chooser chooses servers. It is not safe for concurrent use.
type Chooser struct {
	random *rand.Rand
	pools  [3][]int // indices of servers with spare capacity: local, remote, unreliable
}

// NewChooser returns a Chooser. Entries need different seeds; the same seed makes the
// same choices.
func NewChooser(seed uint64) *Chooser { return &Chooser{random: rand.New(rand.NewPCG(seed, 0))} }

// Choose returns the index of the server for a task. It reports false if none has spare
// capacity, so that the task has to wait wherever it is placed.
func (c *Chooser) Choose(servers []Server) (int, bool) {
	for i := range c.pools {
		c.pools[i] = c.pools[i][:0]
	}
	for i, s := range servers {
		if s.Spare < 0 {
			continue
		}
		rank := 1
		switch {
		case s.Unreliable:
			rank = 2
		case s.Local:
			rank = 0
		}
		c.pools[rank] = append(c.pools[rank], i)
	}
	first := slices.IndexFunc(c.pools[:], func(p []int) bool { return len(p) > 0 })
	if first < 0 {
		return 0, false
	}
	pool := c.pools[first]
	best := pool[c.random.IntN(len(pool))]
	for range draws - 1 {
		if i := pool[c.random.IntN(len(pool))]; servers[i].Weight > servers[best].Weight {
			best = i
		}
	}
	return best, true
}
