package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// minMessagesPerTask is the number of messages that a task needs at least: the
// dispatch and its answer.
const minMessagesPerTask = 2

// controlMethods are the RPC methods of messages that are not caused by tasks.
var controlMethods = map[string]bool{"Heartbeat": true, "PutDocument": true, "GetDocument": true}

// Report is the result of a run.
type Report struct {
	Name    string        `json:"name,omitempty"`
	Elapsed time.Duration `json:"elapsed_ns"`
	Jobs    int           `json:"jobs"`
	Tasks   int           `json:"tasks"`
	// Offered is the work of all jobs, and Goodput the work of the jobs that were
	// complete by the last arrival. Both are fractions of the servers' capacity
	// during the time up to the last arrival.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`

	Complete      int `json:"complete"`
	CompleteTasks int `json:"complete_tasks"`

	Slowdown           Quantiles            `json:"ratio"`            // response time over the ideal response time
	SingleTaskSlowdown Quantiles            `json:"ratio_single"`     // slowdown of jobs with one task
	SlowdownByTeam     map[string]Quantiles `json:"ratio_by_team"`    // slowdown, by calling team
	Response           Quantiles            `json:"response_seconds"` // response time from the intended arrival
	GeneratorLag       Quantiles            `json:"lag_seconds"`      // delay of the generator in sending jobs

	Failures             map[string]int `json:"failures,omitempty"` // failed jobs, by code/verdict
	Refusals             map[string]int `json:"refusals,omitempty"` // refusals and request errors, by code/verdict
	FirstAttemptRefusals int            `json:"turned_away"`        // refusals and request errors at the first attempt
	RetryRefusals        int            `json:"refused_again"`      // refusals and request errors of retries

	// Messages counts the messages that entries sent to agents, by RPC method;
	// each has one answer.
	Messages map[string]int64 `json:"messages"`
	// ExcessMessagesPerTask is the number of messages, answers included, per
	// complete task beyond the two that a task needs. It excludes control
	// messages, which ControlMessagesPerTask counts.
	ExcessMessagesPerTask  float64 `json:"wasted_per_task"`
	ControlMessagesPerTask float64 `json:"control_per_task"`

	slowdown *hdrhistogram.Histogram // for Plot
}

// Quantiles summarizes a distribution.
type Quantiles struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// quantiles summarizes a histogram whose values are multiples of 1/unit.
func quantiles(h *hdrhistogram.Histogram, unit float64) Quantiles {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / unit }
	return Quantiles{Mean: h.Mean() / unit, P50: quantile(50), P95: quantile(95), P99: quantile(99), Max: float64(h.Max()) / unit}
}

func (r *recorder) report(opts Options, jobs []Job, sent messages) *Report {
	const perSecond = 1e6 // time histograms are in microseconds
	rep := &Report{
		Elapsed:              r.elapsed,
		Jobs:                 len(jobs),
		Complete:             r.complete,
		CompleteTasks:        r.completeTasks,
		Slowdown:             quantiles(r.slowdown, slowdownUnit),
		SingleTaskSlowdown:   quantiles(r.singleTask, slowdownUnit),
		Response:             quantiles(r.response, perSecond),
		GeneratorLag:         quantiles(r.lags, perSecond),
		SlowdownByTeam:       make(map[string]Quantiles),
		Failures:             r.failures,
		Refusals:             r.refusals,
		FirstAttemptRefusals: r.firstAttemptRefusals,
		RetryRefusals:        r.retryRefusals,
		Messages:             sent,
		slowdown:             r.slowdown,
	}
	for name, h := range r.teams {
		rep.SlowdownByTeam[name] = quantiles(h, slowdownUnit)
	}
	rep.countWork(opts, jobs, r.goodputWork)
	rep.countMessages(sent)
	return rep
}

// countWork sets Tasks, Offered and Goodput. goodputWork is the work of the jobs
// that were complete by the last arrival.
func (rep *Report) countWork(opts Options, jobs []Job, goodputWork time.Duration) {
	var work, span time.Duration
	for i := range jobs {
		rep.Tasks += len(jobs[i].Tasks)
		span = max(span, jobs[i].At)
		for _, t := range jobs[i].Tasks {
			work += t.Work
		}
	}
	capacity := Capacity(opts.Servers)
	if capacity <= 0 || span <= 0 {
		return
	}
	rep.Offered = work.Seconds() / span.Seconds() / capacity
	rep.Goodput = goodputWork.Seconds() / span.Seconds() / capacity
}

// countMessages sets the messages per complete task.
func (rep *Report) countMessages(sent messages) {
	if rep.CompleteTasks == 0 {
		return
	}
	var taskMessages, control int64
	for method, n := range sent {
		if controlMethods[method] {
			control += n
		} else {
			taskMessages += n
		}
	}
	perTask := func(n int64) float64 { return 2 * float64(n) / float64(rep.CompleteTasks) }
	rep.ExcessMessagesPerTask = perTask(taskMessages) - minMessagesPerTask
	rep.ControlMessagesPerTask = perTask(control)
}

// WriteJSON writes the report as JSON.
func (rep *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(rep)
}

// WriteText writes the report as human-readable text.
func (rep *Report) WriteText(w io.Writer) {
	if rep.Name != "" {
		fmt.Fprintf(w, "%s\n", rep.Name)
	}
	fmt.Fprintf(w, "jobs %d of %d complete, tasks %d of %d, in %s\n",
		rep.Complete, rep.Jobs, rep.CompleteTasks, rep.Tasks, rep.Elapsed.Round(time.Millisecond))
	fmt.Fprintf(w, "load offered %.1f%% of capacity, goodput %.1f%%\n", 100*rep.Offered, 100*rep.Goodput)
	writeQuantiles(w, "response over ideal", rep.Slowdown)
	writeQuantiles(w, "  single tasks", rep.SingleTaskSlowdown)
	for _, team := range sortedKeys(rep.SlowdownByTeam) {
		writeQuantiles(w, "  team "+team, rep.SlowdownByTeam[team])
	}
	writeQuantiles(w, "response seconds", rep.Response)
	writeQuantiles(w, "generator lag seconds", rep.GeneratorLag)
	fmt.Fprintf(w, "messages per task beyond two %.4f, control %.4f\n", rep.ExcessMessagesPerTask, rep.ControlMessagesPerTask)
	writeCounts(w, "refused", rep.Refusals)
	writeCounts(w, "failed", rep.Failures)
	if rep.FirstAttemptRefusals > 0 {
		fmt.Fprintf(w, "refused at first attempt %d, refused on retry %d\n", rep.FirstAttemptRefusals, rep.RetryRefusals)
	}
}

func writeQuantiles(w io.Writer, name string, q Quantiles) {
	fmt.Fprintf(w, "%-22s mean %8.3f  p50 %8.3f  p95 %8.3f  p99 %8.3f  max %8.3f\n", name, q.Mean, q.P50, q.P95, q.P99, q.Max)
}

func writeCounts(w io.Writer, name string, counts map[string]int) {
	for _, key := range sortedKeys(counts) {
		fmt.Fprintf(w, "%s %s %d\n", name, key, counts[key])
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
