package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Options configure a run.
type Options struct {
	Entries []string // base URLs; jobs are sent to them in turn
	Service string
	Servers []Server      // backend servers, for the ideal response time and capacity
	Timeout time.Duration // of each job
	// Retries is the maximum number of times that a refused job is sent again,
	// each after the delay given in the refusal (RetryAfter).
	Retries int
}

// longPollWait is the maximum time that one request waits for the job's final
// answer.
const longPollWait = 30 * time.Second

// maxResponseBytes limits the body of a response.
const maxResponseBytes = 1 << 30

// runner sends the jobs of one run and records their outcomes.
type runner struct {
	opts Options
	http *http.Client
	rec  *recorder
}

// Run sends the jobs and returns a report on their outcomes. If ctx ends, it
// sends no further jobs and abandons those in flight.
func Run(ctx context.Context, opts Options, jobs []Job) (*Report, error) {
	if len(opts.Entries) == 0 {
		return nil, fmt.Errorf("load: no entry given")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 512}
	defer transport.CloseIdleConnections()
	r := &runner{opts: opts, http: &http.Client{Transport: transport}, rec: newRecorder()}
	before, err := r.messageCounts(ctx)
	if err != nil {
		return nil, err
	}
	r.send(ctx, jobs)
	after, err := r.messageCounts(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	return r.rec.report(opts, jobs, after.minus(before)), nil
}

// send sends each job at its intended arrival time and waits for all of them.
func (r *runner) send(ctx context.Context, jobs []Job) {
	var wg sync.WaitGroup
	ideals := make([]time.Duration, len(jobs))
	bodies := make([][]byte, len(jobs))
	for i := range jobs {
		ideals[i] = IdealResponseTime(r.opts.Servers, jobs[i].Tasks)
		bodies[i] = r.encode(&jobs[i])
	}
	start := time.Now()
	if len(jobs) > 0 {
		r.rec.lastArrival = start.Add(jobs[len(jobs)-1].At)
	}
	for i := range jobs {
		intended := start.Add(jobs[i].At)
		if !sleepUntil(ctx, intended) {
			break
		}
		r.rec.recordLag(time.Since(intended))
		entry := r.opts.Entries[i%len(r.opts.Entries)]
		wg.Go(func() { r.run(ctx, entry, &jobs[i], bodies[i], intended, ideals[i]) })
	}
	wg.Wait()
	r.rec.elapsed = time.Since(start)
}

// run sends one job, retries it after refusals as configured, and records the
// outcome. A retry goes to the entry that refused the job, after the delay that
// this entry asked for. The response time includes these delays.
func (r *runner) run(ctx context.Context, entry string, j *Job, body []byte, intended time.Time, ideal time.Duration) {
	for attempt := 0; ; attempt++ {
		answer, refusal := r.submit(ctx, entry, body)
		if refusal == nil {
			r.rec.recordAnswer(j, answer, intended, time.Since(intended), ideal)
			return
		}
		r.rec.recordRefusal(j, refusal, attempt)
		if attempt >= r.opts.Retries || refusal.RetryAfter <= 0 {
			return
		}
		if !sleepUntil(ctx, time.Now().Add(refusal.RetryAfter)) {
			return
		}
	}
}

// submit sends a job, polls until its answer is final and returns that answer,
// or the first error.
func (r *runner) submit(ctx context.Context, entry string, body []byte) (*structs.JobAnswer, *structs.Error) {
	request := func(method, path string, body io.Reader) (*structs.JobAnswer, *structs.Error) {
		return r.request(ctx, method, entry+path+"?wait="+longPollWait.String(), body)
	}
	answer, err := request(http.MethodPost, "/v1/jobs", bytes.NewReader(body))
	for err == nil && !answer.State.Final() {
		answer, err = request(http.MethodGet, "/v1/jobs/"+answer.ID.String(), nil)
	}
	return answer, err
}

// request sends one request. An error without a valid response is reported as
// unavailable and in doubt.
func (r *runner) request(ctx context.Context, method, url string, body io.Reader) (*structs.JobAnswer, *structs.Error) {
	inDoubt := func(err error) *structs.Error {
		return structs.Errorf(structs.CodeUnavailable, structs.MayHaveRun, "%s", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, inDoubt(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, inDoubt(err)
	}
	defer resp.Body.Close()
	limited := io.LimitReader(resp.Body, maxResponseBytes)
	if resp.StatusCode >= http.StatusBadRequest {
		refusal := new(structs.Error)
		if err := json.NewDecoder(limited).Decode(refusal); err != nil {
			return nil, inDoubt(err)
		}
		return nil, refusal
	}
	answer := new(structs.JobAnswer)
	if err := json.NewDecoder(limited).Decode(answer); err != nil {
		return nil, inDoubt(err)
	}
	return answer, nil
}

// encode returns the body of the request that submits a job.
func (r *runner) encode(j *Job) []byte {
	spec := structs.JobSpec{Service: r.opts.Service, Team: j.Team, Timeout: r.opts.Timeout}
	for _, t := range j.Tasks {
		payload := fmt.Appendf(nil, `{"work_ms":%.3f}`, float64(t.Work)/float64(time.Millisecond))
		spec.Tasks = append(spec.Tasks, structs.TaskSpec{
			Kind:        "load",
			ContentType: "application/json",
			Payload:     payload,
			Declared:    t.Declared,
		})
	}
	body, err := json.Marshal(&spec)
	if err != nil {
		panic(err) // unreachable: the type has only encodable fields
	}
	return body
}

// messagePrefix is the name prefix of the entries' counters of messages sent to
// agents.
const messagePrefix = "messages.sent."

// messages counts the messages sent to agents, by RPC method.
type messages map[string]int64

// minus returns the positive differences between m and the earlier counts.
func (m messages) minus(before messages) messages {
	diff := make(messages)
	for method, n := range m {
		if n -= before[method]; n > 0 {
			diff[method] = n
		}
	}
	return diff
}

// messageCounts returns the sum of the message counters of all entries.
func (r *runner) messageCounts(ctx context.Context) (messages, error) {
	sum := make(messages)
	for _, entry := range r.opts.Entries {
		if err := r.addMessages(ctx, entry, sum); err != nil {
			return nil, fmt.Errorf("load: read metrics of entry %s: %w", entry, err)
		}
	}
	return sum, nil
}

// addMessages adds the message counters of one entry to sum.
func (r *runner) addMessages(ctx context.Context, entry string, sum messages) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/metrics", nil)
	if err != nil {
		return err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var counters map[string]struct {
		Count int64 `json:"count"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&counters); err != nil {
		return err
	}
	for name, v := range counters {
		if method, ok := strings.CutPrefix(name, messagePrefix); ok {
			sum[method] += v.Count
		}
	}
	return nil
}

// sleepUntil sleeps until t and reports whether it did; it returns false if ctx
// ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
