// Package refusals finds in the logs of all processes the jobs of which a task was started
// although an entry had refused them as not run. An entry refuses a job with a line
// job_refused or job_rejected whose verdict is not_run, an agent starts a task with a line
// task_started; the lines are joined by the job's id and ordered by their times. It does no
// I/O of its own.
//
// A start belongs to the submission that its entry had last: job_admitted, or job_held or
// job_delayed before it, or job_joined. A caller may submit a job again after it was refused;
// a start for a submission that has a line after the refusal is no finding.
//
// Findings are certain if a task was ordered from its server after the refusal, for a
// submission before it, or if the entry has refused the submission for which its task had
// started. They are possible if a line that would decide is missing, or fits another order
// of events: the start may have been carried out before the refusal, the refused caller had
// submitted the job elsewhere since, so that nobody may have received the refusal, or the
// job was answered to the caller of the earlier submission.
//
// What the lines cannot tell: whether a refusal has reached its caller; whether a submission
// that an entry reads after the refusal was sent after it; and, in lines of builds without the
// method in job_rejected and reply_ms in task_started, whether a rejected request was a
// submission, and when a start was ordered. Lines of different machines are as comparable as
// their clocks.
package refusals

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// CallerLeft is the reason of a job_rejected whose answer nobody receives, because the
// caller has disconnected before.
const CallerLeft = "the caller has disconnected"

// rounding is the precision of times that are logged as a number of ms.
const rounding = time.Millisecond

// notRun is the verdict of a refusal.
const notRun = "not_run"

// Finding is a job of which a task was started after it was refused as not run.
type Finding struct {
	Job     string `json:"job"`
	Certain bool   `json:"certain"`
	Reason  string `json:"reason"`
	Lines   []Line `json:"lines"` // all that name the job, in order of time
}

// String returns the finding and its lines, one a line.
func (f Finding) String() string {
	var b strings.Builder
	kind := "possible"
	if f.Certain {
		kind = "certain"
	}
	fmt.Fprintf(&b, "job %s, %s: %s\n", f.Job, kind, f.Reason)
	for _, l := range f.Lines {
		fmt.Fprintf(&b, "  %s\n", l.Text)
	}
	return b.String()
}

// Findings returns the findings, certain ones first, then by job id.
func (l *Log) Findings() []Finding {
	for _, list := range l.started {
		slices.SortStableFunc(list, func(a, b start) int { return a.at.Compare(b.at) })
	}
	var findings []Finding
	for job, lines := range l.jobs {
		if !slices.ContainsFunc(lines, func(line Line) bool { return line.isRefusal() }) {
			continue
		}
		lines = slices.Clone(lines)
		slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
		h := l.history(lines)
		if f := h.worst(); f != nil {
			findings = append(findings, Finding{Job: job, Certain: f.certain, Reason: f.reason, Lines: lines})
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int {
		if a.Certain != b.Certain {
			if a.Certain {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Job, b.Job)
	})
	return findings
}

// isRefusal reports whether the line is a refusal as not run that a caller has received.
func (l *Line) isRefusal() bool {
	switch l.Event {
	case "job_refused":
		return l.verdict == notRun
	case "job_rejected":
		otherMethod := strings.HasPrefix(l.reason, "DELETE: ") || strings.HasPrefix(l.reason, "GET: ")
		return l.verdict == notRun && l.reason != CallerLeft && !otherMethod
	}
	return false
}

// history is what the lines tell of one job.
type history struct {
	log         *Log
	lines       []Line
	submissions map[string][]*submission // by incarnation of an entry, or its process
	refusals    []refusal
}

// submission is a job at one entry until it is answered or abandoned.
type submission struct {
	calls   []time.Time // when callers submitted it
	end     time.Time   // zero while it is open
	endedBy string      // event
	refused bool        // as not run
}

type refusal struct {
	at, submitted time.Time
	process       string
	entry         string // key of submissions
}

// history reads the lines of a job, which are in order of time.
func (l *Log) history(lines []Line) *history {
	h := &history{log: l, lines: lines, submissions: make(map[string][]*submission)}
	for i := range lines {
		line := &lines[i]
		entry := l.incarnationAt(line.Process, line.At)
		var open *submission
		if list := h.submissions[entry]; len(list) > 0 && list[len(list)-1].end.IsZero() {
			open = list[len(list)-1]
		}
		switch line.Event {
		case "job_admitted", "job_held", "job_delayed", "job_joined":
			at := line.At.Add(-line.waited)
			switch {
			case open == nil:
				h.submissions[entry] = append(h.submissions[entry], &submission{calls: []time.Time{at}})
			case line.Event == "job_joined":
				open.calls = append(open.calls, at)
			}
		case "job_refused", "job_answered", "job_abandoned":
			if open != nil {
				submitted := line.At.Add(-line.waited)
				open.end, open.endedBy = line.At, line.Event
				open.refused = line.isRefusal() && !submitted.After(open.calls[0].Add(rounding))
			}
		}
		if line.isRefusal() {
			h.refusals = append(h.refusals, refusal{line.At, line.At.Add(-line.waited), line.Process, entry})
		}
	}
	return h
}

// incarnationAt returns the incarnation of a process at a time, or the process's name if
// its start has no line.
func (l *Log) incarnationAt(process string, at time.Time) string {
	id := process
	for _, s := range l.started[process] {
		if !s.at.After(at) {
			id = s.incarnation
		}
	}
	return id
}

// verdict is what is found for one start.
type verdict struct {
	certain bool
	reason  string
}

// worst returns what is found for the starts of the job: the first certain finding, else the
// first possible one, or nil.
func (h *history) worst() *verdict {
	var worst *verdict
	for i := range h.lines {
		v := h.judge(&h.lines[i])
		if v != nil && (worst == nil || v.certain && !worst.certain) {
			worst = v
		}
	}
	return worst
}

// judge returns what is found for a line, or nil.
func (h *history) judge(line *Line) *verdict {
	timed := line.Event == "task_started"
	if !timed && !h.showsUnloggedStart(line) {
		return nil
	}
	ordered := line.At.Add(-line.reply)
	s := h.submissionOf(line)
	if s != nil && s.refused && timed && !line.At.After(s.end) {
		return &verdict{true, fmt.Sprintf("task %s was started %v before the entry refused the job as not run", line.task, s.end.Sub(line.At))}
	}
	var since time.Time // of the last call for which the task may have been started
	if s != nil {
		since = lastBefore(s.calls, line.At)
	}
	for _, r := range h.refusals {
		if !r.at.After(since) || r.at.After(line.At) {
			continue
		}
		prefix := fmt.Sprintf("task %s was started %v after %s refused the job as not run", line.task, line.At.Sub(r.at), r.process)
		switch {
		case !timed:
			return &verdict{false, fmt.Sprintf("task %s has run, its start has no line, and %s refused the job as not run %v before the line that shows it", line.task, r.process, line.At.Sub(r.at))}
		case s == nil:
			return &verdict{false, prefix + "; the submission for which it was started has no line"}
		case ordered.Before(r.at):
			return &verdict{false, prefix + fmt.Sprintf("; it was ordered %v before that", r.at.Sub(ordered))}
		case h.submittedElsewhere(r):
			return &verdict{false, prefix + "; the job was submitted elsewhere before the refusal, so that nobody may have received it"}
		case s.endedBy == "job_answered":
			return &verdict{false, prefix + "; the earlier submission was answered"}
		}
		return &verdict{true, prefix}
	}
	return nil
}

// submittedElsewhere reports whether another entry got the job between the submission that was
// refused and its refusal.
func (h *history) submittedElsewhere(r refusal) bool {
	for entry, list := range h.submissions {
		for _, s := range list {
			if entry != r.entry && slices.ContainsFunc(s.calls, func(at time.Time) bool { return at.After(r.submitted) && at.Before(r.at) }) {
				return true
			}
		}
	}
	return false
}

// showsUnloggedStart reports whether a line shows that a task was or may have been started
// which no line task_started names.
func (h *history) showsUnloggedStart(line *Line) bool {
	switch line.Event {
	case "foreign_run_stopped":
	case "task_ended":
		if !line.mayHaveRun {
			return false
		}
	default:
		return false
	}
	return !slices.ContainsFunc(h.lines, func(o Line) bool { return o.Event == "task_started" && o.task == line.task })
}

// submissionOf returns the submission for which an agent acted at the time of its line, or nil
// if it is not known.
func (h *history) submissionOf(line *Line) *submission {
	entry := line.entry
	if _, ok := h.log.incarnated[entry]; !ok {
		entry = h.log.processOf[entry]
	}
	list := h.submissions[entry]
	for i := len(list) - 1; i >= 0; i-- {
		if !list[i].calls[0].After(line.At) {
			return list[i]
		}
	}
	return nil
}

// lastBefore returns the last of some times, which are not empty, that is not after at.
func lastBefore(times []time.Time, at time.Time) time.Time {
	last := times[0]
	for _, t := range times {
		if !t.After(at) {
			last = t
		}
	}
	return last
}
