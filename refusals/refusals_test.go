package refusals_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/internal/logging"
	"github.com/chestnuthollow/chestnuthollow/refusals"
)

// at returns the beginning of a line of a process, some ms after the start of the day.
func at(ms int, process string) string {
	ts := time.Date(2026, 3, 25, 17, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	return fmt.Sprintf("level=info ts=%s process=%s ", ts.Format(time.RFC3339Nano), process)
}

func started(ms int, entry, incarnation string) string {
	return at(ms, entry) + "event=started incarnation=" + incarnation + " zone=a"
}

func admitted(ms int, entry string) string {
	return at(ms, entry) + `event=job_admitted job=j1 queue=q detail="tasks=1 cpu=7750 to=agent-1"`
}

func refused(ms int, entry, verdict string, waitedMs int) string {
	return at(ms, entry) + fmt.Sprintf(`event=job_refused job=j1 queue=q verdict=%s detail="code=overloaded reason=\"queued tasks need 262 ms\" retry_after_ms=1000 waited_ms=%d"`, verdict, waitedMs)
}

func event(ms int, entry, event string) string {
	return at(ms, entry) + "event=" + event + ` job=j1 queue=q detail="waited_ms=0"`
}

func taskStarted(ms int, incarnation string, replyMs int) string {
	return at(ms, "agent-1") + fmt.Sprintf(`event=task_started task=j1/0#1 entry=%s detail="cpu=7750 clock_ms=2940582 reply_ms=%d"`, incarnation, replyMs)
}

const (
	none     = "none"
	possible = "possible"
	certain  = "certain"
)

// Guards against a check that misses a start after a refusal, by whichever entry it was given, and
// against one that takes a resubmission, or an answer that nobody received, for a violation.
func TestFindings(t *testing.T) {
	entries := []string{started(0, "e1", "aa"), started(0, "e2", "bb"), at(1, "agent-1") + `event=session_opened entry=cc detail="entry=e3 session=4"`}
	for name, test := range map[string]struct {
		lines []string
		want  string
	}{
		"refused, never started":                 {[]string{refused(10, "e1", "not_run", 0)}, none},
		"started, then refused as may have run":  {[]string{admitted(10, "e1"), taskStarted(15, "aa", 2), refused(500, "e1", "may_have_run", 490)}, none},
		"refused elsewhere, then started":        {[]string{admitted(10, "e1"), refused(1400, "e2", "not_run", 0), taskStarted(1700, "aa", 2)}, certain},
		"rejected elsewhere, then started":       {[]string{admitted(10, "e1"), at(1400, "e2") + "event=job_rejected job=j1 queue=q verdict=not_run reason=leaving", taskStarted(1700, "aa", 2)}, certain},
		"started, refused elsewhere":             {[]string{admitted(10, "e1"), taskStarted(15, "aa", 2), refused(1400, "e2", "not_run", 0)}, none},
		"started, refused by the same entry":     {[]string{admitted(10, "e1"), taskStarted(15, "aa", 2), refused(500, "e1", "not_run", 490)}, certain},
		"started, a later call was refused":      {[]string{admitted(10, "e1"), taskStarted(15, "aa", 2), refused(1500, "e1", "not_run", 0)}, none},
		"refused by the same entry, started":     {[]string{admitted(10, "e1"), refused(500, "e1", "not_run", 490), taskStarted(600, "aa", 2)}, certain},
		"held, refused elsewhere, then admitted": {[]string{event(10, "e1", "job_held"), refused(1400, "e2", "not_run", 0), admitted(1500, "e1"), taskStarted(1505, "aa", 2)}, certain},
		"waited, refused elsewhere, then admitted": {[]string{refused(1400, "e2", "not_run", 0),
			at(1500, "e1") + `event=job_admitted job=j1 queue=q detail="tasks=1 waited_ms=1490"`, taskStarted(1505, "aa", 2)}, certain},
		"abandoned after the start":                {[]string{admitted(10, "e1"), refused(1400, "e2", "not_run", 0), taskStarted(1700, "aa", 2), event(1701, "e1", "job_abandoned")}, certain},
		"submitted again after the refusal":        {[]string{refused(10, "e1", "not_run", 0), admitted(20, "e2"), taskStarted(25, "bb", 2)}, none},
		"the same at the entry that has refused":   {[]string{refused(10, "e1", "not_run", 0), admitted(1020, "e1"), taskStarted(1025, "aa", 2)}, none},
		"joined after the refusal elsewhere":       {[]string{admitted(10, "e1"), refused(1400, "e2", "not_run", 0), event(1410, "e1", "job_joined"), taskStarted(1700, "aa", 2)}, none},
		"submitted again, and refused again":       {[]string{refused(10, "e1", "not_run", 0), admitted(20, "e2"), refused(1400, "e1", "not_run", 0), taskStarted(1700, "bb", 2)}, certain},
		"the entry is known by a session only":     {[]string{admitted(10, "e3"), refused(1400, "e2", "not_run", 0), taskStarted(1700, "cc", 2)}, certain},
		"the admission has no line":                {[]string{refused(1400, "e2", "not_run", 0), taskStarted(1700, "aa", 2)}, possible},
		"admitted by an earlier incarnation":       {[]string{admitted(10, "e1"), started(900, "e1", "dd"), refused(1400, "e2", "not_run", 0), taskStarted(1700, "dd", 2)}, possible},
		"ordered before the refusal":               {[]string{admitted(10, "e1"), refused(1400, "e2", "not_run", 0), taskStarted(1410, "aa", 20)}, possible},
		"refused after a copy went elsewhere":      {[]string{event(10, "e1", "job_held"), admitted(1310, "e2"), refused(1400, "e1", "not_run", 1390), taskStarted(1700, "bb", 2)}, possible},
		"answered to the earlier caller":           {[]string{admitted(10, "e1"), refused(1400, "e2", "not_run", 0), taskStarted(1700, "aa", 2), event(1800, "e1", "job_answered")}, possible},
		"the start has no line":                    {[]string{admitted(10, "e1"), refused(1400, "e2", "not_run", 0), at(1700, "agent-1") + "event=foreign_run_stopped task=j1/0#1"}, possible},
		"the start has no line, the end does":      {[]string{admitted(10, "e1"), refused(1400, "e2", "not_run", 0), at(1700, "agent-1") + `event=task_ended task=j1/0#1 entry=aa detail="outcome=lost may_have_run=true"`}, possible},
		"rejected after the caller has left":       {[]string{admitted(10, "e1"), at(1400, "e2") + `event=job_rejected job=j1 queue=q verdict=not_run reason="` + refusals.CallerLeft + `"`, taskStarted(1700, "aa", 2)}, none},
		"a cancel was rejected, not a submission":  {[]string{admitted(10, "e1"), at(20, "e2") + `event=job_rejected job=j1 queue= verdict=not_run reason="DELETE: no configuration"`, taskStarted(1700, "aa", 2)}, none},
		"another job was refused":                  {[]string{admitted(10, "e1"), strings.Replace(refused(15, "e2", "not_run", 0), "job=j1", "job=j10", 1), taskStarted(1700, "aa", 2)}, none},
		"lines come in batches, not in order":      {[]string{taskStarted(1700, "aa", 2), refused(1400, "e2", "not_run", 0), admitted(10, "e1")}, certain},
		"the refusal comes with the start's reply": {[]string{admitted(10, "e1"), refused(1400, "e2", "not_run", 0), taskStarted(1400, "aa", 0)}, certain},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var log refusals.Log
			g.Expect(log.Read(strings.NewReader(strings.Join(append(entries, test.lines...), "\n")))).To(Succeed())
			got := none
			for _, f := range log.Findings() {
				g.Expect(f.Job).To(Equal("j1"))
				g.Expect(f.Reason).NotTo(BeEmpty())
				if got = possible; f.Certain {
					got = certain
				}
			}
			g.Expect(got).To(Equal(test.want))
		})
	}
}

// Guards against lines that are lost where other text precedes them, or lines of several processes are mixed,
// and against a finding whose lines are not in order of time.
func TestLinesOfSeveralProcessesWithPrefix(t *testing.T) {
	g := NewWithT(t)
	var log refusals.Log
	text := strings.Join([]string{
		"tallies = {not logfmt at all",
		"   1.7010 side-1 " + taskStarted(1700, "aa", 2),
		"   1.7010 side-1 " + at(1750, "agent-1") + `event=server_crashed detail="tasks=[j1/0#1 ran 50ms]"`,
		"  -9.9312 front-1 " + started(0, "e1", "aa"),
		"   0.0100 front-1 " + admitted(10, "e1"),
		"   1.4000 front-2 " + refused(1400, "e2", "not_run", 0),
		"event=log_lines_dropped count=7",
		`   1.4000 front-2 level=info ts=2026-03-25T17:00:00Z process=e2 event=job_refused detail="cut`,
	}, "\n")
	g.Expect(log.Read(strings.NewReader(text))).To(Succeed())
	findings := log.Findings()
	g.Expect(findings).To(HaveLen(1))
	var events []string
	for _, line := range findings[0].Lines {
		events = append(events, line.Event)
	}
	g.Expect(events).To(Equal([]string{"job_admitted", "job_refused", "task_started", "server_crashed"}))
	g.Expect(findings[0].String()).To(HavePrefix("job j1, certain: task j1/0#1 was started 300ms after e2 refused the job as not run\n  level=info ts="))
	g.Expect(log.Dropped).To(Equal(7))
	g.Expect(log.Unreadable).To(Equal(1))
}

// Guards against a format of the processes' loggers that the check cannot read.
func TestLinesOfTheProcessesLogger(t *testing.T) {
	g := NewWithT(t)
	r, w := io.Pipe()
	go func() {
		l := logging.New(w, "e1", "info")
		w.CloseWithError(l.Log("event", "job_refused", "job", "j1", "queue", "q", "verdict", "not_run", "detail", `reason="the entry's \"only\" agent" waited_ms=0`))
	}()
	var log refusals.Log
	g.Expect(log.Read(r)).To(Succeed())
	g.Expect(log.Unreadable).To(BeZero())
	g.Expect(log.Read(strings.NewReader(strings.ReplaceAll(taskStarted(0, "aa", 0), "2026-", "2099-")))).To(Succeed())
	g.Expect(log.Findings()).To(HaveLen(1))
}
