package taskrunner

import (
	"fmt"
	"time"
)

// leaseEnd returns the end of a lease that is asked for now, by the server's clock. A lease
// holds for all runs at the server, and never becomes shorter. An entry that has lost its
// session relies on the end of its runs after InDoubtTimeout, so that no lease outlasts the
// time that a run of an ended session has. While the server does not end such a run, its other
// runs lose their lease with it.
func (m *Runner) leaseEnd() time.Duration { return min(m.clock+m.opts.Lease, m.orphanLimit()) }

// leaseLimited reports whether the lease cannot be extended now because of a run whose stop has
// not been confirmed.
func (m *Runner) leaseLimited() bool {
	return m.foreignListed || m.leaseEnd() < m.clock+m.opts.Lease
}

// orphanLimit returns the earliest time by which a run of an ended session has to be over: a
// session may last for SessionTTL after the clock reading that its entry has echoed, and a lease
// for Lease longer. Runs of other sessions set no limit.
func (m *Runner) orphanLimit() time.Duration {
	limit := m.clock + m.opts.Lease
	if !m.orphaned {
		return limit
	}
	m.orphaned = false
	for _, r := range m.runs {
		if !r.session.ended || r.phase == queued {
			continue
		}
		m.orphaned = true
		if r.session.echoed.Run == m.clockIncarnation {
			limit = min(limit, r.session.echoed.Clock+m.opts.SessionTTL+m.opts.Lease)
		} else {
			limit = 0
		}
	}
	return limit
}

// logLeaseLimit logs when leaseLimited changes.
func (m *Runner) logLeaseLimit() {
	limited := m.leaseLimited()
	if limited == m.limitLogged {
		return
	}
	m.limitLogged = limited
	if !limited {
		m.log("lease_unlimited", fmt.Sprintf("clock_ms=%d", m.clock.Milliseconds()))
		return
	}
	m.log("lease_limited", fmt.Sprintf("clock_ms=%d until_ms=%d foreign_runs=%t started=%d", m.clock.Milliseconds(), m.leaseEnd().Milliseconds(), m.foreignListed, len(m.runs)-len(m.queue)))
}
