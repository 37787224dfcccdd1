package sessions_test

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// openJobsTimeout and endingRetry are those of the gateway.
	openJobsTimeout = 100 * time.Millisecond
	endingRetry     = 20 * time.Millisecond
	// peerLoss is the share of messages between entries that are lost.
	peerLoss = 0.1
)

// announceJobs tells the other entries of the jobs that are open for long, again and again.
func (e *entryProc) announceJobs() {
	e.deliverAfter(dispatch.AnnounceInterval, e.announceJobs)
	jobs := e.dispatcher.LongOpenJobs(e.bootNow())
	if len(jobs) == 0 {
		return
	}
	for _, p := range e.sim.entries {
		if p != e {
			e.tellOfJobs(p, jobs, 0, func(newer []dispatch.JobElsewhere) {
				if len(newer) > 0 {
					e.step(dispatch.PeersAsked{Newer: newer})
				}
			})
		}
	}
}

// askPeers asks as the gateway does.
func (e *entryProc) askPeers(ask dispatch.AskPeers) {
	asked := dispatch.PeersAsked{Jobs: ask.Jobs}
	waiting := 1
	finish := func(newer []dispatch.JobElsewhere) {
		asked.Newer = append(asked.Newer, newer...)
		if waiting--; waiting == 0 {
			e.sim.counts["peers asked"]++
			e.step(asked)
		}
	}
	for _, p := range e.sim.entries {
		if p != e && (ask.Entry == "" || p.name == ask.Entry) {
			waiting++
			e.tellOfJobs(p, ask.Jobs, dispatch.PeerJobsTimeout-openJobsTimeout, finish)
		}
	}
	e.deliverAfter(0, func() { finish(nil) })
}

// tellOfJobs tells an entry of jobs, and calls done with those of which it has newer submissions. Within the
// given time it waits until the tasks of those that the entry has stopped are over.
func (e *entryProc) tellOfJobs(p *entryProc, jobs []session.OpenJob, awaitEnd time.Duration, done func([]dispatch.JobElsewhere)) {
	until := e.sim.now + awaitEnd
	var newer []dispatch.JobElsewhere
	e.callPeer(p, jobs, func(states []session.JobState) {
		var ending []session.OpenJob
		for i, s := range states {
			switch s {
			case session.JobNewer:
				e.sim.counts["newer elsewhere"]++
				newer = append(newer, dispatch.JobElsewhere{Job: jobs[i].Job, Entry: p.name})
			case session.JobEnding:
				ending = append(ending, jobs[i])
			}
		}
		if len(ending) == 0 || e.sim.now >= until {
			done(newer)
			return
		}
		e.deliverAfter(endingRetry, func() {
			e.tellOfJobs(p, ending, until-e.sim.now, func(more []dispatch.JobElsewhere) { done(append(newer, more...)) })
		})
	})
}

// callPeer sends a question to an entry. The reply may be lost.
func (e *entryProc) callPeer(p *entryProc, jobs []session.OpenJob, done func([]session.JobState)) {
	sim, answered, generation := e.sim, false, e.generation
	reply := func(states []session.JobState) {
		if !answered && e.generation == generation {
			answered = true
			done(states)
		}
	}
	e.deliverAfter(openJobsTimeout, func() { reply(nil) })
	if !sim.peersReply || sim.rng.Float64() < peerLoss {
		return
	}
	p.deliverAfter(sim.draw(500*time.Microsecond, 3*time.Millisecond), func() {
		var states []session.JobState
		for _, ef := range p.step(dispatch.PeerJobs{From: e.name, Jobs: jobs}) {
			if c, ok := ef.(dispatch.PeerJobsCompared); ok {
				states = c.States
			}
		}
		if sim.rng.Float64() >= peerLoss {
			e.deliverAfter(sim.draw(500*time.Microsecond, 3*time.Millisecond), func() { reply(states) })
		}
	})
}
