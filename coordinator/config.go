package coordinator

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/placement"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Config holds the parameters of a Coordinator. Zero fields take the defaults.
type Config struct {
	Self structs.EntryInfo
	// Seed feeds every random choice.
	Seed uint64
	// NewPolicy makes the placement policy of one service.
	NewPolicy func(seed uint64) placement.Policy

	ReservationTTL  time.Duration // how long a reserved id may stay unsubmitted
	AnswerTTL       time.Duration // how long a final answer is kept
	DefaultTimeout  time.Duration // of a job that names none
	MaxTimeout      time.Duration // of any job
	HeartbeatEvery  time.Duration // to an agent that is otherwise quiet
	ProbeAfter      time.Duration // silence of an agent with outstanding tasks
	AgentLostAfter  time.Duration // silence since an unanswered heartbeat after which its tasks are given up
	SettleRetry     time.Duration // between attempts to settle with an agent
	FailSettleBound time.Duration // how long a failing job waits to learn its tasks' verdicts
	WatermarkLag    time.Duration // how long agents keep what they know of a final job

	MaxReserve      int // ids per reservation
	MaxReservations int // reserved and unsubmitted ids
	MaxOpenJobs     int
	MaxOpenTasks    int
	MaxAnswers      int // final answers kept
	MaxHeldBytes    int // payloads and results together
	MaxAttempts     uint32

	// MaxQueueWait is how long a job may be expected to wait for its turn
	// behind others at admission.
	MaxQueueWait time.Duration
	// LogTasks emits a LogEvent for each placement and end of a task.
	LogTasks bool
	// NoRecall leaves tasks that wait at stragglers there.
	NoRecall bool
}

// Default parameters.
const (
	defaultReservationTTL  = 10 * time.Minute
	defaultAnswerTTL       = 2 * time.Minute
	defaultTimeout         = 30 * time.Second
	defaultMaxTimeout      = 10 * time.Minute
	defaultHeartbeatEvery  = 15 * time.Second
	defaultProbeAfter      = time.Second
	defaultAgentLostAfter  = 15 * time.Second
	defaultSettleRetry     = 500 * time.Millisecond
	defaultFailSettleBound = 250 * time.Millisecond
	defaultWatermarkLag    = 10 * time.Second
	defaultMaxQueueWait    = time.Second

	defaultMaxReserve      = 4096
	defaultMaxReservations = 1 << 16
	defaultMaxOpenJobs     = 10_000
	defaultMaxOpenTasks    = 50_000
	defaultMaxAnswers      = 20_000
	defaultMaxHeldBytes    = 16 << 20
	defaultMaxAttempts     = 16
)

func (c Config) withDefaults() Config {
	if c.NewPolicy == nil {
		c.NewPolicy = func(seed uint64) placement.Policy { return placement.NewLeastExpectedFinish(seed) }
	}
	orDefault(&c.ReservationTTL, defaultReservationTTL)
	orDefault(&c.AnswerTTL, defaultAnswerTTL)
	orDefault(&c.DefaultTimeout, defaultTimeout)
	orDefault(&c.MaxTimeout, defaultMaxTimeout)
	orDefault(&c.HeartbeatEvery, defaultHeartbeatEvery)
	orDefault(&c.ProbeAfter, defaultProbeAfter)
	orDefault(&c.AgentLostAfter, defaultAgentLostAfter)
	orDefault(&c.SettleRetry, defaultSettleRetry)
	orDefault(&c.MaxQueueWait, defaultMaxQueueWait)
	orDefault(&c.FailSettleBound, defaultFailSettleBound)
	orDefault(&c.WatermarkLag, defaultWatermarkLag)
	orDefault(&c.MaxReserve, defaultMaxReserve)
	orDefault(&c.MaxReservations, defaultMaxReservations)
	orDefault(&c.MaxOpenJobs, defaultMaxOpenJobs)
	orDefault(&c.MaxOpenTasks, defaultMaxOpenTasks)
	orDefault(&c.MaxAnswers, defaultMaxAnswers)
	orDefault(&c.MaxHeldBytes, defaultMaxHeldBytes)
	orDefault(&c.MaxAttempts, defaultMaxAttempts)
	return c
}

func orDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
