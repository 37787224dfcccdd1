package executor

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Options configures an Executor. The caps bound its memory; at each of them
// new work is refused as not run.
type Options struct {
	Name        string // agent name, as service documents name it
	Service     string
	Incarnation structs.Incarnation
	Slots       int // tasks at once where the service's document sets none

	MaxQueue        int           // tasks waiting, whatever the document says
	MaxRecords      int           // tasks accepted and remembered
	MaxJobs         int           // jobs of which anything is remembered
	MaxFences       int           // refused or fenced tasks remembered
	MaxHomes        int           // entry runs ever heard of
	MaxWaiters      int           // pending calls per task
	MaxPayloadBytes int           // payloads of queued and running tasks together
	MaxResultBytes  int           // kept results together
	MaxSettleTasks  int           // tasks of one SettleRequest
	MaxReplyBytes   int           // results in one SettleReply
	MaxTimeout      time.Duration // of one task
	HomeIdleTimeout time.Duration // silence after which a home's records are dropped
}

// DefaultOptions returns the caps of an agent with a memory budget of 64 MB.
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
