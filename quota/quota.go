// Package quota bounds what teams may use of a service, without a coordinator
// between entries: each of n live entries gives out one nth of a limit. It does
// no I/O and reads no clock.
//
// A limit is exceeded only while entries disagree on n. A gone entry's part is
// given out again only after ShareDelay, so a restart or a short cut does not
// lift the sum; entries that stay cut from each other for longer each come to
// give out up to the whole limit. The agents' slots are the last guard.
package quota

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// ShareIncreaseDelay is how long a gone entry's part of the limits stays unused.
const ShareIncreaseDelay = 30 * time.Second

// openRetry is the Retry-After of a refusal for a team's open tasks, for each
// job that was told to come back before.
const openRetry = 250 * time.Millisecond

// Limiter admits jobs of one service. It is not safe for concurrent use.
type Limiter struct {
	share   share
	limits  document.Limits
	quotas  map[string]document.Quota
	service *bucket
	teams   map[string]*team
}

type team struct {
	rate *bucket
	open int // admitted tasks that are not over
}

// New returns a limiter without limits, for one live entry.
func New() *Limiter {
	return &Limiter{share: share{entries: 1}, service: newBucket(), teams: make(map[string]*team)}
}

// SetDocument takes the limits of a document over.
func (l *Limiter) SetDocument(now time.Time, d *document.Document) {
	l.limits = d.Limits
	l.quotas = d.Teams
	l.apply(now)
}

// SetLiveEntries says how many entries are live, this one included.
func (l *Limiter) SetLiveEntries(now time.Time, n int) {
	l.share.set(now, n)
	l.apply(now)
}

// Admit takes a job of a team with n tasks and the content key, or says why not and when to come
// back. A job that was told to come back and keeps that time is preferred to
// newcomers. The tasks are open until Release is called for them.
func (l *Limiter) Admit(now time.Time, teamName string, key Key, n int) *structs.Error {
	if l.share.due(now) {
		l.apply(now)
	}
	t := l.team(now, teamName)
	if err := l.admitOpen(t, teamName, n); err != nil {
		return err
	}
	if wait := t.rate.wait(now, key, n); wait > 0 {
		return refuse(wait, "team %s is over its rate", teamName)
	}
	if wait := l.service.wait(now, key, n); wait > 0 {
		return refuse(wait, "the service is over its rate")
	}
	t.rate.take(now, key, n)
	l.service.take(now, key, n)
	t.open += n
	return nil
}

// Release says that n admitted tasks of a team are over.
func (l *Limiter) Release(teamName string, n int) {
	t := l.teams[teamName]
	if t == nil {
		return
	}
	t.open = max(t.open-n, 0)
}

// OpenTasks returns the number of a team's open tasks at this entry.
func (l *Limiter) OpenTasks(teamName string) int {
	if t := l.teams[teamName]; t != nil {
		return t.open
	}
	return 0
}

// EvictIdleTeams forgets teams without open tasks whose rate is at rest, to bound
// memory.
func (l *Limiter) EvictIdleTeams(now time.Time) {
	for name, t := range l.teams {
		if t.open == 0 && t.rate.full(now) {
			delete(l.teams, name)
		}
	}
}

// admitOpen checks the cap of open tasks. A team with nothing open may exceed
// this entry's part by one job, as long as the job is within the whole cap.
func (l *Limiter) admitOpen(t *team, name string, n int) *structs.Error {
	limit := l.quotas[name].MaxOpenTasks
	if limit <= 0 {
		return nil
	}
	if n > limit {
		return structs.Errorf(structs.CodeRejected, structs.NotRun,
			"job of %d tasks; team %s may have %d open", n, name, limit)
	}
	if t.open == 0 || float64(t.open+n) <= float64(limit)*l.share.part() {
		return nil
	}
	return refuse(openRetry, "team %s has %d open tasks here", name, t.open)
}

func (l *Limiter) team(now time.Time, name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{rate: newBucket()}
		t.rate.set(now, l.quotas[name].TasksPerSecond*l.share.part())
		l.teams[name] = t
	}
	return t
}

func (l *Limiter) apply(now time.Time) {
	part := l.share.part()
	l.service.set(now, l.limits.TasksPerSecond*part)
	for name, t := range l.teams {
		t.rate.set(now, l.quotas[name].TasksPerSecond*part)
	}
}

func refuse(wait time.Duration, format string, args ...any) *structs.Error {
	return structs.Errorf(structs.CodeQuota, structs.NotRun, "%s", fmt.Sprintf(format, args...)).WithRetryAfter(wait)
}
