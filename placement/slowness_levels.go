package placement

import "math"

// Slowness levels are spaced by a factor of 2^(1/levelsPerDoubling).
const (
	levelsPerDoubling = 4
	levelCount        = 64
)

// slownessLevels aggregates the full agents by slowness, to estimate how soon
// this entry's own tasks on them end.
type slownessLevels [levelCount]struct {
	completionRate float64 // own tasks expected to end per mean service time
	slownessSum    float64 // over own tasks
	ownTasks       int
}

// levelEntry is what an agent has added to its level, kept so that remove
// subtracts the same values.
type levelEntry struct {
	level    int
	ownTasks int
	slowness float64
}

func levelOf(slowness float64) int {
	l := int(math.Round(levelsPerDoubling*math.Log2(slowness))) + levelCount/2
	return min(max(l, 0), levelCount-1)
}

func (l *slownessLevels) add(a *agent) {
	if a.ownTasks == 0 {
		return
	}
	a.levelEntry = levelEntry{level: levelOf(a.slowness), ownTasks: a.ownTasks, slowness: a.slowness}
	sum := &l[a.levelEntry.level]
	sum.ownTasks += a.levelEntry.ownTasks
	sum.completionRate += float64(a.levelEntry.ownTasks) / a.levelEntry.slowness
	sum.slownessSum += float64(a.levelEntry.ownTasks) * a.levelEntry.slowness
}

func (l *slownessLevels) remove(a *agent) {
	if a.levelEntry.ownTasks == 0 {
		return
	}
	sum := &l[a.levelEntry.level]
	sum.ownTasks -= a.levelEntry.ownTasks
	sum.completionRate -= float64(a.levelEntry.ownTasks) / a.levelEntry.slowness
	sum.slownessSum -= float64(a.levelEntry.ownTasks) * a.levelEntry.slowness
	a.levelEntry = levelEntry{}
}

// expectedFinish returns the time in which a task at the given queue position is
// expected to finish if it waits for a full agent of a lower level than limit,
// in mean service times. It is infinite if this entry has no tasks on such
// agents.
func (l *slownessLevels) expectedFinish(limit float64, queuePosition int) float64 {
	var completionRate, slownessSum float64
	ownTasks := 0
	for i := range levelOf(limit) {
		ownTasks += l[i].ownTasks
		completionRate += l[i].completionRate
		slownessSum += l[i].slownessSum
	}
	if ownTasks == 0 {
		return math.Inf(1)
	}
	return waitFactor*float64(queuePosition)/completionRate + slownessSum/float64(ownTasks)
}
