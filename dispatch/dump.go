package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/places"
	"github.com/chestnuthollow/chestnuthollow/shares"
)

// maxDumpJobs bounds the number of jobs in a dump.
const maxDumpJobs = 200

// Dump is a snapshot of a Dispatcher for operators.
type Dump struct {
	Jobs       int         `json:"jobs"`
	Placements int         `json:"placements"`
	InDoubt    int         `json:"doubtful_placements"`
	Canceled   int         `json:"canceled"`         // jobs that are marked as canceled
	MarksLost  int         `json:"canceled_dropped"` // marks dropped early, because there were too many
	Agents     []AgentDump `json:"agents"`
	Open       []JobDump   `json:"open"`
	// ConfinedQueues are the queues whose tasks run on some of the servers only,
	// because they have crashed others.
	ConfinedQueues []string `json:"confined_queues"`
	// RunTimes are the distributions of run times of the queues for which they are known.
	RunTimes []RunTimesDump `json:"run_times"`
	// Places is nil unless places are served.
	Places *PlacesDump `json:"places,omitempty"`
	// Shares is what the callers of each queue ask for and get at this entry, by service.
	Shares []SharesDump `json:"shares"`
}

// PlacesDump is what is known of jobs that have a place.
type PlacesDump struct {
	WantedRacks []string           `json:"wanted_racks"` // of late, the most wanted first
	Groups      bool               `json:"groups"`       // jobs wanted any one rack
	Open        int                `json:"open"`         // tasks of jobs that have a place
	Waits       []places.RackWaits `json:"waits"`
}

// SharesDump is the demand for one service's capacity at this entry.
type SharesDump struct {
	Service   string       `json:"service"`
	FreeShare float64      `json:"free_share"` // of the capacity, recent average
	Saturated bool         `json:"saturated"`
	Queues    []shares.Row `json:"queues"`
}

// AgentDump is one agent with an open session.
type AgentDump struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Server   string `json:"server"`
	Ready    bool   `json:"ready"`
	Capacity int    `json:"capacity"`
	FreeCPU  int    `json:"free_cpu"`
	Slowness int    `json:"slowness"`
	Failing  int    `json:"failing"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	AgeMs    int64  `json:"state_age_ms"`
	ColdMs   int    `json:"cold_ms"` // how much longer the server runs slowly
	// Evacuated means that the agent's availability zone is evacuated.
	Evacuated bool `json:"zone_evacuated"`
	// OthersPerSecond is the rate at which other entries place work there, in thousandths
	// of a core per second.
	OthersPerSecond int `json:"others_cpu_per_s"`
}

// JobDump is one job that is open, or answered with tasks not yet ended.
type JobDump struct {
	Name      string `json:"name"`
	Queue     string `json:"queue"`
	Tasks     int    `json:"tasks"`
	Remaining int    `json:"left"`
	Answered  bool   `json:"answered"`
	AgeMs     int64  `json:"age_ms"`
}

// Dump returns a snapshot of bounded size. Ages are relative to now.
func (d *Dispatcher) Dump(now time.Time) Dump {
	out := Dump{Jobs: len(d.jobs), Placements: len(d.placements), Canceled: d.cancels.Len(), MarksLost: d.cancels.Dropped(), ConfinedQueues: d.containment.ConfinedQueues()}
	for _, service := range slices.Sorted(maps.Keys(d.shares)) {
		s := d.shares[service]
		out.Shares = append(out.Shares, SharesDump{Service: service, FreeShare: s.pressure.Free(), Saturated: s.pressure.Saturated(), Queues: s.ledger.Rows(now)})
	}
	for _, p := range d.placements {
		if !p.inDoubtUntil.IsZero() {
			out.InDoubt++
		}
	}
	out.Places = d.placesDump(now)
	for _, a := range d.sortedAgents {
		out.Agents = append(out.Agents, AgentDump{
			Name: a.name, Zone: a.zone, Server: a.identity.Server, Ready: a.state.Ready, Capacity: a.identity.Capacity,
			FreeCPU: a.state.FreeCPU, Slowness: a.state.Slowness, Failing: a.state.Failing,
			Running: len(a.state.Running), Waiting: len(a.state.Queue), AgeMs: now.Sub(a.stateAsOf).Milliseconds(),
			ColdMs: a.state.ColdMs, Evacuated: d.evacuated(a.zone),
			OthersPerSecond: int(a.othersFlow.PerSecond()),
		})
	}
	for _, j := range d.sortedJobs(func(*job) bool { return true }) {
		if len(out.Open) >= maxDumpJobs {
			break
		}
		out.Open = append(out.Open, JobDump{
			Name: j.Name, Queue: j.Queue.Name, Tasks: j.Tasks, Remaining: j.unfinished, Answered: j.answered, AgeMs: now.Sub(j.arrived).Milliseconds(),
		})
	}
	out.RunTimes = d.runTimes.dump()
	return out
}

func (d *Dispatcher) placesDump(now time.Time) *PlacesDump {
	if !d.servesPlaces() {
		return nil
	}
	out := &PlacesDump{Waits: d.waits.Dump(now)}
	out.WantedRacks, out.Groups = d.WantedRacks(now)
	for _, a := range d.sortedAgents {
		out.Open += len(a.recallable)
	}
	return out
}
