package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Job is a job of a workload.
type Job struct {
	At    time.Duration `json:"at_ns"` // intended arrival time, relative to the start of the run
	Team  string        `json:"team"`
	Tasks []Task        `json:"tasks"`
}

// Task is a task of a job.
type Task struct {
	Work     time.Duration `json:"work_ns"`     // run time on a server of speed 1
	Declared time.Duration `json:"declared_ns"` // run time that the caller declares
}

// Workload describes the jobs of one run.
type Workload struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the mean number of tasks per second over all jobs; the tasks of
	// bursts are added to it.
	Rate  float64
	Teams []Team
	Sizes JobSizes
	Times WorkTimes
	// Burst, if not zero, is the interval at which an additional job of
	// structs.MaxTasksPerJob tasks arrives.
	Burst time.Duration
	// DeclaredError is the factor by which declared times may be too long or too
	// short; at zero or one, the declared times are exact.
	DeclaredError float64
}

// Team is a calling team with its weight in the distribution of jobs over teams.
type Team struct {
	Name   string
	Weight float64
}

// JobSizes is a distribution of the number of tasks per job: one task, a medium
// number (log-uniform from 2 to largeJobSize) or a large number (log-uniform from
// largeJobSize to structs.MaxTasksPerJob).
type JobSizes struct {
	SingleShare float64 // share of jobs with one task
	LargeShare  float64 // share of jobs with at least largeJobSize tasks
}

// largeJobSize is the number of tasks from which a job counts as large.
const largeJobSize = 50

// WorkTimes is a distribution of the work times of tasks: log-uniform from Min to
// Max, and for a share LongShare of the tasks log-uniform from Max to LongMax.
type WorkTimes struct {
	Min, Max  time.Duration
	LongShare float64
	LongMax   time.Duration
}

// DefaultJobSizes returns a mix of mostly single-task jobs, some medium-sized ones
// and a few large ones.
func DefaultJobSizes() JobSizes { return JobSizes{SingleShare: 0.8, LargeShare: 0.02} }

// DefaultWorkTimes returns work times of 50 ms to 1 s, with a few tasks of up to
// 5 s.
func DefaultWorkTimes() WorkTimes {
	return WorkTimes{Min: 50 * time.Millisecond, Max: time.Second, LongShare: 0.03, LongMax: 5 * time.Second}
}

// Scale returns the distribution with all times multiplied by f.
func (t WorkTimes) Scale(f float64) WorkTimes {
	scale := func(d time.Duration) time.Duration { return time.Duration(f * float64(d)) }
	return WorkTimes{Min: scale(t.Min), Max: scale(t.Max), LongShare: t.LongShare, LongMax: scale(t.LongMax)}
}

// Validate returns an error if the workload has invalid parameters.
func (w *Workload) Validate() error {
	switch {
	case w.Duration <= 0:
		return fmt.Errorf("load: duration %s: want a positive duration", w.Duration)
	case w.Rate <= 0:
		return fmt.Errorf("load: rate %v: want a positive number of tasks per second", w.Rate)
	case w.Times.Min <= 0 || w.Times.Max < w.Times.Min:
		return fmt.Errorf("load: task times %s to %s: want a positive range", w.Times.Min, w.Times.Max)
	case w.Sizes.SingleShare < 0 || w.Sizes.LargeShare < 0 || w.Sizes.SingleShare+w.Sizes.LargeShare > 1:
		return fmt.Errorf("load: shares of single-task and large jobs: want non-negative shares that sum to at most 1")
	}
	return nil
}

// Mean returns the mean work time of a task.
func (t WorkTimes) Mean() time.Duration {
	return time.Duration((1-t.LongShare)*logUniformMean(t.Min, t.Max) + t.LongShare*logUniformMean(t.Max, max(t.LongMax, t.Max)))
}

// Mean returns the mean number of tasks per job. It ignores that sampling rounds
// down to whole tasks.
func (s JobSizes) Mean() float64 {
	medium := logUniformMean(2, largeJobSize)
	large := logUniformMean(largeJobSize, structs.MaxTasksPerJob)
	return s.SingleShare + s.LargeShare*large + (1-s.SingleShare-s.LargeShare)*medium
}

// Generate returns the jobs in order of arrival. Apart from bursts, arrivals are a
// Poisson process. Equal workloads, including the seed, generate equal jobs.
func (w *Workload) Generate() []Job {
	rng := rand.New(rand.NewPCG(w.Seed, 1))
	var jobs []Job
	jobRate := w.Rate / w.Sizes.Mean()
	seconds := 0.0
	for {
		seconds += rng.ExpFloat64() / jobRate
		arrival := time.Duration(seconds * float64(time.Second))
		if arrival >= w.Duration {
			break
		}
		jobs = append(jobs, w.newJob(rng, arrival, w.Sizes.sample(rng)))
	}
	if w.Burst > 0 {
		for arrival := w.Burst / 2; arrival < w.Duration; arrival += w.Burst {
			jobs = append(jobs, w.newJob(rng, arrival, structs.MaxTasksPerJob))
		}
		sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].At < jobs[j].At })
	}
	return jobs
}

func (w *Workload) newJob(rng *rand.Rand, at time.Duration, size int) Job {
	j := Job{At: at, Team: w.sampleTeam(rng), Tasks: make([]Task, size)}
	for i := range j.Tasks {
		work := w.Times.sample(rng)
		j.Tasks[i] = Task{Work: work, Declared: w.declaredTime(rng, work)}
	}
	return j
}

// sampleTeam returns a team at random by weight, or "team" if there are none.
func (w *Workload) sampleTeam(rng *rand.Rand) string {
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

// declaredTime returns the work time with a log-uniform random error of a factor
// of up to DeclaredError in either direction.
func (w *Workload) declaredTime(rng *rand.Rand, work time.Duration) time.Duration {
	if w.DeclaredError <= 1 {
		return work
	}
	return time.Duration(float64(work) * math.Pow(w.DeclaredError, 2*rng.Float64()-1))
}

func (s JobSizes) sample(rng *rand.Rand) int {
	switch x := rng.Float64(); {
	case x < s.SingleShare:
		return 1
	case x < s.SingleShare+s.LargeShare:
		return int(logUniform(rng, largeJobSize, structs.MaxTasksPerJob))
	}
	return int(logUniform(rng, 2, largeJobSize))
}

func (t WorkTimes) sample(rng *rand.Rand) time.Duration {
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
