// Package spread chooses among servers on which several entries place tasks without
// knowing of each other. An entry knows each server by its agent's last state. If all
// entries took the server that is freest by that state, they would fill it together and
// leave others idle. So each entry deducts from the free capacity what the others are
// expected to place until its order arrives, and takes the best of a few random
// servers that still have enough, those of its own availability zone first.
//
// Capacity is in thousandths of a core.
package spread

import "math/rand/v2"

// draws is the number of random servers of which the best is taken (the power of d
// choices). With two, entries collide least; with more, tasks get servers on which they have
// more time left.
const draws = 6

// Server is a server that is expected to end a task in time.
type Server struct {
	Local bool // in the availability zone of the entry
	// Spare is the capacity expected to be free, besides the task, when the order arrives.
	Spare float64
	// Weight decides between the servers drawn: the highest one is taken.
	Weight float64
}

// Chooser chooses servers. It is not safe for concurrent use.
type Chooser struct {
	random        *rand.Rand
	local, remote []int // indices of servers with spare capacity, of the last choice
}

// NewChooser returns a Chooser. Entries need different seeds; the same seed makes the
// same choices.
func NewChooser(seed uint64) *Chooser { return &Chooser{random: rand.New(rand.NewPCG(seed, 0))} }

// Choose returns the index of the server for a task. It reports false if none has spare capacity, so
// that the task has to wait wherever it is placed.
func (c *Chooser) Choose(servers []Server) (int, bool) {
	c.local, c.remote = c.local[:0], c.remote[:0]
	for i, s := range servers {
		switch {
		case s.Spare < 0:
		case s.Local:
			c.local = append(c.local, i)
		default:
			c.remote = append(c.remote, i)
		}
	}
	pool := c.local
	if len(pool) == 0 {
		pool = c.remote
	}
	if len(pool) == 0 {
		return 0, false
	}
	best := pool[c.random.IntN(len(pool))]
	for range draws - 1 {
		if i := pool[c.random.IntN(len(pool))]; servers[i].Weight > servers[best].Weight {
			best = i
		}
	}
	return best, true
}
