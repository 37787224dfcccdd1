package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Job is one job of a workload.
type Job struct {
	At    time.Duration `json:"at_ns"` // intended arrival, from the start
	Team  string        `json:"team"`
	Tasks []Task        `json:"tasks"`
}

// Task is one task of a job.
type Task struct {
	Work     time.Duration `json:"work_ns"` // on a server of speed 1
	Declared time.Duration `json:"declared_ns"`
}

// Workload describes the jobs of one run.
type Workload struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the mean rate of tasks a second, of all jobs together.
	Rate  float64
	Teams []Team
	Sizes JobSizes
	Times WorkTimes
	// Burst, if not zero, adds a job of MaxTasksPerJob each Burst.
	Burst time.Duration
	// DeclaredError is the factor by which declared times may be off both ways;
	// zero or one declares the truth.
	DeclaredError float64
}

// Team is a calling team and its part of the jobs.
type Team struct {
	Name   string
	Weight float64
}

// JobSizes is a distribution of tasks per job: single tasks, middle ones and large
// ones up to structs.MaxTasksPerJob.
type JobSizes struct {
	SingleShare float64 // share of jobs with one task
	LargeShare  float64 // share of jobs with more than middleSize tasks
}

const middleSize = 50

// WorkTimes is a distribution of work times: log-uniform between Least and Most,
// and for a share of Long up to LongMost.
type WorkTimes struct {
	Min, Max  time.Duration
	LongShare float64
	LongMax   time.Duration
}

// DefaultJobSizes is a mix of single holds, middle jobs and a few large ones.
func DefaultJobSizes() JobSizes { return JobSizes{SingleShare: 0.8, LargeShare: 0.02} }

// DefaultWorkTimes is 50 ms to a second, and a few tasks of several seconds.
func DefaultWorkTimes() WorkTimes {
	return WorkTimes{Min: 50 * time.Millisecond, Max: time.Second, LongShare: 0.03, LongMax: 5 * time.Second}
}

// Scale returns the times multiplied by f.
func (t WorkTimes) Scale(f float64) WorkTimes {
	scale := func(d time.Duration) time.Duration { return time.Duration(f * float64(d)) }
	return WorkTimes{Min: scale(t.Min), Max: scale(t.Max), LongShare: t.LongShare, LongMax: scale(t.LongMax)}
}

// Validate reports a workload that makes no sense.
func (w *Workload) Validate() error {
	switch {
	case w.Duration <= 0:
		return fmt.Errorf("load: duration %s: want a positive time", w.Duration)
	case w.Rate <= 0:
		return fmt.Errorf("load: rate %v: want a positive number of tasks a second", w.Rate)
	case w.Times.Min <= 0 || w.Times.Max < w.Times.Min:
		return fmt.Errorf("load: task times %s to %s: want a positive range", w.Times.Min, w.Times.Max)
	case w.Sizes.SingleShare < 0 || w.Sizes.LargeShare < 0 || w.Sizes.SingleShare+w.Sizes.LargeShare > 1:
		return fmt.Errorf("load: shares of single and large jobs: want 0 to 1 together")
	}
	return nil
}

// Mean returns the mean work time of a task.
func (t WorkTimes) Mean() time.Duration {
	return time.Duration((1-t.LongShare)*logUniformMean(t.Min, t.Max) + t.LongShare*logUniformMean(t.Max, max(t.LongMax, t.Max)))
}

// Mean returns the mean number of tasks per job.
func (s JobSizes) Mean() float64 {
	middle := logUniformMean(2, middleSize)
	large := logUniformMean(middleSize, structs.MaxTasksPerJob)
	return s.SingleShare + s.LargeShare*large + (1-s.SingleShare-s.LargeShare)*middle
}

// Generate returns the jobs in order of arrival: a Poisson process, the same
// for the same workload.
func (w *Workload) Generate() []Job {
	rng := rand.New(rand.NewPCG(w.Seed, 1))
	var jobs []Job
	jobRate := w.Rate / w.Sizes.Mean()
	at := 0.0
	for {
		at += rng.ExpFloat64() / jobRate
		when := time.Duration(at * float64(time.Second))
		if when >= w.Duration {
			break
		}
		jobs = append(jobs, w.job(rng, when, w.Sizes.draw(rng)))
	}
	if w.Burst > 0 {
		for when := w.Burst / 2; when < w.Duration; when += w.Burst {
			jobs = append(jobs, w.job(rng, when, structs.MaxTasksPerJob))
		}
		sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].At < jobs[j].At })
	}
	return jobs
}

func (w *Workload) job(rng *rand.Rand, at time.Duration, size int) Job {
	j := Job{At: at, Team: w.team(rng), Tasks: make([]Task, size)}
	for i := range j.Tasks {
		work := w.Times.draw(rng)
		j.Tasks[i] = Task{Work: work, Declared: w.declare(rng, work)}
	}
	return j
}

func (w *Workload) team(rng *rand.Rand) string {
	total := 0.0
	for _, t := range w.Teams {
		total += t.Weight
	}
	x := rng.Float64() * total
	for _, t := range w.Teams {
		if x -= t.Weight; x < 0 {
			return t.Name
		}
	}
	return "team"
}

func (w *Workload) declare(rng *rand.Rand, work time.Duration) time.Duration {
	if w.DeclaredError <= 1 {
		return work
	}
	return time.Duration(float64(work) * math.Pow(w.DeclaredError, 2*rng.Float64()-1))
}

func (s JobSizes) draw(rng *rand.Rand) int {
	switch x := rng.Float64(); {
	case x < s.SingleShare:
		return 1
	case x < s.SingleShare+s.LargeShare:
		return int(logUniform(rng, middleSize, structs.MaxTasksPerJob))
	}
	return int(logUniform(rng, 2, middleSize))
}

func (t WorkTimes) draw(rng *rand.Rand) time.Duration {
	if rng.Float64() < t.LongShare {
		return time.Duration(logUniform(rng, float64(t.Max), float64(max(t.LongMax, t.Max))))
	}
	return time.Duration(logUniform(rng, float64(t.Min), float64(t.Max)))
}

func logUniform(rng *rand.Rand, from, to float64) float64 {
	return from * math.Exp(rng.Float64()*math.Log(to/from))
}

func logUniformMean[T ~int | ~int64 | ~float64](from, to T) float64 {
	if to <= from {
		return float64(from)
	}
	return float64(to-from) / math.Log(float64(to)/float64(from))
}
