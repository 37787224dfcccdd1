package placement

import "math"

// Levels of slowness, a factor of 2^(1/levelsPerDoubling) apart.
const (
	levelsPerDoubling = 4
	levelCount        = 64
)

// levels sums up the agents that are full, by slowness: how soon this entry's
// own tasks on them end.
type levels [levelCount]struct {
	ending   float64 // own tasks that end in a mean service time
	slowness float64 // sum over own tasks
	own      int
}

// held is what an agent adds to its level.
type held struct {
	level    int
	own      int
	slowness float64
}

func levelOf(slowness float64) int {
	l := int(math.Round(levelsPerDoubling*math.Log2(slowness))) + levelCount/2
	return min(max(l, 0), levelCount-1)
}

func (l *levels) add(a *agent) {
	if a.own == 0 {
		return
	}
	a.held = held{level: levelOf(a.slowness), own: a.own, slowness: a.slowness}
	at := &l[a.held.level]
	at.own += a.held.own
	at.ending += float64(a.held.own) / a.held.slowness
	at.slowness += float64(a.held.own) * a.held.slowness
}

func (l *levels) remove(a *agent) {
	if a.held.own == 0 {
		return
	}
	at := &l[a.held.level]
	at.own -= a.held.own
	at.ending -= float64(a.held.own) / a.held.slowness
	at.slowness -= float64(a.held.own) * a.held.slowness
	a.held = held{}
}

// wait returns when the last of the waiting tasks is expected to finish, in
// mean service times, if they wait for agents with a slowness below limit;
// infinite if there is none.
func (l *levels) wait(limit float64, waiting int) float64 {
	var ending, slowness float64
	own := 0
	for i := range levelOf(limit) {
		own += l[i].own
		ending += l[i].ending
		slowness += l[i].slowness
	}
	if own == 0 {
		return math.Inf(1)
	}
	return holdWeight*float64(waiting)/ending + slowness/float64(own)
}
