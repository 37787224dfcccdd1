package agent

import (
	"math/rand/v2"
	"time"
)

const (
	lookupRetryBase = 250 * time.Millisecond
	lookupRetryMax  = 5 * time.Second
	// lookupAfterLoss is the mean time from the end of an entry's connection to
	// the next lookup. If the entry was replaced, its successor does not know the
	// agent yet.
	lookupAfterLoss = time.Second
	jitterShare     = 0.2 // maximum deviation in either direction
)

// lookupSchedule determines when to ask the balancer for entries: at an interval with
// jitter, after a backoff if the last lookup failed, and earlier if no entry sends
// heartbeats or a connection of an entry has ended.
type lookupSchedule struct {
	interval       time.Duration
	silenceTimeout time.Duration // between lookups while no entry sends heartbeats
	retryDelay     time.Duration
	last           time.Time
	next           time.Time
}

func newLookupSchedule(opts *Options) *lookupSchedule {
	return &lookupSchedule{
		interval:       time.Duration(opts.LookupInterval),
		silenceTimeout: time.Duration(opts.SilenceTimeout),
		retryDelay:     lookupRetryBase,
	}
}

// due reports whether a lookup is due. Silent is set if no entry sends heartbeats.
func (s *lookupSchedule) due(now time.Time, silent bool) bool {
	if !now.Before(s.next) {
		return true
	}
	return silent && now.Sub(s.last) >= s.silenceTimeout
}

func (s *lookupSchedule) lookupDone(now time.Time, err error) {
	s.last = now
	if err == nil {
		s.next = now.Add(jitter(s.interval))
		s.retryDelay = lookupRetryBase
		return
	}
	s.next = now.Add(jitter(s.retryDelay))
	s.retryDelay = min(2*s.retryDelay, lookupRetryMax)
}

// connectionLost brings the next lookup forward after a connection of an entry ended.
func (s *lookupSchedule) connectionLost(now time.Time) {
	if soon := now.Add(jitter(lookupAfterLoss)); soon.Before(s.next) {
		s.next = soon
	}
}

// jitter returns d with a random deviation, so that the requests of many processes
// are spread over time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}
