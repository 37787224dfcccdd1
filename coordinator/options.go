package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Options holds the parameters of a Coordinator. Zero fields take the defaults.
type Options struct {
	Self structs.EntryInfo
	// Seed feeds every random choice.
	Seed uint64
	// NewPolicy creates the placement policy of one service.
	NewPolicy func(seed uint64) placement.Policy

	// ReservationTTL is how long a reserved id stays valid without a
	// submission.
	ReservationTTL time.Duration
	AnswerTTL      time.Duration // how long a final answer is kept
	DefaultTimeout time.Duration // of a job that specifies none
	MaxTimeout     time.Duration // upper limit for any job
	// HeartbeatInterval is the heartbeat interval of an agent that is not being
	// probed.
	HeartbeatInterval time.Duration
	// ProbeAfter is the silence after which an agent with outstanding attempts
	// is probed, and the heartbeat interval of such and of suspect agents.
	ProbeAfter time.Duration
	// AgentLostAfter is how long a heartbeat may stay unanswered, with nothing
	// else heard from the agent, before the agent is dropped and its tasks are
	// abandoned.
	AgentLostAfter time.Duration
	// SettleRetryInterval is the delay after a failed settle.
	SettleRetryInterval time.Duration
	// FailSettleTimeout is how long a failing job waits for its tasks'
	// verdicts.
	FailSettleTimeout time.Duration
	// WatermarkLag is how long after a job is final the watermark may pass it.
	// Until then the agents keep their records of it.
	WatermarkLag time.Duration

	MaxIDsPerReservation int
	MaxReservedIDs       int // reserved and not yet submitted
	MaxOpenJobs          int
	MaxOpenTasks         int
	MaxAnswers           int // stored final answers
	// MaxHeldBytes limits the payloads and results in memory at admission. The
	// results of admitted jobs may raise the total to twice the limit.
	MaxHeldBytes int
	MaxAttempts  uint32

	// MaxQueueWait is the longest expected time in the queue with which a job
	// is admitted.
	MaxQueueWait time.Duration
	// LogTasks emits a LogEvent for each placement and each end of a task.
	LogTasks bool
	// NoRecall disables the recall of tasks that wait at slow agents.
	NoRecall bool
}

const (
	defaultReservationTTL      = 10 * time.Minute
	defaultAnswerTTL           = 2 * time.Minute
	defaultTimeout             = 30 * time.Second
	defaultMaxTimeout          = 10 * time.Minute
	defaultHeartbeatInterval   = 15 * time.Second
	defaultProbeAfter          = time.Second
	defaultAgentLostAfter      = 15 * time.Second
	defaultSettleRetryInterval = 500 * time.Millisecond
	defaultFailSettleTimeout   = 250 * time.Millisecond
	defaultWatermarkLag        = 10 * time.Second
	defaultMaxQueueWait        = time.Second

	defaultMaxIDsPerReservation = 4096
	defaultMaxReservedIDs       = 1 << 16
	defaultMaxOpenJobs          = 10_000
	defaultMaxOpenTasks         = 50_000
	defaultMaxAnswers           = 20_000
	defaultMaxHeldBytes         = 16 << 20
	defaultMaxAttempts          = 16
)

func (o Options) withDefaults() Options {
	if o.NewPolicy == nil {
		o.NewPolicy = func(seed uint64) placement.Policy { return placement.NewLeastExpectedFinish(seed) }
	}
	orDefault(&o.ReservationTTL, defaultReservationTTL)
	orDefault(&o.AnswerTTL, defaultAnswerTTL)
	orDefault(&o.DefaultTimeout, defaultTimeout)
	orDefault(&o.MaxTimeout, defaultMaxTimeout)
	orDefault(&o.HeartbeatInterval, defaultHeartbeatInterval)
	orDefault(&o.ProbeAfter, defaultProbeAfter)
	orDefault(&o.AgentLostAfter, defaultAgentLostAfter)
	orDefault(&o.SettleRetryInterval, defaultSettleRetryInterval)
	orDefault(&o.MaxQueueWait, defaultMaxQueueWait)
	orDefault(&o.FailSettleTimeout, defaultFailSettleTimeout)
	orDefault(&o.WatermarkLag, defaultWatermarkLag)
	orDefault(&o.MaxIDsPerReservation, defaultMaxIDsPerReservation)
	orDefault(&o.MaxReservedIDs, defaultMaxReservedIDs)
	orDefault(&o.MaxOpenJobs, defaultMaxOpenJobs)
	orDefault(&o.MaxOpenTasks, defaultMaxOpenTasks)
	orDefault(&o.MaxAnswers, defaultMaxAnswers)
	orDefault(&o.MaxHeldBytes, defaultMaxHeldBytes)
	orDefault(&o.MaxAttempts, defaultMaxAttempts)
	return o
}

func orDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
