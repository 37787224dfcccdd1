package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// checkTimeout limits the search for a linearization.
const checkTimeout = 60 * time.Second

// submission is one job from its caller's point of view.
type submission struct {
	name   string
	tokens []string
	id     structs.JobID
	spec   structs.JobSpec
}

// newSubmission creates a job whose payload tokens are unique among all tasks.
func newSubmission(name string, tasks, millis int) *submission {
	s := &submission{name: name}
	s.spec = structs.JobSpec{Service: serviceName, Team: callerTeam}
	for i := range tasks {
		token := fmt.Sprintf("%s/%d", name, i)
		payload, _ := json.Marshal(taskPayload{Token: token, Millis: millis})
		s.tokens = append(s.tokens, token)
		s.spec.Tasks = append(s.spec.Tasks, structs.TaskSpec{
			Kind: "preview", ContentType: "application/json", Payload: payload,
			Declared: time.Duration(millis) * time.Millisecond,
		})
	}
	return s
}

// observation is the reply to one request of a caller.
type observation struct {
	submitted *submission
	call, ret int64
	answer    *structs.JobAnswer
	err       *structs.Error
}

// history collects the observations of callers. It is safe for concurrent use.
type history struct {
	mu           sync.Mutex
	observations []observation
}

func (h *history) add(o observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations = append(h.observations, o)
}

// taskOp is an operation on the register of one task: a start writes it, a
// verdict reads it.
type taskOp struct {
	token   string
	start   bool
	verdict structs.Verdict
	source  string
}

// taskState is the register: at most one of the two is ever set.
type taskState struct{ started, notRun bool }

// taskModel specifies that a task starts at most once, that it never starts if
// it is reported as NotRun at any time, and that it starts before it is
// reported as Ran.
var taskModel = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(taskOp).token }),
	Init:      func() any { return taskState{} },
	Step: func(state, in, _ any) (bool, any) {
		s, op := state.(taskState), in.(taskOp)
		switch {
		case op.start:
			return !s.started && !s.notRun, taskState{started: true}
		case op.verdict == structs.NotRun:
			return !s.started, taskState{notRun: true}
		case op.verdict == structs.Ran:
			return s.started, s
		}
		return true, s
	},
	DescribeOperation: func(in, _ any) string {
		op := in.(taskOp)
		if op.start {
			return "start at " + op.source
		}
		return op.verdict.String() + " reported to " + op.source
	},
}

// answerOp is a read of a job's answer; digest is empty while the job runs.
type answerOp struct {
	job, digest string
	// definite is set if the answer states for each task whether it ran.
	definite bool
}

// answerModel specifies that a job's answer is written once: after a caller got
// a final answer, no caller gets a different one or a running job. Answers with
// a task that may have run are exempt, because an entry that recovers the job
// from the agents may later obtain a definite one.
var answerModel = porcupine.Model{
	Partition: partitionBy(func(in any) string { return in.(answerOp).job }),
	Init:      func() any { return "" },
	Step: func(state, in, _ any) (bool, any) {
		s, op := state.(string), in.(answerOp)
		switch {
		case op.digest == "":
			return s == "", s
		case !op.definite:
			return true, s
		}
		return s == "" || s == op.digest, op.digest
	},
	DescribeOperation: func(in, _ any) string { return fmt.Sprintf("answer %q", in.(answerOp).digest) },
}

func partitionBy(key func(any) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(all []porcupine.Operation) [][]porcupine.Operation {
		index := make(map[string]int)
		var parts [][]porcupine.Operation
		for _, op := range all {
			k := key(op.Input)
			i, ok := index[k]
			if !ok {
				i = len(parts)
				index[k] = i
				parts = append(parts, nil)
			}
			parts[i] = append(parts[i], op)
		}
		return parts
	}
}

// verdicts counts the outcomes of jobs and the verdicts of their tasks.
type verdicts struct {
	Complete, Failed, Refused int
	// NoAnswer counts the jobs that were abandoned without a final answer. A
	// task without a reported verdict counts as MayHaveRun.
	NoAnswer                int
	NotRun, Ran, MayHaveRun int
	MayHaveRunNotStarted    int
}

// check checks the whole history against the backend servers' record of starts.
func (c *cluster) check(h *history) verdicts {
	c.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	starts := c.starts()
	var tasks, answers []porcupine.Operation
	for _, s := range starts {
		tasks = append(tasks, porcupine.Operation{
			Input: taskOp{token: s.Token, start: true, source: s.Server}, Call: s.At, Return: s.At,
		})
	}
	for _, o := range h.observations {
		tasks = append(tasks, verdictOps(o)...)
		if o.answer != nil {
			checkAnswer(c.t, o)
			answers = append(answers, porcupine.Operation{
				Input: answerOp{job: o.submitted.name, digest: digest(o.answer), definite: definite(o.answer)},
				Call:  o.call, Return: o.ret,
			})
		}
	}
	checkLinearizable(c.t, "starts and verdicts", taskModel, tasks)
	checkLinearizable(c.t, "answers", answerModel, answers)
	return c.countVerdicts(h, starts)
}

// checkLinearizable checks the partitions one by one, so that a failure names
// the task or job concerned.
func checkLinearizable(t *testing.T, subject string, model porcupine.Model, ops []porcupine.Operation) {
	t.Helper()
	for _, part := range model.Partition(ops) {
		if r := porcupine.CheckOperationsTimeout(model, part, checkTimeout); r != porcupine.Ok {
			t.Errorf("history of %s is not linearizable: %s", subject, r)
			for _, op := range part {
				t.Logf("  %d to %d: %+v %s", op.Call, op.Return, op.Input, model.DescribeOperation(op.Input, nil))
			}
		}
	}
}

// verdictOps returns the reads of the tasks' registers that an observation
// contains. A refusal of the whole job is a read of each task.
func verdictOps(o observation) []porcupine.Operation {
	op := func(token string, v structs.Verdict) porcupine.Operation {
		return porcupine.Operation{
			Input: taskOp{token: token, verdict: v, source: "the caller of " + o.submitted.name}, Call: o.call, Return: o.ret,
		}
	}
	var ops []porcupine.Operation
	if o.answer != nil {
		for i, r := range o.answer.Results {
			ops = append(ops, op(o.submitted.tokens[i], r.Verdict))
		}
	} else if o.err != nil && o.err.Verdict == structs.NotRun {
		for _, token := range o.submitted.tokens {
			ops = append(ops, op(token, structs.NotRun))
		}
	}
	return ops
}

// checkAnswer checks that an answer is complete with the right results, failed
// without any result, or running without any.
func checkAnswer(t *testing.T, o observation) {
	t.Helper()
	a := o.answer
	if !a.State.Final() {
		if len(a.Results) > 0 {
			t.Errorf("%s: running job has %d results", o.submitted.name, len(a.Results))
		}
		return
	}
	if len(a.Results) != len(o.submitted.tokens) {
		t.Errorf("%s: %s answer has %d results for %d tasks", o.submitted.name, a.State, len(a.Results), len(o.submitted.tokens))
		return
	}
	for i, r := range a.Results {
		valid := r.Verdict == structs.Ran && bytes.Equal(r.Body, []byte(resultOf(o.submitted.tokens[i])))
		if a.State == structs.JobComplete && !valid {
			t.Errorf("%s: complete answer has task %d with verdict %s, body %q", o.submitted.name, i, r.Verdict, r.Body)
		}
		if a.State == structs.JobFailed && len(r.Body) > 0 {
			t.Errorf("%s: failed answer has a body for task %d", o.submitted.name, i)
		}
	}
}

func definite(a *structs.JobAnswer) bool {
	for _, r := range a.Results {
		if r.Verdict == structs.MayHaveRun {
			return false
		}
	}
	return true
}

func digest(a *structs.JobAnswer) string {
	if !a.State.Final() {
		return ""
	}
	d := string(a.State)
	for _, r := range a.Results {
		d += fmt.Sprintf(" %s:%s", r.Verdict, r.Body)
	}
	return d
}

// starts reads the backend servers' record of starts.
func (c *cluster) starts() []startRecord {
	c.t.Helper()
	text, err := os.ReadFile(c.recordPath)
	if err != nil && !os.IsNotExist(err) {
		c.t.Fatal(err)
	}
	var out []startRecord
	for line := range bytes.Lines(text) {
		var s startRecord
		if err := json.Unmarshal(line, &s); err != nil {
			c.t.Errorf("record of starts: line %q: %v", line, err)
			continue
		}
		out = append(out, s)
	}
	return out
}

// countVerdicts counts the outcomes of jobs, and the tasks reported as
// MayHaveRun that never started.
func (c *cluster) countVerdicts(h *history, starts []startRecord) verdicts {
	started := make(map[string]bool)
	for _, s := range starts {
		started[s.Token] = true
	}
	var v verdicts
	for _, o := range decisiveObservations(h.observations) {
		switch {
		case o.answer != nil && o.answer.State == structs.JobComplete:
			v.Complete++
		case o.answer != nil && o.answer.State == structs.JobFailed:
			v.Failed++
		case o.err != nil && o.err.Verdict == structs.NotRun:
			v.Refused++
		default:
			v.NoAnswer++
		}
		for i, token := range o.submitted.tokens {
			v.add(o.verdict(i), started[token])
		}
	}
	return v
}

// decisiveObservations returns for each job the latest final answer, or else
// the latest refusal, or else the latest observation.
func decisiveObservations(observations []observation) []observation {
	index := make(map[*submission]int)
	var decisive []observation
	for _, o := range observations {
		i, ok := index[o.submitted]
		if !ok {
			index[o.submitted] = len(decisive)
			decisive = append(decisive, o)
		} else if o.rank() >= decisive[i].rank() {
			decisive[i] = o
		}
	}
	return decisive
}

func (o *observation) rank() int {
	switch {
	case o.answer != nil && o.answer.State.Final():
		return 2
	case o.err != nil && o.err.Verdict == structs.NotRun:
		return 1
	}
	return 0
}

// verdict returns the verdict on task i.
func (o *observation) verdict(i int) structs.Verdict {
	switch {
	case o.answer != nil && o.answer.State.Final():
		return o.answer.Results[i].Verdict
	case o.err != nil:
		return o.err.Verdict
	}
	return structs.MayHaveRun
}

func (v *verdicts) add(verdict structs.Verdict, started bool) {
	switch verdict {
	case structs.NotRun:
		v.NotRun++
	case structs.Ran:
		v.Ran++
	default:
		v.MayHaveRun++
		if !started {
			v.MayHaveRunNotStarted++
		}
	}
}
