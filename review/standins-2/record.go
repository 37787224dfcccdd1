package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
)

// record is what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	began  time.Time
	lines  []string
	starts []start
	ends   []end
}

// start is the start of a task at a server.
type start struct {
	server, task string
	run          int
	at           time.Time
}

// end is the end of a task's run at a server.
type end struct {
	start
	outcome string
}

func (r *record) line(format string, args ...any) { r.lineAt(time.Now(), format, args...) }

func (r *record) lineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  ", at.Sub(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// started and ended are called by the servers.
func (r *record) started(server string, t leaseserver.RunningTask, at time.Time) {
	r.mu.Lock()
	r.starts = append(r.starts, start{server: server, task: t.Name, run: t.Number, at: at})
	r.mu.Unlock()
	r.lineAt(at, "run: %s starts task %s run %d", server, t.Name, t.Number)
}

func (r *record) ended(server string, t leaseserver.TaskRun, outcome string, at time.Time) {
	r.mu.Lock()
	r.ends = append(r.ends, end{start: start{server: server, task: t.Name, run: t.Number, at: at}, outcome: outcome})
	r.mu.Unlock()
	r.lineAt(at, "run: %s ends task %s run %d: %s", server, t.Name, t.Number, outcome)
}

// startsOf returns the starts of the tasks of a job.
func (r *record) startsOf(id string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []start
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, id+".") {
			list = append(list, s)
		}
	}
	return list
}

// endsOf returns the ends of the tasks of a job.
func (r *record) endsOf(id string) []end {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []end
	for _, e := range r.ends {
		if strings.HasPrefix(e.task, id+".") {
			list = append(list, e)
		}
	}
	return list
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
