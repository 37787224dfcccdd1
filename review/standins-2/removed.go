package main

import (
	"net/http"
	"time"
)

// cancelRetry is how long a client waits before it sends a cancel again that was not acknowledged.
const cancelRetry = 500 * time.Millisecond

// removedRoute: an operator removes a route while a job of it runs. The caller cancels the job then, at each
// entry in turn.
func removedRoute(root string, r *record, trouble bool) (bool, error) {
	s, err := newFleet(root, r)
	if err != nil {
		return false, err
	}
	defer s.close()
	s.deadline = 20 * time.Second
	id := newID()
	j := job{path: "/parties/" + id, ms: 12_000, replicas: 2, cpu: 6200, estimate: 12_000}
	answered := make(chan answer, 1)
	go func() { answered <- s.post(s.entries[0], j) }()
	time.Sleep(500 * time.Millisecond)
	if len(r.startsOf(id)) != j.replicas {
		return false, errNotReady
	}
	if trouble {
		s.removeParties()
	} else {
		s.putConfig(partiesRoute, 2*routeTimeoutMs)
	}
	time.Sleep(configBound + 500*time.Millisecond)
	counts := s.cancelUntilAcknowledged(j)
	<-answered
	broken := false
	for _, e := range r.endsOf(id) {
		if late := e.at.Sub(counts.Add(cancelBound + stopBound)); late > 0 {
			broken = true
			r.line("BROKEN: task %s ended (%s) %.3f s after the cancel of its job counted, %.3f s over the bound", e.task, e.outcome, e.at.Sub(counts).Seconds(), late.Seconds())
		}
	}
	return broken, nil
}

// cancelUntilAcknowledged cancels a job until a response acknowledges that, for ackBound at most. It returns when
// the cancel counts: at that response, or at the end of ackBound.
func (s *system) cancelUntilAcknowledged(j job) time.Time {
	end := time.Now().Add(ackBound)
	for i := 0; time.Now().Before(end); i++ {
		a := s.delete(s.entries[i%len(s.entries)], j)
		if a.code == http.StatusOK || a.code == http.StatusGone {
			return a.at
		}
		time.Sleep(cancelRetry)
	}
	return end
}
