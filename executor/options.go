package executor

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Options configures an Executor. The limits bound its memory and the size of
// its replies. At a limit on tasks, jobs or homes, new tasks are refused with the
// verdict NotRun.
type Options struct {
	Name        string // agent name, as used in service documents
	Service     string
	Incarnation structs.Incarnation
	Slots       int // tasks at the same time, unless the service's document sets a number

	MaxQueue        int           // queued tasks; a document can only lower it
	MaxRecords      int           // records of admitted tasks
	MaxJobs         int           // jobs with a record or a fence
	MaxFences       int           // fences; beyond it, the home's floor is raised
	MaxHomes        int           // homes; they are never removed
	MaxWaiters      int           // waiting calls per task; beyond it, the oldest gets MayHaveRun
	MaxPayloadBytes int           // payloads of all queued and running tasks
	MaxResultBytes  int           // all retained results; beyond it, the oldest are evicted
	MaxSettleTasks  int           // tasks of a SettleRequest that are answered
	MaxReplyBytes   int           // results in a SettleReply
	MaxTimeout      time.Duration // of a task
	HomeIdleTimeout time.Duration // time without a message after which a home's jobs are dropped
}

// DefaultOptions returns limits for an agent with a memory budget of 64 MB.
func DefaultOptions() Options {
	return Options{
		Slots:           8,
		MaxQueue:        1024,
		MaxRecords:      1 << 15,
		MaxJobs:         1 << 15,
		MaxFences:       1 << 17,
		MaxHomes:        1 << 14,
		MaxWaiters:      8,
		MaxPayloadBytes: 8 << 20,
		MaxResultBytes:  8 << 20,
		MaxSettleTasks:  4096,
		MaxReplyBytes:   1 << 20,
		MaxTimeout:      time.Hour,
		HomeIdleTimeout: 15 * time.Minute,
	}
}
