package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Ranges of the histograms.
const (
	histogramDigits = 3
	maxResponse     = int64(10 * time.Minute / time.Microsecond)
	ratioUnit       = 1000 // a ratio of 1 is recorded as this
	maxRatio        = 10_000_000
)

// recorder gathers the outcomes of a run. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	ratio    *hdrhistogram.Histogram // response time over the ideal
	response *hdrhistogram.Histogram // microseconds
	single   *hdrhistogram.Histogram // ratio of jobs with one task
	teams    map[string]*hdrhistogram.Histogram
	lags     *hdrhistogram.Histogram // of the generator, microseconds
	elapsed  time.Duration

	complete      int
	completeTasks int
	timelyWork    time.Duration // of jobs complete before the last arrival
	lastArrival   time.Time
	failures      map[string]int
	refusals      map[string]int
	turnedAway    int // refusals of first tries
	refusedAgain  int // refusals of jobs that came back when told
}

func newRecorder() *recorder {
	return &recorder{
		ratio:    newRatioHistogram(),
		single:   newRatioHistogram(),
		response: hdrhistogram.New(1, maxResponse, histogramDigits),
		lags:     hdrhistogram.New(1, maxResponse, histogramDigits),
		teams:    make(map[string]*hdrhistogram.Histogram),
		failures: make(map[string]int),
		refusals: make(map[string]int),
	}
}

func newRatioHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRatio, histogramDigits)
}

func (r *recorder) lag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.lags, d.Microseconds(), maxResponse)
}

func (r *recorder) answered(j *Job, a *structs.JobAnswer, intended time.Time, took, ideal time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.State != structs.JobComplete {
		r.failures[outcome(a.Error)]++
		return
	}
	r.complete++
	r.completeTasks += len(j.Tasks)
	if !intended.Add(took).After(r.lastArrival) {
		for _, t := range j.Tasks {
			r.timelyWork += t.Work
		}
	}
	ratio := int64(float64(took) / float64(ideal) * ratioUnit)
	record(r.response, took.Microseconds(), maxResponse)
	record(r.ratio, ratio, maxRatio)
	if len(j.Tasks) == 1 {
		record(r.single, ratio, maxRatio)
	}
	if r.teams[j.Team] == nil {
		r.teams[j.Team] = newRatioHistogram()
	}
	record(r.teams[j.Team], ratio, maxRatio)
}

func (r *recorder) refused(_ *Job, e *structs.Error, try int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[outcome(e)]++
	if try == 0 {
		r.turnedAway++
		return
	}
	r.refusedAgain++
}

func outcome(e *structs.Error) string {
	if e == nil {
		return "unknown"
	}
	return string(e.Code) + "/" + e.Verdict.String()
}

func record(h *hdrhistogram.Histogram, v, most int64) {
	// The value is brought into the histogram's range, so no error can occur.
	_ = h.RecordValue(min(max(v, 1), most))
}
