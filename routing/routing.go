// Package routing holds the operators' configuration as the product uses it:
// which service the tasks of which queue go to, and on what terms.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Table is one version of the configuration. It is not changed once made.
type Table struct {
	Version int64
	// MaxBody bounds the body of a submission in bytes.
	MaxBody int64

	byHost   map[string][]Queue // by the host in lower case, longest prefix first
	services []string           // that queues use, sorted
}

// NewTable returns a version of the configuration with the queues.
func NewTable(version, maxBody int64, queues []Queue) *Table {
	t := &Table{Version: version, MaxBody: maxBody, byHost: make(map[string][]Queue)}
	for _, q := range queues {
		host := strings.ToLower(q.Host)
		t.byHost[host] = append(t.byHost[host], q)
		t.services = append(t.services, q.Service)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	slices.Sort(t.services)
	t.services = slices.Compact(t.services)
	return t
}

// Len returns how many queues there are.
func (t *Table) Len() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}

// Queue takes the jobs of one kind.
type Queue struct {
	Name    string
	Host    string
	Prefix  string // of the path
	Service string // whose servers run its tasks
	// Attempts is how many runs of one task may fail.
	Attempts int
	// Stretch and Aim make the time in which a job should end: Stretch times
	// its longest task on an ordinary server, and Aim more.
	Stretch       float64
	TargetLatency time.Duration
	// Advised says that another service decides which servers may run a job.
	Advised bool
}

// Match returns the queue for a request and what follows its prefix in the
// path: of the queues of the host, the one with the longest prefix.
func (t *Table) Match(host, path string) (q *Queue, rest string, ok bool) {
	if t == nil {
		return nil, "", false
	}
	list := t.byHost[strings.ToLower(host)]
	for i := range list {
		if rest, ok := strings.CutPrefix(path, list[i].Prefix); ok {
			return &list[i], rest, true
		}
	}
	return nil, "", false
}

// Objective returns the time in which a job of the queue should end, for the
// longest of its tasks.
func (q *Queue) Objective(longest time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(longest)) + q.TargetLatency
}

// ServiceNames returns the names of the services that queues use, sorted.
func (t *Table) ServiceNames() []string { return t.services }
