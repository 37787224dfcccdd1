// Package quota limits how much of a service teams may use, without coordination
// between entries: each of n live entries admits 1/n of a limit. It does no I/O
// and reads no clock.
//
// While entries disagree on n, the sum of what they admit can exceed a limit.
// The share of a departed entry is used by the others only after
// ShareIncreaseDelay, so a restart or a short network partition does not raise
// the sum. Entries that are partitioned from each other for longer each admit up
// to the whole limit. The agents' slots then remain the last bound on the load
// of the backend servers.
//
// Two further exceptions admit single jobs beyond an entry's share: see bucket
// and Limiter.checkOpenTasks.
package quota

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// ShareIncreaseDelay is how long the number of live entries must stay lower
// before the remaining entries use the shares of the departed ones.
const ShareIncreaseDelay = 30 * time.Second

// openTasksRetryAfter is the RetryAfter of a job that is refused because its
// team has too many open tasks.
const openTasksRetryAfter = 250 * time.Millisecond

// Limiter admits jobs of one service. It is not safe for concurrent use.
type Limiter struct {
	share   share
	limits  document.Limits
	quotas  map[string]document.Quota
	service *bucket
	teams   map[string]*team
}

type team struct {
	rate      *bucket
	openTasks int // admitted and not released
}

// New returns a limiter without limits, for a single live entry.
func New() *Limiter {
	return &Limiter{share: share{entries: 1}, service: newBucket(), teams: make(map[string]*team)}
}

// SetDocument applies the limits and quotas of a service's document.
func (l *Limiter) SetDocument(now time.Time, d *document.Document) {
	l.limits = d.Limits
	l.quotas = d.Teams
	l.updateRates(now)
}

// SetLiveEntries sets the number of live entries, this one included.
func (l *Limiter) SetLiveEntries(now time.Time, n int) {
	l.share.set(now, n)
	l.updateRates(now)
}

// Admit admits a team's job of n tasks with the content key, or returns an error
// that says why not and when to retry. If a job was refused because of a rate
// and comes back at its RetryAfter, that rate admits it in preference to new
// jobs. Admitted tasks are open until Release is called for them.
func (l *Limiter) Admit(now time.Time, teamName string, key Key, n int) *structs.Error {
	if l.share.applyReduced(now) {
		l.updateRates(now)
	}
	t := l.team(now, teamName)
	if err := l.checkOpenTasks(t, teamName, n); err != nil {
		return err
	}
	if wait := t.rate.wait(now, key, n); wait > 0 {
		return refuse(wait, "team %s exceeds its rate limit", teamName)
	}
	if wait := l.service.wait(now, key, n); wait > 0 {
		return refuse(wait, "the service's rate limit is exceeded")
	}
	t.rate.take(now, key, n)
	l.service.take(now, key, n)
	t.openTasks += n
	return nil
}

// Release records that n admitted tasks of a team have ended.
func (l *Limiter) Release(teamName string, n int) {
	t := l.teams[teamName]
	if t == nil {
		return
	}
	t.openTasks = max(t.openTasks-n, 0)
}

// OpenTasks returns the number of a team's open tasks at this entry.
func (l *Limiter) OpenTasks(teamName string) int {
	if t := l.teams[teamName]; t != nil {
		return t.openTasks
	}
	return 0
}

// EvictIdleTeams deletes the state of teams that have no open tasks and a full
// bucket, to bound memory.
func (l *Limiter) EvictIdleTeams(now time.Time) {
	for name, t := range l.teams {
		if t.openTasks == 0 && t.rate.full(now) {
			delete(l.teams, name)
		}
	}
}

// checkOpenTasks checks the limit on open tasks. A team without open tasks at
// this entry may exceed the entry's share by one job, provided that the job is
// within the whole limit.
func (l *Limiter) checkOpenTasks(t *team, name string, n int) *structs.Error {
	limit := l.quotas[name].MaxOpenTasks
	if limit <= 0 {
		return nil
	}
	if n > limit {
		return structs.Errorf(structs.CodeRejected, structs.NotRun,
			"job has %d tasks; team %s may have at most %d open tasks", n, name, limit)
	}
	if t.openTasks == 0 || float64(t.openTasks+n) <= float64(limit)*l.share.fraction() {
		return nil
	}
	return refuse(openTasksRetryAfter, "team %s has %d open tasks at this entry and may not add this job", name, t.openTasks)
}

func (l *Limiter) team(now time.Time, name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{rate: newBucket()}
		t.rate.setRate(now, l.quotas[name].TasksPerSecond*l.share.fraction())
		l.teams[name] = t
	}
	return t
}

// updateRates sets all buckets to this entry's share of the limits.
func (l *Limiter) updateRates(now time.Time) {
	fraction := l.share.fraction()
	l.service.setRate(now, l.limits.TasksPerSecond*fraction)
	for name, t := range l.teams {
		t.rate.setRate(now, l.quotas[name].TasksPerSecond*fraction)
	}
}

func refuse(wait time.Duration, format string, args ...any) *structs.Error {
	return structs.Errorf(structs.CodeQuota, structs.NotRun, "%s", fmt.Sprintf(format, args...)).WithRetryAfter(wait)
}
