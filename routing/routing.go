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
	Version  int64
	Queues   []Queue
	Services map[string]Service
	// MaxBody bounds the body of a submission in bytes.
	MaxBody int64
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
	Stretch  float64
	Aim      time.Duration
	Priority int // 0 comes first
	// Advised says that another service decides which servers may run a job.
	Advised bool
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// GuardsCapacity says that the servers refuse what does not fit.
	GuardsCapacity bool
}

// Match returns the queue for a request and what follows its prefix in the
// path: of the queues of the host, the one with the longest prefix.
func (t *Table) Match(host, path string) (q *Queue, rest string, ok bool) {
	if t == nil {
		return nil, "", false
	}
	for i := range t.Queues {
		c := &t.Queues[i]
		if strings.EqualFold(c.Host, host) && strings.HasPrefix(path, c.Prefix) && (q == nil || len(c.Prefix) > len(q.Prefix)) {
			q = c
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.Prefix):], true
}

// Objective returns the time in which a job of the queue should end, for the
// longest of its tasks.
func (q *Queue) Objective(longest time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(longest)) + q.Aim
}

// ServiceNames returns the names of the services that queues use, sorted.
func (t *Table) ServiceNames() []string {
	var names []string
	for i := range t.Queues {
		if s := t.Queues[i].Service; !slices.Contains(names, s) {
			names = append(names, s)
		}
	}
	slices.Sort(names)
	return names
}
