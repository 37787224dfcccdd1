package taskrunner

import (
	"fmt"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// leaseEnd returns the end of a lease that is asked for now, by the server's clock. A lease
// holds for all runs at the server, and never becomes shorter. Entries rely on the end of a run
// some time after they have lost its session or have stopped it, so that no lease outlasts that
// time. While the server does not end such a run, its other runs lose their lease with it.
func (m *Runner) leaseEnd() time.Duration { return min(m.clock+m.opts.Lease, m.stopLimit()) }

// leaseLimited reports whether the lease cannot be extended now because of a run whose stop has
// not been confirmed.
func (m *Runner) leaseLimited() bool {
	return m.foreignListed || m.leaseEnd() < m.clock+m.opts.Lease
}

// stopLimit returns the earliest time by which a run that is being stopped has to be over. Other
// runs set no limit.
func (m *Runner) stopLimit() time.Duration {
	limit := m.clock + m.opts.Lease
	if !m.stopsPending {
		return limit
	}
	m.stopsPending = false
	for _, r := range m.runs {
		if r.phase == stopping {
			m.stopsPending = true
			limit = min(limit, r.overBy(m))
		}
	}
	return limit
}

// overBy returns by when a run that is being stopped has to be over. A session may last for
// SessionTTL after the clock reading that its entry has echoed, and a lease for Lease longer; a
// run that is stopped before its session ends has the same time, see stopOrdered.
func (r *run) overBy(m *Runner) time.Duration {
	since := r.stoppedAt
	if since.Run != m.clockIncarnation {
		return 0
	}
	if r.session.ended && r.session.echoed.Run == since.Run {
		since.Clock = min(since.Clock, r.session.echoed.Clock)
	}
	return since.Clock + m.opts.SessionTTL + m.opts.Lease
}

// stopOrdered records that the entry ordered the stop of the run after it had received the
// clock reading. The entry counts from then, however late the order has arrived.
func (r *run) stopOrdered(echo session.ClockReading) {
	if r.phase == stopping && r.stoppedAt.Run == echo.Run {
		r.stoppedAt.Clock = min(r.stoppedAt.Clock, echo.Clock)
	}
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
