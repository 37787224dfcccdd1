package taskrunner

import (
	"fmt"
	"slices"
)

// maxUnverified bounds the reports that wait for a lease renewal. One reply decides all
// of them.
const maxUnverified = 8

// unverifiedReport is a report of which the server itself has not shown yet that it sent
// it.
type unverifiedReport struct {
	info ServerInfo
	// sentAfter is the last lease renewal sent before the report arrived. The reply to a
	// later one was made after the report.
	sentAfter uint64
}

// serverReported processes a report of the state of a server. Anyone can send one, so
// that it takes effect only if a reply to a call has shown that the incarnation answers
// and that its clock has reached the reading in the report.
func (m *Runner) serverReported(info ServerInfo) {
	if info.Incarnation < m.clockIncarnation {
		return // late report of an earlier incarnation
	}
	if m.verified(&info) {
		m.applyReport(info)
		return
	}
	if len(m.unverified) == maxUnverified {
		m.unverified = slices.Delete(m.unverified, 0, 1)
	}
	m.unverified = append(m.unverified, unverifiedReport{info: info, sentAfter: m.lastRenewalID})
	if !info.SameRecord(&m.server) {
		m.renewNow()
	}
}

// verified reports whether a reply to a call shows that the report may be the server's.
func (m *Runner) verified(info *ServerInfo) bool {
	return m.clockIncarnation != 0 && info.Incarnation == m.clockIncarnation && info.Clock <= m.clock
}

// settleReports applies the reports that the reply to a lease renewal verifies, and drops
// those that it refutes.
func (m *Runner) settleReports(e RenewReplied) {
	var open []unverifiedReport
	for _, u := range m.unverified {
		switch {
		case u.info.Incarnation < m.clockIncarnation:
		case m.verified(&u.info):
			m.applyReport(u.info)
		case e.ID > u.sentAfter:
			m.log("report_refuted", fmt.Sprintf("server=%s run=%d clock_ms=%d: run=%d clock_ms=%d replied later",
				u.info.ID, u.info.Incarnation, u.info.Clock.Milliseconds(), e.ServerIncarnation, e.Clock.Milliseconds()))
		default:
			open = append(open, u)
		}
	}
	m.unverified = open
}

// awaitsVerification reports whether an unverified report says that the server takes no
// more tasks or has been replaced. Starts are held until the reply to a lease renewal.
func (m *Runner) awaitsVerification() bool {
	return slices.ContainsFunc(m.unverified, func(u unverifiedReport) bool {
		return u.info.Incarnation != m.clockIncarnation || u.info.Draining && !m.server.Draining
	})
}

// newerThan reports whether a report was sent later than another of the same incarnation.
// The clock decides, because replies show its reading; the sequence number can only be
// believed. A drain is never withdrawn, so that it may arrive late.
func (s *ServerInfo) newerThan(o *ServerInfo) bool {
	if s.Clock != o.Clock {
		return s.Clock > o.Clock
	}
	return s.Seq > o.Seq || s.Draining && !o.Draining
}

// contradiction returns why a verified report cannot be the registered server's, or an
// empty string. The id and the service do not change within an incarnation.
func (m *Runner) contradiction(info *ServerInfo) string {
	switch {
	case m.server.ID == "" || info.Incarnation != m.server.Incarnation:
		return ""
	case info.ID != m.server.ID:
		return fmt.Sprintf("the id is %q, the registered server's %q", info.ID, m.server.ID)
	case info.Service != m.server.Service && m.server.Service == m.opts.Service:
		return fmt.Sprintf("the service is %q, the agent's %q", info.Service, m.opts.Service)
	}
	return ""
}

// applyReport applies a verified report. One that is older than the last one of the same
// incarnation is ignored.
func (m *Runner) applyReport(info ServerInfo) {
	if reason := m.contradiction(&info); reason != "" {
		m.log("report_refuted", fmt.Sprintf("server=%s run=%d: %s", info.ID, info.Incarnation, reason))
		return
	}
	previous := m.server
	newIncarnation := info.Incarnation != previous.Incarnation || previous.ID == ""
	if !newIncarnation && !info.newerThan(&previous) {
		return
	}
	m.server = info
	m.updateWarmUp(info.Cold, newIncarnation)
	switch {
	case newIncarnation:
		m.serverRegistered("server_registered")
		m.renewNow()
	case !info.sameProperties(&previous):
		m.propertiesChanged(previous)
	}
	if !info.SameRecord(&previous) {
		m.emit(ServerChanged{Info: info})
	}
	if info.Draining && !previous.Draining {
		m.log("server_draining", "server="+info.ID)
		m.dropAllQueued("the backend server is draining")
		m.wakePolls()
	}
	m.returnUnsuitable()
}

// misaddressed notes that a call met another server or incarnation than the one that it was
// for, unless another has registered or replied since. The next renewal is for whoever
// answers, so that its reply shows who does.
func (m *Runner) misaddressed(serverID string, known int64) {
	if serverID == "" && known == 0 || serverID != "" && serverID != m.server.ID || known != 0 && known != m.clockIncarnation {
		return
	}
	m.misaddressedAfter = m.lastRenewalID
}

// settleAddress withdraws the registration of a server whose incarnation answers, but not
// to its id: the report with the id was another's.
func (m *Runner) settleAddress(e RenewReplied) {
	if m.misaddressedAfter == 0 || e.ID <= m.misaddressedAfter {
		return
	}
	m.misaddressedAfter = 0
	if m.server.ID == "" || m.server.Incarnation != m.clockIncarnation {
		return
	}
	m.log("server_id_refuted", fmt.Sprintf("server=%s run=%d", m.server.ID, m.server.Incarnation))
	m.server = ServerInfo{}
	m.dropAllQueued("the id of the backend server is not known")
	m.wakePolls()
}
