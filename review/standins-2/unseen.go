package main

import (
	"sync"
	"time"
)

// unseenEnd: the clients of an added entry are cut off from it while their tasks run, so that it does not see
// that their channels have broken. The path goes on acknowledging what the entry sends. The seeds of the
// added entry are stale.
func unseenEnd(root string, r *record, trouble bool) (bool, error) {
	s, err := newFleet(root, r)
	if err != nil {
		return false, err
	}
	defer s.close()
	added, err := s.addLater(trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second) // several rounds of what the entries tell each other
	k, err := s.newLink(added)
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	begin := time.Now().Add(time.Second)
	for range 6 {
		wg.Go(func() {
			c, err := s.open(k.addr)
			if err != nil {
				return
			}
			c.post(job{path: "/holds/" + newID(), ms: 60, replicas: 2, cpu: 6200, estimate: 60})
			j := job{path: "/parties/" + newID(), ms: 1455, replicas: 2, cpu: 6200, estimate: 1455}
			time.Sleep(time.Until(begin))
			go c.post(j)
			time.Sleep(time.Until(begin.Add(20 * time.Millisecond)))
			c.conn.Close()
			time.Sleep(resendDelay)
			s.post(s.entries[1], j)
		})
	}
	time.Sleep(time.Until(begin.Add(15 * time.Millisecond)))
	r.line("the clients are cut off from %s for 4 s", added.name)
	k.cut(4 * time.Second)
	wg.Wait()
	time.Sleep(2 * time.Second)
	return s.judgeOverlaps(), nil
}

// addLater adds an entry to three, whose seeds are these or, if stale is set, machines that are not there any
// more.
func (s *system) addLater(stale bool) (*process, error) {
	seeds := s.peers
	if stale {
		seeds = []string{freeAddr(), freeAddr(), freeAddr()}
	}
	s.record.line("an entry is added; its seeds are stale: %t", stale)
	added, err := s.addEntry(freeAddr(), seeds)
	if err != nil {
		return nil, err
	}
	return added, s.awaitReady()
}
