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
	Entries []string // base URLs; jobs go to them in turn
	Service string
	Servers []Server      // that the ideal counts with
	Timeout time.Duration // of each job
	// Retries is how often a refused job comes back after the time it was told.
	Retries int
}

// waitPerRequest is how long one request waits for the job's answer.
const waitPerRequest = 30 * time.Second

// maxAnswer bounds the body of an answer.
const maxAnswer = 1 << 30

// runner sends the jobs of one run.
type runner struct {
	opts Options
	http *http.Client
	rec  *recorder
}

// Run sends the jobs and returns what came of them. It returns early if ctx
// ends.
func Run(ctx context.Context, opts Options, jobs []Job) (*Report, error) {
	if len(opts.Entries) == 0 {
		return nil, fmt.Errorf("load: no entry given")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 512}
	defer transport.CloseIdleConnections()
	r := &runner{opts: opts, http: &http.Client{Transport: transport}, rec: newRecorder()}
	before, err := r.messages(ctx)
	if err != nil {
		return nil, err
	}
	r.send(ctx, jobs)
	after, err := r.messages(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	return r.rec.report(opts, jobs, after.minus(before)), nil
}

// send starts each job at its intended time and waits for all.
func (r *runner) send(ctx context.Context, jobs []Job) {
	var all sync.WaitGroup
	ideals := make([]time.Duration, len(jobs))
	bodies := make([][]byte, len(jobs))
	for i := range jobs {
		ideals[i] = IdealResponseTime(r.opts.Servers, jobs[i].Tasks)
		bodies[i] = r.body(&jobs[i])
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
		r.rec.lag(time.Since(intended))
		entry := r.opts.Entries[i%len(r.opts.Entries)]
		all.Go(func() { r.job(ctx, entry, &jobs[i], bodies[i], intended, ideals[i]) })
	}
	all.Wait()
	r.rec.elapsed = time.Since(start)
}

// job sends one job, again after a refusal as far as allowed, and records its
// end. A job that comes back goes to the entry that told it when.
func (r *runner) job(ctx context.Context, entry string, j *Job, body []byte, intended time.Time, ideal time.Duration) {
	for try := 0; ; try++ {
		answer, refused := r.submit(ctx, entry, body)
		if refused == nil {
			r.rec.answered(j, answer, intended, time.Since(intended), ideal)
			return
		}
		r.rec.refused(j, refused, try)
		if try >= r.opts.Retries || refused.RetryAfter <= 0 {
			return
		}
		if !sleepUntil(ctx, time.Now().Add(refused.RetryAfter)) {
			return
		}
	}
}

// submit returns the job's final answer, or the error in its place.
func (r *runner) submit(ctx context.Context, entry string, body []byte) (*structs.JobAnswer, *structs.Error) {
	request := func(method, path string, body io.Reader) (*structs.JobAnswer, *structs.Error) {
		return r.request(ctx, method, entry+path+"?wait="+waitPerRequest.String(), body)
	}
	answer, err := request(http.MethodPost, "/v1/jobs", bytes.NewReader(body))
	for err == nil && !answer.State.Final() {
		answer, err = request(http.MethodGet, "/v1/jobs/"+answer.ID.String(), nil)
	}
	return answer, err
}

func (r *runner) request(ctx context.Context, method, url string, body io.Reader) (*structs.JobAnswer, *structs.Error) {
	lost := func(err error) *structs.Error {
		return structs.Errorf(structs.CodeUnavailable, structs.MayHaveRun, "%s", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, lost(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, lost(err)
	}
	defer resp.Body.Close()
	limited := io.LimitReader(resp.Body, maxAnswer)
	if resp.StatusCode >= http.StatusBadRequest {
		refused := new(structs.Error)
		if err := json.NewDecoder(limited).Decode(refused); err != nil {
			return nil, lost(err)
		}
		return nil, refused
	}
	answer := new(structs.JobAnswer)
	if err := json.NewDecoder(limited).Decode(answer); err != nil {
		return nil, lost(err)
	}
	return answer, nil
}

func (r *runner) body(j *Job) []byte {
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
		panic(err) // plain data always encodes
	}
	return body
}

// messagePrefix is that of the entries' counters of messages to agents.
const messagePrefix = "messages.sent."

// messages are counts of messages sent to agents, by method.
type messages map[string]int64

func (m messages) minus(before messages) messages {
	d := make(messages)
	for method, n := range m {
		if n -= before[method]; n > 0 {
			d[method] = n
		}
	}
	return d
}

// messages sums up the counters of all entries.
func (r *runner) messages(ctx context.Context) (messages, error) {
	sum := make(messages)
	for _, entry := range r.opts.Entries {
		if err := r.addMessages(ctx, entry, sum); err != nil {
			return nil, fmt.Errorf("load: metrics of %s: %w", entry, err)
		}
	}
	return sum, nil
}

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
	var all map[string]struct {
		Count int64 `json:"count"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return err
	}
	for name, v := range all {
		if method, ok := strings.CutPrefix(name, messagePrefix); ok {
			sum[method] += v.Count
		}
	}
	return nil
}

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
