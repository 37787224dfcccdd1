package platform_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
)

const (
	// recordedCalls bounds the calls that are kept for each server, the newest.
	recordedCalls = 4000
	// recordBefore is how long before a violation its record begins.
	recordBefore = 6 * time.Second
	// maxRecordedViolations bounds the violations that are recorded.
	maxRecordedViolations = 5
)

// recorder keeps what the servers have seen, so that a violation can be read without a repeat.
type recorder struct {
	mu      sync.Mutex
	calls   map[string]*callList // by server
	reports []violationReport
}

// callList is the newest calls of one server. Servers record a call under their own lock, so that
// none may wait for another here.
type callList struct {
	mu    sync.Mutex
	calls []recordedCall
}

type recordedCall struct {
	at time.Time
	leaseserver.Call
}

// violationReport is a violation with the calls at the servers that are involved.
type violationReport struct {
	at    time.Time
	text  string
	job   string
	calls []recordedCall
}

func newRecorder() *recorder { return &recorder{calls: make(map[string]*callList)} }

// callsAt returns a function that records the calls of a server.
func (r *recorder) callsAt(server string) func(leaseserver.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := new(callList)
	r.calls[server] = l
	return l.add
}

func (l *callList) add(c leaseserver.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, recordedCall{at: time.Now(), Call: c})
	if len(l.calls) > recordedCalls {
		l.calls = slices.Clone(l.calls[recordedCalls/2:])
	}
}

// since returns the calls from a time on.
func (l *callList) since(from time.Time) []recordedCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.calls, func(c recordedCall) bool { return !c.at.Before(from) })
	if i < 0 {
		return nil
	}
	return slices.Clone(l.calls[i:])
}

// violated records a violation by a task: the calls for the task at all servers, and all calls at
// the servers named.
func (r *recorder) violated(text, task string, servers ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.reports) == maxRecordedViolations {
		return
	}
	now := time.Now()
	job, _, _ := strings.Cut(task, ".")
	report := violationReport{at: now, text: text, job: job}
	for server, list := range r.calls {
		for _, c := range list.since(now.Add(-recordBefore)) {
			if c.Run.Name == task || slices.Contains(servers, server) {
				report.calls = append(report.calls, c)
			}
		}
	}
	slices.SortStableFunc(report.calls, func(a, b recordedCall) int { return a.at.Compare(b.at) })
	r.reports = append(r.reports, report)
}

// write writes the violations to a folder, each with the lines of the processes' logs that name
// its job.
func (r *recorder) write(dir, logs string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, v := range r.reports {
		var b strings.Builder
		fmt.Fprintf(&b, "%s %s\n\n", v.at.Format(recordTime), v.text)
		for _, c := range v.calls {
			fmt.Fprintf(&b, "%s %s run=%d %s %s#%d lease_end=%v token=%d clock=%v: %s\n",
				c.at.Format(recordTime), c.Server, c.Incarnation, c.Path, c.Run.Name, c.Run.Number, c.LeaseEnd, c.Token, c.Clock, c.Outcome)
		}
		if err := linesThatName(&b, logs, v.job); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("violation-%d.txt", i+1)), []byte(b.String()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

const recordTime = "15:04:05.000000"

// linesThatName copies the lines of all logs of a folder that contain a word.
func linesThatName(b *strings.Builder, dir, word string) error {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return err
	}
	for _, name := range logs {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(b, "\n%s\n", filepath.Base(name))
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if strings.Contains(lines.Text(), word) {
				fmt.Fprintln(b, lines.Text())
			}
		}
		f.Close()
		if err := lines.Err(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
