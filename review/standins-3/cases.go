package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// cancelBound is the bound cancel_ms of the site: no task of a job starts later than this
	// after its cancel was acknowledged.
	cancelBound = 3 * time.Second
	// calmTime is longer than the stable window of the site, 3 s.
	calmTime = 4 * time.Second
	// applyBound is the bound configApplyMs of the site.
	applyBound = 2 * time.Second
)

// jobName returns a name of 16 hexadecimal digits.
func jobName(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// startsAfterCancel reports whether a task of the job has started later than cancelBound after
// its cancel was acknowledged.
func (s *system) startsAfterCancel(job string, acked time.Time) bool {
	broken := false
	for _, r := range s.runsOf(job) {
		if late := r.start.Sub(acked); late > cancelBound {
			s.note("task %s was started %.3f s after the cancel of its job was acknowledged, the bound is %v", r.task, late.Seconds(), cancelBound)
			broken = true
		}
	}
	return broken
}

// submitAndCancel submits a job and cancels it while its task runs. It returns when the cancel was
// acknowledged.
func (s *system) submitAndCancel(job string, submitAt, cancelAt *process) (time.Time, error) {
	submitted := make(chan answer, 1)
	go func() { submitted <- s.submit(submitAt, job, 900, callerDeadline) }()
	time.Sleep(300 * time.Millisecond)
	if len(s.runsOf(job)) == 0 {
		return time.Time{}, errors.New("the task was not started within 300 ms")
	}
	c := s.cancel(cancelAt, job)
	a := <-submitted
	if !c.accepted() || !a.accepted() {
		return time.Time{}, fmt.Errorf("the cancel got %v, the submission %v", c, a)
	}
	return c.at, nil
}

// addServers adds n backend servers with their agents.
func (s *system) addServers(n int, seeds []string) ([]*process, error) {
	var agents []*process
	for i := range n {
		a, err := s.addServer(i+1, fmt.Sprintf("bagmati-%c", 'a'+i%2), seeds)
		if err != nil {
			return nil, err
		}
		agents = append(agents, a)
	}
	return agents, nil
}

// allEntriesKilled cancels a job, kills all entries and starts them again. A late copy of the
// submission arrives after that.
func allEntriesKilled(s *system, trouble bool) (bool, error) {
	entries, err := s.startDeployment(2, 3)
	if err != nil {
		return false, err
	}
	job := jobName(1)
	acked, err := s.submitAndCancel(job, entries[0], entries[1])
	if err != nil {
		return false, err
	}
	if trouble {
		for _, e := range entries {
			if err := e.kill(); err != nil {
				return false, err
			}
		}
		time.Sleep(500 * time.Millisecond)
		if err := startAll(entries...); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acked.Add(cancelBound + calmTime)))
	s.submit(entries[0], job, 900, callerDeadline)
	return s.startsAfterCancel(job, acked), nil
}

// queueRemoved has an operator remove a queue while a job of it runs, and cancels the job then.
func queueRemoved(s *system, trouble bool) (bool, error) {
	const (
		runTime = 12 * time.Second
		wait    = 20 * time.Second
		// ackBound is the bound ackTimeoutMs of the site, stopBound its stopTimeoutMs.
		ackBound  = 4 * time.Second
		stopBound = 50 * time.Millisecond
	)
	entries, err := s.startDeployment(2, 3)
	if err != nil {
		return false, err
	}
	job := jobName(1)
	submitted := make(chan answer, 1)
	go func() { submitted <- s.submit(entries[0], job, int(runTime.Milliseconds()), wait) }()
	time.Sleep(300 * time.Millisecond)
	if len(s.runsOf(job)) == 0 {
		return false, errors.New("the task was not started within 300 ms")
	}
	if trouble {
		s.note("operator sends a manifest without the queue")
		s.store.Put(s.texts.OperatorsTopic, s.texts.ManifestKey, s.texts.Without)
	}
	time.Sleep(applyBound + 500*time.Millisecond)
	asked := time.Now()
	due := asked.Add(ackBound)
	for due.After(time.Now()) {
		if c := s.cancel(entries[1], job); c.accepted() || c.code == 410 {
			due = c.at
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	<-submitted
	broken := false
	for _, r := range s.runsOf(job) {
		if late := r.end.Sub(due.Add(cancelBound + stopBound)); late > 0 {
			s.note("task %s ended (%s) %.3f s after the cancel counted as sent, %.3f s over the bound", r.task, r.outcome, r.end.Sub(due).Seconds(), late.Seconds())
			broken = true
		}
	}
	return broken, nil
}

// startDeployment starts entries and servers with their agents, and waits until they are calm.
func (s *system) startDeployment(entries, servers int) ([]*process, error) {
	var seeds []string
	for range entries {
		seeds = append(seeds, s.freeAddr())
	}
	var list []*process
	for i, seed := range seeds {
		e, err := s.addEntry(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("bagmati-%c", 'a'+i), seed, seeds)
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	agents, err := s.addServers(servers, seeds)
	if err != nil {
		return nil, err
	}
	if err := startAll(append(agents, list...)...); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	return list, nil
}

// staleSeeds replaces the entry that is the only seed by one at another address, whose seeds are
// still those of before, and cancels a job after the lost entry was forgotten. A late copy of the submission arrives
// at the new entry.
func staleSeeds(s *system, trouble bool) (bool, error) {
	seeds := []string{s.freeAddr()}
	first, err := s.addEntry("front-1", "bagmati-a", seeds[0], seeds)
	if err != nil {
		return false, err
	}
	second, err := s.addEntry("front-2", "bagmati-b", s.freeAddr(), seeds)
	if err != nil {
		return false, err
	}
	agents, err := s.addServers(3, seeds)
	if err != nil {
		return false, err
	}
	if err := startAll(append(agents, first, second)...); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	other := first
	if trouble {
		if err := first.kill(); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		if other, err = s.addEntry("front-3", "bagmati-a", s.freeAddr(), seeds); err != nil {
			return false, err
		}
		if err := startAll(other); err != nil {
			return false, err
		}
	}
	time.Sleep(70 * time.Second)
	job := jobName(1)
	acked, err := s.submitAndCancel(job, second, second)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acked.Add(cancelBound + time.Second)))
	s.submit(other, job, 900, callerDeadline)
	broken := s.startsAfterCancel(job, acked)
	// The other direction is only recorded.
	running, submitted := jobName(2), make(chan answer, 1)
	go func() { submitted <- s.submit(second, running, 900, callerDeadline) }()
	time.Sleep(300 * time.Millisecond)
	s.cancel(other, running)
	<-submitted
	return broken, nil
}
