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

	task       string // ID/INDEX#RUN; empty for lines of entries
	entry      string // incarnation of the entry for which an agent has acted
	verdict    string
	reason     string
	waited     time.Duration // since the request came
	reply      time.Duration // since the start was sent
	mayHaveRun bool
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
	text = withoutPrefix(text)
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
	detail, err := fields(f["detail"])
	if err != nil {
		detail = nil // free text
	}
	line.waited, line.reply = milliseconds(detail["waited_ms"]), milliseconds(detail["reply_ms"])
	line.mayHaveRun = detail["may_have_run"] == "true"
	switch line.Event {
	case "started":
		if id := f["incarnation"]; id != "" {
			l.started[line.Process] = append(l.started[line.Process], start{line.At, id})
			l.processOf[id] = line.Process
			l.incarnated[id] = struct{}{}
		}
	case "session_opened":
		if name := detail["entry"]; name != "" {
			l.processOf[line.entry] = name
		}
	}
	for _, job := range jobsNamed(f, text) {
		l.jobs[job] = append(l.jobs[job], line)
	}
}

// withoutPrefix returns a process's own line, from its first key on.
func withoutPrefix(text string) string {
	for _, key := range []string{"level=", "ts=", "event="} {
		if i := strings.Index(text, key); i == 0 || i > 0 && strings.ContainsRune(" \t|", rune(text[i-1])) {
			return text[i:]
		}
	}
	return text
}

// jobsNamed returns the jobs that a line names, by their own ids or by those of tasks.
func jobsNamed(f map[string]string, text string) []string {
	if f["job"] != "" {
		return []string{f["job"]}
	}
	if !strings.Contains(text, "#") {
		return nil
	}
	var jobs []string
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

// milliseconds returns a number of ms as a duration; zero if it is none.
func milliseconds(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
