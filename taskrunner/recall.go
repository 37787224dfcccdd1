package taskrunner

import (
	"slices"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// recall returns queued tasks to their entry. Those that have been started run on, so
// that nothing is lost if a recall crosses a start; one that arrives before its task does
// nothing.
func (m *Runner) recall(s *entrySession, ids []uint64) {
	if len(ids) == 0 {
		return
	}
	for _, r := range slices.Clone(m.queue) {
		if r.session == s && slices.Contains(ids, r.id) {
			m.finish(r, session.NotStarted, "recalled by the entry")
		}
	}
}

// idFor returns the id of the placement if the session ordered it, else zero: ids are
// unique only among those of one entry.
func (r *run) idFor(s *entrySession) uint64 {
	if r.session != s {
		return 0
	}
	return r.id
}
