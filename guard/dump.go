package guard

import "time"

// Dump is the state of a Guard for operators.
type Dump struct {
	Server   string        `json:"server"`
	Run      int64         `json:"server_run"`
	Active   bool          `json:"active"`
	Draining bool          `json:"draining"`
	Leaving  bool          `json:"leaving"`
	Clean    bool          `json:"clean"`
	Token    int64         `json:"token"`
	ClockMs  int64         `json:"clock_ms"`
	ClockAge int64         `json:"clock_age_ms"`
	SeenEnd  int64         `json:"seen_end"`
	Slowness int           `json:"slowness"`
	Failing  int           `json:"failing"`
	Sessions []SessionDump `json:"sessions"`
	Runs     []RunDump     `json:"runs"`
}

// SessionDump is one session of an entry.
type SessionDump struct {
	Entry   string `json:"entry"`
	Open    bool   `json:"open"`
	HeardMs int64  `json:"heard_age_ms"`
	Reports int    `json:"unseen_reports"`
}

// RunDump is one task at the agent.
type RunDump struct {
	Task    string `json:"task"`
	Phase   string `json:"phase"`
	CPU     int    `json:"cpu"`
	Percent int    `json:"percent"`
}

// Dump returns the state at a time.
func (g *Guard) Dump(now time.Time) Dump {
	d := Dump{
		Server: g.server.ID, Run: g.clockRun, Active: g.active(), Draining: g.server.Draining, Leaving: g.leaving,
		Clean: g.clean, Token: g.token, ClockMs: g.clock.Milliseconds(), ClockAge: now.Sub(g.clockAt).Milliseconds(),
		SeenEnd: g.seenEnd, Slowness: g.health.slowness(), Failing: g.health.failing(),
	}
	for _, id := range g.sortedSessions() {
		s := g.sessions[id]
		d.Sessions = append(d.Sessions, SessionDump{Entry: s.name, Open: s.open, HeardMs: now.Sub(s.heard).Milliseconds(), Reports: len(s.reports)})
	}
	for _, r := range g.sortedRuns() {
		d.Runs = append(d.Runs, RunDump{Task: r.key.String(), Phase: phaseNames[r.phase], CPU: r.cpu, Percent: r.percent})
	}
	return d
}

// Active reports whether tasks may start.
func (g *Guard) Active() bool { return g.active() }
