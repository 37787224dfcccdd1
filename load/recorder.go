package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Precision and ranges of the histograms.
const (
	histogramDigits = 3
	maxResponse     = int64(10 * time.Minute / time.Microsecond) // microseconds
	slowdownUnit    = 1000                                       // recorded value of a slowdown of 1
	maxSlowdown     = 10_000_000                                 // in units of 1/slowdownUnit
)

// recorder collects the outcomes of a run. Its record methods are safe for
// concurrent use.
type recorder struct {
	mu         sync.Mutex
	slowdown   *hdrhistogram.Histogram            // response time over the ideal, times slowdownUnit
	response   *hdrhistogram.Histogram            // microseconds
	singleTask *hdrhistogram.Histogram            // slowdown of jobs with one task
	teams      map[string]*hdrhistogram.Histogram // slowdown by team
	lags       *hdrhistogram.Histogram            // delay of the generator in sending jobs, microseconds
	elapsed    time.Duration

	complete             int
	completeTasks        int
	goodputWork          time.Duration  // work of jobs complete by the last arrival
	lastArrival          time.Time      // intended arrival of the last job
	failures             map[string]int // failed jobs, by code/verdict
	refusals             map[string]int // refusals and request errors, by code/verdict
	firstAttemptRefusals int            // refusals and request errors at the first attempt
	retryRefusals        int            // refusals and request errors of retries
}

func newRecorder() *recorder {
	return &recorder{
		slowdown:   newSlowdownHistogram(),
		singleTask: newSlowdownHistogram(),
		response:   hdrhistogram.New(1, maxResponse, histogramDigits),
		lags:       hdrhistogram.New(1, maxResponse, histogramDigits),
		teams:      make(map[string]*hdrhistogram.Histogram),
		failures:   make(map[string]int),
		refusals:   make(map[string]int),
	}
}

func newSlowdownHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxSlowdown, histogramDigits)
}

func (r *recorder) recordLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.lags, d.Microseconds(), maxResponse)
}

// recordAnswer records the final answer to a job.
func (r *recorder) recordAnswer(j *Job, a *structs.JobAnswer, intended time.Time, took, ideal time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.State != structs.JobComplete {
		r.failures[errorKey(a.Error)]++
		return
	}
	r.complete++
	r.completeTasks += len(j.Tasks)
	if !intended.Add(took).After(r.lastArrival) {
		for _, t := range j.Tasks {
			r.goodputWork += t.Work
		}
	}
	slowdown := int64(float64(took) / float64(ideal) * slowdownUnit)
	record(r.response, took.Microseconds(), maxResponse)
	record(r.slowdown, slowdown, maxSlowdown)
	if len(j.Tasks) == 1 {
		record(r.singleTask, slowdown, maxSlowdown)
	}
	if r.teams[j.Team] == nil {
		r.teams[j.Team] = newSlowdownHistogram()
	}
	record(r.teams[j.Team], slowdown, maxSlowdown)
}

// recordRefusal records that an attempt, counted from zero, ended in an error in
// place of an answer.
func (r *recorder) recordRefusal(_ *Job, e *structs.Error, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[errorKey(e)]++
	if attempt == 0 {
		r.firstAttemptRefusals++
		return
	}
	r.retryRefusals++
}

// errorKey returns the key of an error in the report: code/verdict.
func errorKey(e *structs.Error) string {
	if e == nil {
		return "unknown"
	}
	return string(e.Code) + "/" + e.Verdict.String()
}

func record(h *hdrhistogram.Histogram, v, maxValue int64) {
	// No error can occur, because the value is clamped to the histogram's range.
	_ = h.RecordValue(min(max(v, 1), maxValue))
}
