package taskrunner

import (
	"fmt"

	"github.com/chestnuthollow/chestnuthollow/session"
)

// reasonEvacuated is the reason of the tasks that are not started during an evacuation.
const reasonEvacuated = "the availability zone is evacuated"

// updateEvacuation takes over newer evacuations. While the agent's own availability zone
// is evacuated it starts nothing, whoever ordered it: queued tasks are returned to their
// entries, and started ones run to their end.
func (m *Runner) updateEvacuation(e session.Evacuation) {
	before := m.zoneEvacuated()
	m.evacuations.Update(m.now, e)
	if m.zoneEvacuated() == before {
		return
	}
	if before {
		m.log("zone_restored", fmt.Sprintf("zone=%s version=%d", m.opts.Zone, e.Version))
	} else {
		m.log("zone_evacuated", fmt.Sprintf("zone=%s version=%d queued=%d started=%d", m.opts.Zone, e.Version, len(m.queue), len(m.runs)-len(m.queue)))
		m.dropAllQueued(reasonEvacuated)
	}
	m.wakePolls()
}

// zoneEvacuated reports whether the agent's availability zone is evacuated.
func (m *Runner) zoneEvacuated() bool { return m.evacuations.Evacuated(m.opts.Zone) }

// Evacuation returns the newest evacuations that the agent knows.
func (m *Runner) Evacuation() session.Evacuation { return m.evacuations.Current() }
