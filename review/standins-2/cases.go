package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"time"
)

// newID returns the id of a job: 16 hexadecimal digits.
func newID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// canceledJob is a job that was canceled, and whose submission was answered with 2xx.
type canceledJob struct {
	id    string
	job   job
	acked time.Time // when the cancel was acknowledged
}

// cancelJobs submits jobs at the entries in turn, and cancels each at the next one while it runs. It
// returns those of which both the cancel and the submission got 2xx.
func (s *system) cancelJobs(entries []*process, n int) ([]canceledJob, error) {
	list := make([]canceledJob, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			id := newID()
			j := job{path: "/parties/" + id, ms: 900, replicas: 2, cpu: 6200, estimate: 900}
			submitted := make(chan answer, 1)
			go func() { submitted <- s.post(entries[i%len(entries)], j) }()
			time.Sleep(250 * time.Millisecond)
			acked := s.delete(entries[(i+1)%len(entries)], j)
			if first := <-submitted; acked.code == 200 && first.code == 200 {
				list[i] = canceledJob{id: id, job: j, acked: acked.at}
			}
		})
	}
	wg.Wait()
	var out []canceledJob
	for _, c := range list {
		if c.id != "" {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no cancel was acknowledged: %w", errNotReady)
	}
	return out, nil
}

// resend sends copies of the submissions, which arrive seconds after the responses.
func (s *system) resend(list []canceledJob, to func(i int) *process) {
	var wg sync.WaitGroup
	for i, c := range list {
		wg.Go(func() { s.post(to(i), c.job) })
	}
	wg.Wait()
}

// judgeCancels returns whether a task was started longer than the bound after its job's cancel was
// acknowledged. All agents are in touch at all times: nothing is done to them, the store or their links.
func (s *system) judgeCancels(list []canceledJob) (broken bool) {
	for _, c := range list {
		for _, st := range s.record.startsOf(c.id) {
			if late := st.at.Sub(c.acked); late > cancelBound {
				broken = true
				s.record.line("BROKEN: task %s was started at %s %.3f s after the cancel of its job was acknowledged", st.task, st.server, late.Seconds())
			}
		}
	}
	return broken
}

// newFleet starts three entries that know each other, and six agents.
func newFleet(root string, r *record) (*system, error) {
	peers := []string{freeAddr(), freeAddr(), freeAddr()}
	s, err := newSystem(root, r, 6, peers)
	if err != nil {
		return nil, err
	}
	s.peers = peers
	for _, peer := range peers {
		if _, err = s.addEntry(peer, peers); err != nil {
			break
		}
	}
	if err == nil {
		err = s.awaitReady()
	}
	if err != nil {
		s.close()
		return nil, err
	}
	time.Sleep(stableWindow)
	return s, nil
}

// cancelThenRestart: all entries are killed after cancels were acknowledged.
func cancelThenRestart(root string, r *record, trouble bool) (bool, error) {
	s, err := newFleet(root, r)
	if err != nil {
		return false, err
	}
	defer s.close()
	list, err := s.cancelJobs(s.entries, 9)
	if err != nil {
		return false, err
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		if err := restartTogether(s.entries); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 200*time.Millisecond) // the entries are in touch again, too
	s.resend(list, func(i int) *process { return s.entries[(i+2)%3] })
	return s.judgeCancels(list), nil
}

// staleSeeds: an entry is added whose settings name only machines that are not there any more.
func staleSeeds(root string, r *record, trouble bool) (bool, error) {
	s, err := newFleet(root, r)
	if err != nil {
		return false, err
	}
	defer s.close()
	added, err := s.addLater(trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(35 * time.Second) // so long has the entry to find the others
	list, err := s.cancelJobs(s.entries[:3], 9)
	if err != nil {
		return false, err
	}
	time.Sleep(cancelBound + time.Second)
	s.resend(list, func(int) *process { return added })
	return s.judgeCancels(list), nil
}

// replacedRoute: a version of the configuration removes a route, and adds one in its place.
func replacedRoute(root string, r *record, trouble bool) (bool, error) {
	s, err := newFleet(root, r)
	if err != nil {
		return false, err
	}
	defer s.close()
	list, err := s.cancelJobs(s.entries, 9)
	if err != nil {
		return false, err
	}
	if trouble {
		s.putConfig("r-parties-2", routeTimeoutMs)
	} else {
		s.putConfig(partiesRoute, 2*routeTimeoutMs)
	}
	time.Sleep(max(configBound, cancelBound) + time.Second)
	s.resend(list, func(i int) *process { return s.entries[(i+2)%3] })
	return s.judgeCancels(list), nil
}
