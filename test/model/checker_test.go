package model_test

import (
	"bytes"
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// job is one submission from its caller's point of view. Each payload is unique
// among all tasks and serves as the token under which backend servers record
// starts.
type job struct {
	number     int
	id         structs.JobID // zero until assigned
	spec       structs.JobSpec
	firstFinal *structs.JobAnswer // the first final answer that any caller got
	homeAnswer *structs.JobAnswer // the first final answer of the home
	// recovered are the final answers that other entries obtained from agents.
	recovered []*structs.JobAnswer
}

// checker verifies the invariants against what backend servers and callers see.
type checker struct {
	jobs       []*job
	starts     map[string]int            // by token
	tasks      map[string]structs.TaskID // by token, as named by the first start
	notRun     map[string]string         // by token: the reply that reported it
	violations []string
	stats      *statistics
}

// statistics counts over all runs of a test.
type statistics struct {
	Jobs, Complete, Failed                 int
	Tasks, NotRun, Ran                     int
	MayHaveRun                             map[structs.ErrorCode]*mayHaveRunCount
	Crashes, Disconnects, Lost, Duplicated int
	HomeLost                               int
}

// mayHaveRunCount counts the tasks reported as MayHaveRun with one error code.
type mayHaveRunCount struct{ Reported, NotStarted int }

func (m *mayHaveRunCount) String() string {
	return fmt.Sprintf("%d (not started %d)", m.Reported, m.NotStarted)
}

func (t *statistics) countMayHaveRun(why *structs.Error, started bool) {
	if t.MayHaveRun == nil {
		t.MayHaveRun = make(map[structs.ErrorCode]*mayHaveRunCount)
	}
	if t.MayHaveRun[why.Code] == nil {
		t.MayHaveRun[why.Code] = &mayHaveRunCount{}
	}
	t.MayHaveRun[why.Code].Reported++
	if !started {
		t.MayHaveRun[why.Code].NotStarted++
	}
}

// pendingCall is a caller's request that awaits its reply.
type pendingCall struct {
	description string
	job         *job // nil for a reservation
	entry       *entryNode
	incarnation structs.Incarnation // of the entry
	replies     int
	// recovered is set if the answer came from the agents instead of the home.
	recovered bool
	// abandonHome treats the job's home as unreachable; nil if the call was not
	// forwarded.
	abandonHome  func()
	disconnected bool // the caller has disconnected: no reply is due
	onReply      func(*structs.JobAnswer, *structs.Error)
}

func newChecker(stats *statistics) *checker {
	return &checker{
		starts: make(map[string]int),
		tasks:  make(map[string]structs.TaskID),
		notRun: make(map[string]string),
		stats:  stats,
	}
}

func (ch *checker) violationf(format string, args ...any) {
	ch.violations = append(ch.violations, fmt.Sprintf(format, args...))
}

// resultBody is every backend server's response to a payload.
func resultBody(payload []byte) []byte {
	return append([]byte("result of "), payload...)
}

// started records that a backend server started a task.
func (ch *checker) started(agent string, id structs.TaskID, payload []byte) {
	token := string(payload)
	ch.starts[token]++
	if n := ch.starts[token]; n > 1 {
		ch.violationf("task %s started %d times, last at %s", token, n, agent)
	}
	if source := ch.notRun[token]; source != "" {
		ch.violationf("task %s started at %s after it was reported as not run: %s", token, agent, source)
	}
	if first, ok := ch.tasks[token]; ok && first != id {
		ch.violationf("payload %s started under two task ids, %v and %v", token, first, id)
	}
	ch.tasks[token] = id
}

// checkReply checks a reply to a caller.
func (ch *checker) checkReply(c *pendingCall, answer *structs.JobAnswer, err *structs.Error) {
	c.replies++
	if c.replies > 1 {
		ch.violationf("%s got %d replies", c.description, c.replies)
	}
	switch {
	case (answer == nil) == (err == nil):
		ch.violationf("%s: want either an answer or an error, got %v, %v", c.description, answer, err)
	case err != nil:
		ch.checkError(c, err)
	default:
		ch.checkAnswer(c, answer)
	}
	if c.onReply != nil {
		c.onReply(answer, err)
	}
}

func (ch *checker) checkError(c *pendingCall, err *structs.Error) {
	if err.Code == structs.CodeHomeLost {
		ch.stats.HomeLost++
	}
	if c.job == nil || err.Verdict != structs.NotRun {
		return
	}
	source := fmt.Sprintf("reply %[2]v to %[1]s", c.description, err)
	for i := range c.job.spec.Tasks {
		ch.recordNotRun(string(c.job.spec.Tasks[i].Payload), source)
	}
}

func (ch *checker) recordNotRun(token, source string) {
	if ch.notRun[token] == "" {
		ch.notRun[token] = source
	}
	if n := ch.starts[token]; n > 0 {
		ch.violationf("task %s started %d times, but was reported as not run: %s", token, n, source)
	}
}

func (ch *checker) checkAnswer(c *pendingCall, a *structs.JobAnswer) {
	jb := c.job
	if jb == nil {
		ch.violationf("%s got an answer, want ids or an error", c.description)
		return
	}
	if jb.id == (structs.JobID{}) {
		jb.id = a.ID
	}
	if a.ID != jb.id {
		ch.violationf("%s: asked for %v, got the answer for %v", c.description, jb.id, a.ID)
	}
	if !a.State.Final() {
		if a.Results != nil || a.Error != nil {
			ch.violationf("%s: running job has results or an error", c.description)
		}
		if jb.homeAnswer != nil && !c.recovered {
			ch.violationf("%s: answer changed from %s back to running", c.description, jb.firstFinal.State)
		}
		return
	}
	ch.checkFinal(c.description, jb, a)
	if jb.firstFinal == nil {
		jb.firstFinal = a
	}
	ch.checkConsistent(c, jb, a)
	if c.recovered {
		jb.recovered = append(jb.recovered, a)
	} else if jb.homeAnswer == nil {
		jb.homeAnswer = a
	}
}

// checkConsistent compares a final answer with the earlier ones. The home's
// answer never changes. An answer that another entry obtains from the agents
// while the home is unreachable may differ from another answer only if one of
// the two has a task with the verdict MayHaveRun. All answers without such a
// task are the same.
func (ch *checker) checkConsistent(c *pendingCall, jb *job, a *structs.JobAnswer) {
	if jb.homeAnswer != nil && !c.recovered && !sameAnswer(jb.homeAnswer, a) {
		ch.violationf("%s: the home's final answer changed from %s to %s", c.description, describe(jb.homeAnswer), describe(a))
	}
	others := jb.recovered
	if jb.homeAnswer != nil && c.recovered {
		others = append([]*structs.JobAnswer{jb.homeAnswer}, others...)
	}
	for _, other := range others {
		if definite(other) && definite(a) && !sameAnswer(other, a) {
			ch.violationf("%s: final answer changed from %s to %s", c.description, describe(other), describe(a))
		}
	}
}

// definite reports whether the answer states for each task whether it ran.
func definite(a *structs.JobAnswer) bool {
	for _, r := range a.Results {
		if r.Verdict == structs.MayHaveRun {
			return false
		}
	}
	return true
}

func (ch *checker) checkFinal(description string, jb *job, a *structs.JobAnswer) {
	if len(a.Results) != len(jb.spec.Tasks) {
		ch.violationf("%s: %s answer has %d results for %d tasks", description, a.State, len(a.Results), len(jb.spec.Tasks))
		return
	}
	for i, r := range a.Results {
		token := string(jb.spec.Tasks[i].Payload)
		if r.Index != i {
			ch.violationf("%s: result %d has index %d", description, i, r.Index)
		}
		switch r.Verdict {
		case structs.NotRun:
			ch.recordNotRun(token, description+": answer with verdict NotRun")
		case structs.Ran:
			if ch.starts[token] == 0 {
				ch.violationf("%s: task %s reported as run, but no backend server started it", description, token)
			}
		}
		if a.State == structs.JobComplete {
			if r.Verdict != structs.Ran || r.Error != nil {
				ch.violationf("%s: complete answer has task %s with verdict %v, error %v", description, token, r.Verdict, r.Error)
			}
			if !bytes.Equal(r.Body, resultBody(jb.spec.Tasks[i].Payload)) {
				ch.violationf("%s: task %s has the wrong result %q", description, token, r.Body)
			}
		} else if r.Body != nil {
			ch.violationf("%s: failed answer has a body for task %s", description, token)
		}
	}
	if (a.State == structs.JobFailed) != (a.Error != nil) {
		ch.violationf("%s: %s answer has error %v", description, a.State, a.Error)
	}
}

// sameAnswer compares what callers rely on: state, verdicts and bodies.
func sameAnswer(a, b *structs.JobAnswer) bool {
	if a.State != b.State || len(a.Results) != len(b.Results) {
		return false
	}
	for i := range a.Results {
		if a.Results[i].Verdict != b.Results[i].Verdict || !bytes.Equal(a.Results[i].Body, b.Results[i].Body) {
			return false
		}
	}
	return true
}

func describe(a *structs.JobAnswer) string {
	s := string(a.State)
	for _, r := range a.Results {
		s += " " + r.Verdict.String()
	}
	return s
}

// countFinalAnswers adds the run's final answers to the statistics.
func (ch *checker) countFinalAnswers() {
	for _, jb := range ch.jobs {
		if jb.firstFinal == nil {
			continue
		}
		ch.stats.Jobs++
		if jb.firstFinal.State == structs.JobComplete {
			ch.stats.Complete++
		} else {
			ch.stats.Failed++
		}
		for i, r := range jb.firstFinal.Results {
			ch.stats.Tasks++
			switch r.Verdict {
			case structs.NotRun:
				ch.stats.NotRun++
			case structs.Ran:
				ch.stats.Ran++
			default:
				ch.stats.countMayHaveRun(r.Error, ch.starts[string(jb.spec.Tasks[i].Payload)] > 0)
			}
		}
	}
}
