package allinone

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Parameters of the demonstration.
const (
	DemoTasks         = 50                     // tasks of the job
	demoWork          = 200 * time.Millisecond // work time of each task on the fastest server
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// DemoReport is the result of the demonstration.
type DemoReport struct {
	Document structs.DocumentRecord `json:"document"`
	Answer   *structs.JobAnswer     `json:"answer"`
	Took     time.Duration          `json:"took_ns"`
	// Servers contains the number of tasks that each backend server ran.
	Servers []ServerReport `json:"servers"`
}

// ServerReport is the result for one backend server and its agent.
type ServerReport struct {
	Agent  string  `json:"agent"`
	Zone   string  `json:"zone"`
	Speed  float64 `json:"speed"`
	Starts int     `json:"starts"`
}

// Demo publishes a document for the service, waits until every process has it
// in force, submits a job of DemoTasks tasks and reports on the answer.
func (s *System) Demo(ctx context.Context) (*DemoReport, error) {
	c, err := client.New(client.Options{Entries: s.EntryURLs()})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	rec, err := s.publishSample(ctx, c)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	answer, err := c.Submit(ctx, s.demoJob())
	if err != nil {
		return nil, err
	}
	return &DemoReport{
		Document: *rec,
		Answer:   answer,
		Took:     time.Since(started),
		Servers:  s.serverReports(),
	}, nil
}

// PublishSample publishes a sample document for the service and waits until every
// process has it in force.
func (s *System) PublishSample(ctx context.Context) error {
	c, err := client.New(client.Options{Entries: s.EntryURLs()})
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = s.publishSample(ctx, c)
	return err
}

func (s *System) publishSample(ctx context.Context, c *client.Client) (*structs.DocumentRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	rec, err := c.Apply(ctx, s.opts.Service, structs.Edit{Text: s.sampleDocument()})
	if err != nil {
		return nil, fmt.Errorf("allinone: publish the sample document: %w", err)
	}
	for _, url := range s.EntryURLs() {
		if err := s.awaitReady(ctx, url, rec.Revision); err != nil {
			return nil, err
		}
	}
	return rec, nil
}

func (s *System) sampleDocument() string {
	return fmt.Sprintf(`service = %q
owner = %q

[accept]
max_tasks_per_job = %d

[limits]
slots = %d
queue = %d
`, s.opts.Service, s.opts.Team, structs.MaxTasksPerJob, s.opts.Slots, 2*s.opts.Slots)
}

// awaitReady waits until an entry has the revision in force and reports that every
// agent has, too.
func (s *System) awaitReady(ctx context.Context, url string, revision uint64) error {
	c, err := client.New(client.Options{Entries: []string{url}})
	if err != nil {
		return err
	}
	defer c.Close()
	for {
		st, err := c.Status(ctx)
		if err == nil && s.ready(st, revision) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("allinone: entry %s does not list all agents with the document in force: %w", url, ctx.Err()), err)
		case <-time.After(readyPollInterval):
		}
	}
}

// ready reports whether the status of an entry lists all agents and shows that the
// entry and the agents have at least the revision in force.
func (s *System) ready(st *structs.Status, revision uint64) bool {
	if len(st.Services) == 0 || st.Services[0].Revision < revision || len(st.Agents) < len(s.agents) {
		return false
	}
	for _, a := range st.Agents {
		if a.State.Revision < revision {
			return false
		}
	}
	return true
}

func (s *System) demoJob() *structs.JobSpec {
	spec := &structs.JobSpec{Service: s.opts.Service, Team: s.opts.Team}
	for i := range DemoTasks {
		spec.Tasks = append(spec.Tasks, structs.TaskSpec{
			Kind:        "hold",
			ContentType: "application/json",
			Payload:     fmt.Appendf(nil, `{"slot": %d, "work_ms": %d}`, i, demoWork.Milliseconds()),
			Declared:    demoWork,
		})
	}
	return spec
}

func (s *System) serverReports() []ServerReport {
	reports := make([]ServerReport, 0, len(s.backends))
	for i, b := range s.backends {
		reports = append(reports, ServerReport{
			Agent:  fmt.Sprintf("%s-%d", s.opts.Service, i+1),
			Zone:   s.opts.zone(i),
			Speed:  s.opts.Speeds[i],
			Starts: b.Stats().Starts,
		})
	}
	return reports
}
