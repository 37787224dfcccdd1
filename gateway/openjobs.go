package gateway

import (
	"errors"
	"fmt"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// openJobsTimeout bounds the call that announces jobs to an entry: a few round trips within a region. An
	// entry that has not replied by then is suspended or cut off.
	openJobsTimeout = 100 * time.Millisecond
	// endingRetry is the interval at which an entry is asked whether a job that it has stopped is over.
	endingRetry = 20 * time.Millisecond
	// maxAnnouncedPeers bounds the entries to which jobs that are open for long are announced. Where there
	// are more, those of the same availability zone come first, which the balancer prefers for a caller.
	maxAnnouncedPeers = 16
)

// jobsQuestion is an OpenJobsRequest on its way to one entry.
type jobsQuestion struct {
	jobs   []session.OpenJob
	result chan<- jobsAnswer // buffered
}

type jobsAnswer struct {
	states []session.JobState
	err    error
}

// announceJobs announces the jobs that are open here for long to the other entries.
func (g *Gateway) announceJobs() {
	tick := time.NewTicker(dispatch.AnnounceInterval)
	defer tick.Stop()
	for {
		select {
		case <-g.background.Done():
			return
		case <-tick.C:
		}
		jobs := g.longOpenJobs()
		if len(jobs) == 0 {
			continue
		}
		for _, p := range g.announcementTargets() {
			go func() {
				if newer := g.compareJobs(p, jobs, false); len(newer) > 0 {
					g.step(dispatch.PeersAsked{Newer: newer})
				}
			}()
		}
	}
}

// announcementTargets returns the entries to which jobs that are open here for long are announced.
func (g *Gateway) announcementTargets() []session.Process {
	peers := g.members.List(session.RoleEntry)
	if len(peers) <= maxAnnouncedPeers {
		return peers
	}
	var here, others []session.Process
	for _, p := range peers {
		if p.Zone == g.opts.Zone {
			here = append(here, p)
		} else {
			others = append(others, p)
		}
	}
	return append(here, others...)[:maxAnnouncedPeers]
}

// askPeers carries out dispatch.AskPeers.
func (g *Gateway) askPeers(e dispatch.AskPeers) {
	asked := dispatch.PeersAsked{Jobs: e.Jobs}
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for _, p := range g.members.List(session.RoleEntry) {
		if e.Entry != "" && p.Name != e.Entry {
			continue
		}
		waiting.Go(func() {
			newer := g.compareJobs(p, e.Jobs, true)
			mu.Lock()
			defer mu.Unlock()
			asked.Newer = append(asked.Newer, newer...)
		})
	}
	waiting.Wait()
	g.step(asked)
}

// compareJobs has an entry compare jobs with its own, and returns those of which it has newer submissions. If
// awaitEnd is set, it waits until the tasks of those that the entry has stopped are over.
func (g *Gateway) compareJobs(p session.Process, jobs []session.OpenJob, awaitEnd bool) []dispatch.JobElsewhere {
	var newer []dispatch.JobElsewhere
	for started := time.Now(); ; {
		states, err := g.askPeer(p.Addr, jobs)
		if err != nil {
			level.Warn(g.logger).Log("event", "entry_not_asked", "peer", p.Name, "jobs", len(jobs), "reason", err)
			return newer
		}
		var ending []session.OpenJob
		for i, s := range states {
			switch s {
			case session.JobNewer:
				newer = append(newer, dispatch.JobElsewhere{Job: jobs[i].Job, Entry: p.Name})
			case session.JobEnding:
				ending = append(ending, jobs[i])
			}
		}
		if !awaitEnd || len(ending) == 0 || time.Since(started) > dispatch.PeerJobsTimeout-openJobsTimeout {
			return newer
		}
		time.Sleep(endingRetry)
		jobs = ending
	}
}

// askPeer sends an OpenJobsRequest to the entry at an address and waits for the reply.
func (g *Gateway) askPeer(addr string, jobs []session.OpenJob) ([]session.JobState, error) {
	result := make(chan jobsAnswer, 1)
	g.peersMu.Lock()
	l := g.peers[addr]
	if l == nil {
		l = g.newPeerLink(addr)
	}
	select {
	case l.questions <- jobsQuestion{jobs: jobs, result: result}:
	default:
		result <- jobsAnswer{err: errors.New("too many questions wait for the entry")}
	}
	g.peersMu.Unlock()
	timer := time.NewTimer(openJobsTimeout)
	defer timer.Stop()
	select {
	case a := <-result:
		return a.states, a.err
	case <-timer.C:
		return nil, errNoReply
	case <-g.background.Done():
		return nil, g.background.Err()
	}
}

// ask sends a question. A connection that the other side has closed meanwhile is opened again once.
func (l *peerLink) ask(q jobsQuestion) {
	reused := l.client != nil
	a := l.tryAsk(q)
	if reused && errors.Is(a.err, rpc.ErrShutdown) {
		a = l.tryAsk(q)
	}
	q.result <- a
}

func (l *peerLink) tryAsk(q jobsQuestion) jobsAnswer {
	if err := l.connect(); err != nil {
		return jobsAnswer{err: err}
	}
	req := session.OpenJobsRequest{Entry: l.gateway.opts.Name, Jobs: q.jobs}
	var reply session.OpenJobsReply
	err := callWithTimeout(l.client, structs.EntryService+".OpenJobs", &req, &reply, openJobsTimeout)
	var rejected rpc.ServerError
	switch {
	case errors.As(err, &rejected): // an entry of an earlier build, which lacks the method
		return jobsAnswer{err: err}
	case err == nil && len(reply.States) != len(q.jobs):
		err = fmt.Errorf("reply has %d states for %d jobs", len(reply.States), len(q.jobs))
	}
	if err != nil {
		l.close()
	}
	return jobsAnswer{states: reply.States, err: err}
}

// OpenJobs compares jobs that are open at the sender with those that are open here.
func (r *receiver) OpenJobs(req *session.OpenJobsRequest, reply *session.OpenJobsReply) error {
	if len(req.Jobs) > dispatch.MaxAnnouncedJobs {
		return fmt.Errorf("%d jobs in one request, at most %d expected", len(req.Jobs), dispatch.MaxAnnouncedJobs)
	}
	for _, ef := range r.gateway.step(dispatch.PeerJobs{From: req.Entry, Jobs: req.Jobs}) {
		if c, ok := ef.(dispatch.PeerJobsCompared); ok {
			reply.States = c.States
		}
	}
	return nil
}

func (g *Gateway) longOpenJobs() []session.OpenJob {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.LongOpenJobs(boottime.Now())
}
