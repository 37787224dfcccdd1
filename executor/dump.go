package executor

import (
	"cmp"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Limits on the lists of a Dump.
const (
	maxDumpTasks = 200
	maxDumpHomes = 200
)

// Dump is a snapshot of an Executor for operators. Its size is bounded.
type Dump struct {
	Records      int        `json:"records"`
	Jobs         int        `json:"jobs"`
	Fences       int        `json:"fences"`
	Homes        int        `json:"homes"`
	ResultBytes  int        `json:"result_bytes"`
	PayloadBytes int        `json:"payload_bytes"`
	Revision     uint64     `json:"revision"`
	Leaving      bool       `json:"leaving"`
	OpenTasks    []TaskDump `json:"open_tasks"` // queued and running tasks, at most maxDumpTasks
	HomeList     []HomeDump `json:"home_list"`  // at most maxDumpHomes
}

// TaskDump is one task in a Dump.
type TaskDump struct {
	Task    structs.TaskID `json:"task"`
	Attempt uint32         `json:"attempt"`
	Phase   string         `json:"phase"`
	Team    string         `json:"team"`
	Waiters int            `json:"waiters"`
}

// HomeDump is one home in a Dump. Its fields are those of type home.
type HomeDump struct {
	Home      structs.Incarnation `json:"home"`
	Open      int                 `json:"open"`
	Jobs      int                 `json:"jobs"`
	Watermark uint64              `json:"watermark"`
	Floor     uint64              `json:"floor"`
	Forgotten uint64              `json:"forgotten"`
	Closed    bool                `json:"closed"`
}

// Dump returns a snapshot of the state.
func (e *Executor) Dump() Dump {
	return Dump{
		Records:      len(e.records),
		Jobs:         e.jobCount,
		Fences:       e.fenceCount,
		Homes:        len(e.homes),
		ResultBytes:  e.results.bytes,
		PayloadBytes: e.payloadBytes,
		Revision:     e.documentRecord.Revision,
		Leaving:      e.leaving,
		OpenTasks:    e.dumpTasks(),
		HomeList:     e.dumpHomes(),
	}
}

func (e *Executor) dumpTasks() []TaskDump {
	tasks := []TaskDump{}
	for _, r := range e.records {
		if r.phase == structs.TaskDone {
			continue
		}
		tasks = append(tasks, TaskDump{Task: r.id, Attempt: r.attempt, Phase: r.phase.String(), Team: r.team, Waiters: len(r.waiters)})
		if len(tasks) == maxDumpTasks {
			break
		}
	}
	return tasks
}

func (e *Executor) dumpHomes() []HomeDump {
	homes := []HomeDump{}
	for id, h := range e.homes {
		homes = append(homes, HomeDump{
			Home:      id,
			Open:      h.openTasks,
			Jobs:      len(h.jobs),
			Watermark: h.watermark,
			Floor:     h.floor,
			Forgotten: h.forgotten,
			Closed:    h.closed,
		})
		if len(homes) == maxDumpHomes {
			break
		}
	}
	slices.SortFunc(homes, func(a, b HomeDump) int { return cmp.Compare(a.Home, b.Home) })
	return homes
}
