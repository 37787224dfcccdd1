package containment

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/rendezvous"
)

const (
	// minChance is the least chance assumed that a server has just started a task of a
	// queue when it crashes for another reason. maxWeight is the most that one crash
	// counts against a queue. It is below confiningEvidence, so that one crash confines
	// none.
	minChance = 0.02
	maxWeight = 1.5
	// exoneration is what a crash counts in favor of a queue of which the server had
	// not just started a task. It is small, because tasks of another queue may have
	// caused the crash.
	exoneration = 0.5
	// confiningEvidence is the log-likelihood ratio from which on a queue is confined:
	// odds of six to one.
	confiningEvidence = 1.8
	// evidenceDecayTime is the time constant with which evidence decays.
	evidenceDecayTime = 20 * time.Second
	// maxEvidenceAge is the age from which on a crash is no evidence against queues. An
	// entry that has just started learns of crashes after which the others have
	// released the queue.
	maxEvidenceAge = 10 * time.Second
	// groupTime is the time within which crashes of several servers count once against
	// queues: a rack or zone that fails at once is no evidence of what ran there.
	groupTime = 100 * time.Millisecond
	// successesToWiden is the number of completed jobs without a crash after which a
	// confined queue gets more servers. A queue with few jobs gets them after
	// minWideningTime without a crash, with at least minSuccessesToWiden jobs.
	successesToWiden    = 30
	minSuccessesToWiden = 5
	minWideningTime     = 3 * time.Second
	// idleRelease is the time without a crash after which a queue is released in any
	// case.
	idleRelease = 30 * time.Second
	// maxQueues bounds the queues with evidence.
	maxQueues = 4096
	// minShare is the least share of the servers that a confined queue gets. It is
	// also the share of servers that the tasks of a queue must have crashed recently
	// for it to be confined: fewer crashes cost the other queues less.
	minShare = 1.0 / 6
	// recentTime is the time within which crashed servers are not back yet.
	recentTime = 3 * time.Second
	// widenings is the number of steps in which a confined queue gets all servers
	// again.
	widenings = 3
)

// queueRecord is the evidence against a queue.
type queueRecord struct {
	evidence  float64 // log-likelihood ratio of the last crashes
	decayedAt time.Time
	agents    []string    // of the crashes that are evidence, up to two
	recent    []time.Time // crashes within recentTime
	confined  bool
	share     float64   // of the servers, when it was confined
	step      int       // number of widenings since the last crash
	successes int       // since changedAt
	changedAt time.Time // when the last crash counted or step was made
}

func (r *queueRecord) decay(now time.Time) {
	r.evidence *= math.Exp(-float64(now.Sub(r.decayedAt)) / float64(evidenceDecayTime))
	r.decayedAt = now
}

// weighQueues counts a crash as evidence for or against queues. A crash of a server
// that had just started a task of a confined queue is explained by it.
func (t *Tracker) weighQueues(e ServerCrashed) {
	young := youngQueues(e.Losses)
	explained := false
	for _, queue := range young {
		if r := t.queues[queue]; r != nil && r.confined {
			explained = true
			t.confine(queue, r, e)
		}
	}
	if explained || len(e.Losses) == 0 || t.now.Sub(e.At) > maxEvidenceAge || t.inGroup(e.At) {
		return
	}
	rates := make(map[string]float64)
	for _, r := range e.Rates {
		rates[r.Queue] = r.PerSecond
	}
	for _, queue := range young {
		chance := 1 - math.Exp(-rates[queue]*youngAge.Seconds())
		if t.isRepeated(queue, e.Losses) || math.IsNaN(chance) {
			chance = 0
		}
		t.accuse(queue, chance, e)
	}
	for queue, r := range t.queues {
		if !slices.Contains(young, queue) && !r.confined {
			r.decay(t.now)
			r.evidence -= exoneration
			if r.evidence <= 0 {
				delete(t.queues, queue)
			}
		}
	}
}

// inGroup reports whether a crash came within groupTime of the last one that counted, so
// that both may have a common cause other than the tasks.
func (t *Tracker) inGroup(at time.Time) bool {
	if at.Sub(t.lastScored).Abs() < groupTime {
		return true
	}
	t.lastScored = at
	return false
}

// youngQueues returns the queues of which the server had just started a task.
func youngQueues(losses []Loss) []string {
	var list []string
	for _, l := range losses {
		if l.Started && l.Ran <= youngAge && l.Queue != "" && !slices.Contains(list, l.Queue) {
			list = append(list, l.Queue)
		}
	}
	return list
}

// isRepeated reports whether one of the lost tasks of the queue has to be given up. Two
// servers that crash within youngAge of its start are unlikely to do so by chance.
func (t *Tracker) isRepeated(queue string, losses []Loss) bool {
	return slices.ContainsFunc(losses, func(l Loss) bool { return l.Queue == queue && t.Suspicion(l.Task).Young >= youngCrashesToGiveUp })
}

// accuse counts a crash against a queue by the chance that the server had just started
// one of its tasks for other reasons.
func (t *Tracker) accuse(queue string, chance float64, e ServerCrashed) {
	r := t.queues[queue]
	if r == nil {
		if len(t.queues) >= maxQueues {
			return
		}
		r = &queueRecord{decayedAt: t.now}
		t.queues[queue] = r
	}
	r.decay(t.now)
	r.evidence += min(-math.Log(min(max(chance, minChance), 1)), maxWeight)
	if len(r.agents) < 2 && !slices.Contains(r.agents, e.Agent) {
		r.agents = append(r.agents, e.Agent)
	}
	r.recent = slices.DeleteFunc(append(r.recent, e.At), func(at time.Time) bool { return e.At.Sub(at) > recentTime })
	if r.evidence >= confiningEvidence && len(r.agents) == 2 && float64(len(r.recent)) >= minShare*float64(e.Servers) {
		t.confine(queue, r, e)
	}
}

// confine confines a queue to its share of the servers.
func (t *Tracker) confine(queue string, r *queueRecord, e ServerCrashed) {
	if !r.confined {
		r.share = max(t.shareOf(e.Service, queue), minShare)
	}
	if !r.confined || r.step > 0 {
		t.changes = append(t.changes, Change{Queue: queue, Kind: Confined, Share: r.share, Reason: fmt.Sprintf(
			"%s crashed, run %d, after it had started a task of the queue; evidence %.2f", e.Agent, e.Incarnation, r.evidence)})
	}
	r.confined = true
	r.step, r.successes, r.changedAt = 0, 0, t.now
}

func (t *Tracker) recordSuccess(queue string) {
	r := t.queues[queue]
	if r == nil || !r.confined {
		return
	}
	r.successes++
	if r.successes >= successesToWiden || r.successes >= minSuccessesToWiden && t.now.Sub(r.changedAt) >= minWideningTime {
		t.widen(queue, r, fmt.Sprintf("%d jobs without a crash in %v", r.successes, t.now.Sub(r.changedAt)))
	}
}

// widen gives a confined queue more servers.
func (t *Tracker) widen(queue string, r *queueRecord, reason string) {
	r.step++
	r.successes, r.changedAt = 0, t.now
	if r.step == widenings {
		t.release(queue, reason)
		return
	}
	t.changes = append(t.changes, Change{Queue: queue, Kind: Widened, Share: r.currentShare(), Reason: reason})
}

func (t *Tracker) release(queue, reason string) {
	delete(t.queues, queue)
	t.changes = append(t.changes, Change{Queue: queue, Kind: Released, Share: 1, Reason: reason})
}

// releaseQueues releases the queues that have crashed no server for long.
func (t *Tracker) releaseQueues() {
	for _, queue := range t.ConfinedQueues() {
		if t.now.Sub(t.queues[queue].changedAt) >= idleRelease {
			t.release(queue, "no crash for "+idleRelease.String())
		}
	}
}

// ConfinedQueues returns the names of the confined queues in alphabetical order.
func (t *Tracker) ConfinedQueues() []string {
	var list []string
	for queue, r := range t.queues {
		if r.confined {
			list = append(list, queue)
		}
	}
	slices.Sort(list)
	return list
}

// Servers returns those of the given servers, at least one, on which the tasks of a
// queue may run. It returns nil if the queue is not confined. All entries choose the
// same ones if they know the same servers.
func (t *Tracker) Servers(queue string, servers []string) []string {
	r := t.queues[queue]
	if r == nil || !r.confined {
		return nil
	}
	return firstServers(queue, servers, r.currentShare())
}

// currentShare returns the share of the servers that the queue may use.
func (r *queueRecord) currentShare() float64 {
	return r.share + (1-r.share)*float64(r.step)/widenings
}

// Avoided returns the servers that tasks of other queues should avoid, because the queue
// is confined there and has not got more servers since its last crash.
func (t *Tracker) Avoided(queue string, servers []string) []string {
	r := t.queues[queue]
	if r == nil || !r.confined || r.step > 0 {
		return nil
	}
	return firstServers(queue, servers, r.share)
}

// Quarantine returns the first of the servers to which a queue would be confined. Tasks
// of it that are suspected to have crashed a server run there.
func Quarantine(queue string, servers []string) []string {
	return firstServers(queue, servers, minShare)
}

func firstServers(queue string, servers []string, share float64) []string {
	ranked := rendezvous.Rank(queue, servers, func(s string) string { return s })
	return ranked[:min(max(int(math.Ceil(share*float64(len(servers)))), 1), len(servers))]
}
