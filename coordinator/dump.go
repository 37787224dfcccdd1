package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/retry"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// maxDumpJobs limits the jobs listed in a dump.
const maxDumpJobs = 100

// Dump is a snapshot of the state for operators, limited in size.
type Dump struct {
	Self      structs.EntryInfo   `json:"self"`
	Leaving   bool                `json:"leaving"`
	OpenJobs  int                 `json:"open_jobs"`
	OpenTasks int                 `json:"open_tasks"`
	HeldBytes int                 `json:"held_bytes"`
	Answers   int                 `json:"answers"`
	Reserved  int                 `json:"reserved_ids"`
	NextID    uint64              `json:"next_id"`
	Watermark uint64              `json:"watermark"`
	Peers     []structs.EntryInfo `json:"peers"`
	Services  []ServiceDump       `json:"services"`
	Agents    []AgentDump         `json:"agents"`
	// Jobs lists the oldest open jobs.
	Jobs []JobDump `json:"jobs"`
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Name     string `json:"name"`
	Owner    string `json:"owner"`
	Revision uint64 `json:"revision"`
	Queued   int    `json:"queued"`
	Agents   int    `json:"agents"`
	// Ejected is the number of agents that get no tasks because their backend
	// servers fail.
	Ejected int `json:"ejected"`
	// Delayed is the number of tasks that wait for the retry budget.
	Delayed int          `json:"delayed"`
	Retries retry.Counts `json:"retries"`
	// TasksPerSecond is the moving average of the rate at which tasks ended; zero if
	// unknown.
	TasksPerSecond float64 `json:"tasks_per_second"`
}

// AgentDump is the state of one agent as this entry sees it.
type AgentDump struct {
	Info     structs.AgentInfo  `json:"info"`
	State    structs.AgentState `json:"state"`
	Usable   bool               `json:"usable"`
	Suspect  bool               `json:"suspect"`
	Fenced   bool               `json:"fenced"`
	Replaced bool               `json:"replaced"`
	Calls    int                `json:"calls"`
	Settling int                `json:"settling"`
}

// JobDump is one open job.
type JobDump struct {
	ID      structs.JobID    `json:"id"`
	Service string           `json:"service"`
	Team    string           `json:"team"`
	Total   int              `json:"total"`
	Left    int              `json:"left"`
	Waiters int              `json:"waiters"`
	Failure *structs.Error   `json:"failure,omitempty"`
	State   structs.JobState `json:"state"`
}

// Dump returns a snapshot of the state.
func (c *Coordinator) Dump() Dump {
	d := Dump{
		Self:      c.opts.Self,
		Leaving:   c.leaving,
		OpenJobs:  c.openJobs,
		OpenTasks: c.openTasks,
		HeldBytes: c.heldBytes,
		Answers:   len(c.finalSeqs),
		Reserved:  len(c.ids.reserved),
		NextID:    c.ids.next,
		Watermark: c.ids.watermark,
	}
	for _, p := range c.peers {
		d.Peers = append(d.Peers, p)
	}
	slices.SortFunc(d.Peers, func(a, b structs.EntryInfo) int { return cmp.Compare(a.Name, b.Name) })
	for _, svc := range c.services {
		d.Services = append(d.Services, svc.dump(c.now))
	}
	slices.SortFunc(d.Services, func(a, b ServiceDump) int { return cmp.Compare(a.Name, b.Name) })
	for _, a := range c.agentList {
		d.Agents = append(d.Agents, a.dump())
	}
	for _, j := range c.openList {
		if len(d.Jobs) == maxDumpJobs {
			break
		}
		if !j.state.Final() {
			d.Jobs = append(d.Jobs, j.dump())
		}
	}
	return d
}

func (s *service) dump(now time.Time) ServiceDump {
	d := ServiceDump{
		Name:     s.name,
		Revision: s.record.Revision,
		Queued:   s.queue.Len(),
		Agents:   len(s.agents),
		Ejected:  s.policy.EjectedCount(),
		Delayed:  len(s.retryDelayed),
		Retries:  s.retries.Counts(),

		TasksPerSecond: s.throughput.rateAt(now),
	}
	if s.doc != nil {
		d.Owner = s.doc.Owner
	}
	return d
}

func (a *agent) dump() AgentDump {
	return AgentDump{
		Info:     a.info,
		State:    a.state,
		Usable:   a.usable(),
		Suspect:  a.suspect,
		Fenced:   a.fenced,
		Replaced: a.replaced,
		Calls:    len(a.attempts),
		Settling: len(a.settlePending) + len(a.settleInFlight),
	}
}

func (j *job) dump() JobDump {
	return JobDump{
		ID:      j.id,
		Service: j.service.name,
		Team:    j.team,
		Total:   len(j.tasks),
		Left:    j.unfinished,
		Waiters: len(j.waiters),
		Failure: j.failure,
		State:   j.state,
	}
}
