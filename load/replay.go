package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
)

// ReadJobs reads jobs to replay: one JSON object per line, as written by
// WriteJobs. It returns the jobs in order of arrival.
func ReadJobs(r io.Reader) ([]Job, error) {
	var jobs []Job
	dec := json.NewDecoder(r)
	for {
		var j Job
		err := dec.Decode(&j)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("load: read job %d: %w", len(jobs)+1, err)
		}
		jobs = append(jobs, j)
	}
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].At < jobs[j].At })
	return jobs, nil
}

// WriteJobs writes jobs in the format that ReadJobs reads.
func WriteJobs(w io.Writer, jobs []Job) error {
	enc := json.NewEncoder(w)
	for i := range jobs {
		if err := enc.Encode(&jobs[i]); err != nil {
			return fmt.Errorf("load: write jobs: %w", err)
		}
	}
	return nil
}
