package refusals

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Line is a line of a process's log that names a job.
type Line struct {
	At      time.Time `json:"at"`
	Process string    `json:"process"`
	Event   string    `json:"event"`
	Text    string    `json:"text"` // from the line's first key on

	task    string // ID/INDEX#RUN; empty for lines of entries
	entry   string // incarnation of the entry for which an agent has acted
	verdict string
	reason  string
	detail  map[string]string
}

// Log is what is known of the jobs from the lines of several processes. The zero value
// is empty.
type Log struct {
	// Dropped is the number of lines that the processes have not written because their
	// buffers were full, Unreadable that of lines with an event that cannot be parsed.
	Dropped, Unreadable int

	jobs       map[string][]Line   // by job id
	started    map[string][]start  // by process
	processOf  map[string]string   // by incarnation of an entry
	incarnated map[string]struct{} // incarnations of which the start has a line
}

// start is the start of an incarnation of a process.
type start struct {
	at          time.Time
	incarnation string
}

// firstKey matches where a process's own line begins, after any prefix.
var firstKey = regexp.MustCompile(`(^|\s)(level|ts|event)=`)

// taskID matches the id of a task and its job, as in abc/0#1.
var taskID = regexp.MustCompile(`([^\s"=,/[]+)/\d+#\d+`)

// Read adds the lines of a log, in which those of several processes may be mixed. Lines
// without an event are ignored.
func (l *Log) Read(r io.Reader) error {
	if l.jobs == nil {
		l.jobs, l.started = make(map[string][]Line), make(map[string][]start)
		l.processOf, l.incarnated = make(map[string]string), make(map[string]struct{})
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "event=") {
			l.add(lines.Text())
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

func (l *Log) add(text string) {
	at := firstKey.FindStringIndex(text)
	if at == nil {
		return
	}
	text = strings.TrimSpace(text[at[0]:])
	f, err := fields(text)
	if err != nil {
		l.Unreadable++
		return
	}
	if f["event"] == "log_lines_dropped" {
		n, err := strconv.Atoi(f["count"])
		if err != nil {
			l.Unreadable++
		}
		l.Dropped += n
		return
	}
	line := Line{
		Process: f["process"], Event: f["event"], Text: text,
		task: f["task"], entry: f["entry"], verdict: f["verdict"], reason: f["reason"],
	}
	if line.At, err = time.Parse(time.RFC3339Nano, f["ts"]); err != nil {
		l.Unreadable++
		return
	}
	if line.detail, err = fields(f["detail"]); err != nil {
		line.detail = nil // free text
	}
	switch line.Event {
	case "started":
		if id := f["incarnation"]; id != "" {
			l.started[line.Process] = append(l.started[line.Process], start{line.At, id})
			l.processOf[id] = line.Process
			l.incarnated[id] = struct{}{}
		}
	case "session_opened":
		if name := line.detail["entry"]; name != "" {
			l.processOf[line.entry] = name
		}
	}
	for _, job := range jobsNamed(f, text) {
		l.jobs[job] = append(l.jobs[job], line)
	}
}

// jobsNamed returns the jobs that a line names, by their own ids or by those of tasks.
func jobsNamed(f map[string]string, text string) []string {
	var jobs []string
	if f["job"] != "" {
		jobs = append(jobs, f["job"])
	}
	for _, m := range taskID.FindAllStringSubmatch(text, -1) {
		if !slices.Contains(jobs, m[1]) {
			jobs = append(jobs, m[1])
		}
	}
	return jobs
}

// fields returns the values of a logfmt line by key.
func fields(text string) (map[string]string, error) {
	f := make(map[string]string)
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			f[string(d.Key())] = string(d.Value())
		}
	}
	return f, d.Err()
}

// milliseconds returns a value of the line's detail as a duration; zero if it has none.
func (l *Line) milliseconds(key string) time.Duration {
	ms, err := strconv.ParseInt(l.detail[key], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
