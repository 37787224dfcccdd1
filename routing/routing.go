// Package routing holds the operators' configuration in the form that entries
// use: which queue takes a request, which service runs its tasks, and the queue's
// latency objective and number of attempts.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version int64
	// MaxBody is the maximum size of the body of a submission, in bytes.
	MaxBody int64
	// Unreadable says which parts of the version could not be decoded and are left out.
	Unreadable []error

	queuesByHost map[string][]Queue // by host in lower case, longest prefix first
	services     []string           // those that queues use, sorted
}

// NewTable returns a version of the configuration with the given queues.
func NewTable(version, maxBody int64, queues []Queue) *Table {
	t := &Table{Version: version, MaxBody: maxBody, queuesByHost: make(map[string][]Queue)}
	for _, q := range queues {
		host := strings.ToLower(q.Host)
		t.queuesByHost[host] = append(t.queuesByHost[host], q)
		t.services = append(t.services, q.Service)
	}
	for _, list := range t.queuesByHost {
		slices.SortStableFunc(list, func(a, b Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	slices.Sort(t.services)
	t.services = slices.Compact(t.services)
	return t
}

// Len returns the number of queues.
func (t *Table) Len() int {
	n := 0
	for _, list := range t.queuesByHost {
		n += len(list)
	}
	return n
}

// Queue receives the jobs submitted under one host and path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string // of the path
	Service string // the service whose servers run the tasks
	// Attempts is the number of failed runs of one task after which its job fails.
	Attempts int
	// Stretch and TargetLatency define the latency objective of a job: Stretch
	// times the run time of its longest task on a server of reference speed, plus
	// TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// Priority orders queues when not all jobs can be served: 0 comes first.
	Priority int
	// Advised means that another service decides which servers may run a job.
	Advised bool
}

// Match returns the queue for a request, and the rest of the path after the
// queue's prefix. Of the host's queues whose prefix matches, it is the one with
// the longest prefix.
func (t *Table) Match(host, path string) (q *Queue, rest string, ok bool) {
	if t == nil {
		return nil, "", false
	}
	list := t.queuesByHost[strings.ToLower(host)]
	for i := range list {
		if rest, ok := strings.CutPrefix(path, list[i].Prefix); ok {
			return &list[i], rest, true
		}
	}
	return nil, "", false
}

// Objective returns the latency objective of a job of the queue, given the
// estimated run time of its longest task.
func (q *Queue) Objective(longestTask time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(longestTask)) + q.TargetLatency
}

// ServiceNames returns the sorted names of the services that queues use.
func (t *Table) ServiceNames() []string { return t.services }
