package taskrunner

import "time"

// Dump is the state of a Runner as shown to operators.
type Dump struct {
	Server            string         `json:"server"`
	ServerIncarnation int64          `json:"server_run"`
	Active            bool           `json:"active"`
	Draining          bool           `json:"draining"`
	Leaving           bool           `json:"leaving"`
	Evacuated         bool           `json:"zone_evacuated"` // the availability zone is evacuated
	WatchingTopic     bool           `json:"watching_topic"` // reads the operators' topic, because no entry in session hears it
	Clean             bool           `json:"clean"`          // no task of an earlier agent is running at the server
	Token             int64          `json:"token"`
	ClockMs           int64          `json:"clock_ms"` // newest reading of the server's clock
	ClockAgeMs        int64          `json:"clock_age_ms"`
	SeenEnd           int64          `json:"seen_end"`      // highest EndRow.Index that has been processed
	Slowness          int            `json:"slowness"`      // expected run time over estimate, in thousandths
	Failing           int            `json:"failing"`       // share of failed tasks, in thousandths
	Deferred          int            `json:"deferred"`      // queued tasks that give way to others and cannot start in time
	CanceledJobs      int            `json:"canceled_jobs"` // jobs of which no task is started, because an entry could not be notified
	Sessions          []SessionDump  `json:"sessions"`
	RunTimes          []RunTimesDump `json:"run_times"` // of the queues whose distribution is known
	Runs              []RunDump      `json:"runs"`
}

// SessionDump is the state of an entry's session in a Dump.
type SessionDump struct {
	Entry         string `json:"entry"`
	Open          bool   `json:"open"`
	HeardAgeMs    int64  `json:"heard_age_ms"`   // time since the last message
	UnseenReports int    `json:"unseen_reports"` // reports not acknowledged by the entry
	Canceled      int    `json:"canceled"`       // placements stopped while they had no run here
}

// RunDump is the state of a task run in a Dump.
type RunDump struct {
	Task    string `json:"task"`
	Phase   string `json:"phase"`
	CPU     int    `json:"cpu"`     // thousandths of a core
	Percent int    `json:"percent"` // progress reported by the server
	LeftMs  int64  `json:"left_ms"` // expected remaining run time; of a queued task its run time
	Rank    int    `json:"rank"`    // under shortage, lower ones start first
}

// Dump returns the state of the Runner. Ages are relative to now.
func (m *Runner) Dump(now time.Time) Dump {
	d := Dump{
		Server: m.server.ID, ServerIncarnation: m.clockIncarnation, Active: m.active(), Draining: m.server.Draining, Leaving: m.leaving, Evacuated: m.zoneEvacuated(), WatchingTopic: m.topic.watching,
		Clean: m.noForeignRuns, Token: m.token, ClockMs: m.clock.Milliseconds(), ClockAgeMs: now.Sub(m.clockReadAt).Milliseconds(),
		SeenEnd: m.seenEnd, Slowness: m.health.slownessPerMille(), Failing: m.health.failingPerMille(), Deferred: m.deferred,
		CanceledJobs: m.cancels.Len(),
	}
	for _, s := range m.sortedSessions {
		d.Sessions = append(d.Sessions, SessionDump{Entry: s.name, Open: s.open, HeardAgeMs: now.Sub(s.lastHeard).Milliseconds(), UnseenReports: len(s.reports), Canceled: len(s.canceled)})
	}
	for _, r := range m.sortedRuns() {
		d.Runs = append(d.Runs, RunDump{Task: r.key.String(), Phase: phaseNames[r.phase], CPU: r.cpu, Percent: r.percent, LeftMs: m.remaining(r).Milliseconds(), Rank: int(r.rank)})
	}
	d.RunTimes = m.runTimes.dump()
	return d
}

// Active reports whether the agent currently starts tasks.
func (m *Runner) Active() bool { return m.active() }
