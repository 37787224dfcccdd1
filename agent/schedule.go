package agent

import (
	"math/rand/v2"
	"time"
)

const (
	lookupRetryMin = 250 * time.Millisecond
	lookupRetryMax = 5 * time.Second
	// lookupAfterLoss is the mean time from the end of an entry's connection to
	// a lookup: its successor does not know the agent yet.
	lookupAfterLoss = time.Second
	jitterShare     = 0.2 // either way
)

// lookupSchedule says when to ask the balancer for entries: at an interval with
// jitter, after a backoff if the last lookup failed, and sooner if no entry is
// heard of.
type lookupSchedule struct {
	interval time.Duration
	silence  time.Duration // between lookups while no entry is heard of
	retry    time.Duration
	last     time.Time
	next     time.Time
}

func newLookupSchedule(opts *Options) *lookupSchedule {
	return &lookupSchedule{
		interval: time.Duration(opts.LookupInterval),
		silence:  time.Duration(opts.SilenceTimeout),
		retry:    lookupRetryMin,
	}
}

// due reports whether to look up now; silent says that no entry is heard of.
func (s *lookupSchedule) due(now time.Time, silent bool) bool {
	if !now.Before(s.next) {
		return true
	}
	return silent && now.Sub(s.last) >= s.silence
}

// done notes how a lookup ended.
func (s *lookupSchedule) done(now time.Time, err error) {
	s.last = now
	if err == nil {
		s.next = now.Add(jitter(s.interval))
		s.retry = lookupRetryMin
		return
	}
	s.next = now.Add(jitter(s.retry))
	s.retry = min(2*s.retry, lookupRetryMax)
}

// hasten brings the next lookup forward because an entry's connection ended.
func (s *lookupSchedule) hasten(now time.Time) {
	if soon := now.Add(jitter(lookupAfterLoss)); soon.Before(s.next) {
		s.next = soon
	}
}

// jitter returns d changed at random, so that many processes spread out.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}
