package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	ackTimeout = 4 * time.Second
	// cutTime is the length of the partition of one machine, regionCutTime that of two regions.
	cutTime       = 5500 * time.Millisecond
	regionCutTime = 64 * time.Second
)

// staleSeeds plays a cancel of a job at an entry that has come to the deployment after the machines
// named in its seeds were replaced.
func staleSeeds(s *system) ([]string, error) {
	first, second, third := s.addEntry("a", "r1"), s.addEntry("b", "r1"), s.addEntry("c", "r1")
	// The machines that once stood in the seeds are gone: nothing listens at their addresses. The
	// first two entries were given each other's address when they came.
	stale := []string{s.freeAddr(), s.freeAddr(), s.freeAddr()}
	seeds := []string{first.peerAddr, second.peerAddr}
	if err := s.addAgents(seeds, "a", "b", "c"); err != nil {
		return nil, err
	}
	for _, p := range s.entries {
		own := seeds
		if p == third && s.trouble {
			own = stale
		}
		if err := p.configure(own); err != nil {
			return nil, err
		}
		s.logf("%s: control %s seeds %v", p.name, p.peerAddr, own)
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	const id, run = "5c0e7a21d94b3601", 6 * time.Second
	answered := make(chan answer, 1)
	go func() { answered <- third.submit(id, 2, run, run+2*time.Second) }()
	if err := s.await("both tasks run", 2*time.Second, func() bool { return s.runningNow(id) == 2 }); err != nil {
		return nil, err
	}
	cancel, err := first.cancelUntilAcknowledged(id, ackTimeout)
	if err != nil {
		return nil, err
	}
	<-answered
	return s.brokenCancel(id, cancel.at), nil
}

// addAgents adds one agent a zone.
func (s *system) addAgents(seeds []string, zones ...string) error {
	for _, zone := range zones {
		p, err := s.addAgent(zone, "r1")
		if err != nil {
			return err
		}
		if err := p.configure(seeds); err != nil {
			return err
		}
	}
	return nil
}

// allRestarted plays a cancel after which all entries are killed and started again, and a late
// copy of the submission.
func allRestarted(s *system) ([]string, error) {
	first, second := s.addEntry("a", "r1"), s.addEntry("b", "r1")
	seeds := []string{first.peerAddr, second.peerAddr}
	if err := s.addAgents(seeds, "a", "b"); err != nil {
		return nil, err
	}
	for _, p := range s.entries {
		if err := p.configure(seeds); err != nil {
			return nil, err
		}
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	const id, run = "5c0e7a21d94b3603", 900 * time.Millisecond
	answered := make(chan answer, 1)
	go func() { answered <- first.submit(id, 2, run, 3*time.Second) }()
	if err := s.await("both tasks run", 2*time.Second, func() bool { return s.runningNow(id) == 2 }); err != nil {
		return nil, err
	}
	cancel, err := first.cancelUntilAcknowledged(id, ackTimeout)
	if err != nil {
		return nil, err
	}
	<-answered
	if s.trouble {
		for _, p := range s.entries {
			p.kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, p := range s.entries {
			if err := p.start(); err != nil {
				return nil, err
			}
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(cancel.at.Add(cancelBound + 500*time.Millisecond)))
	second.submit(id, 2, run, 3*time.Second)
	return s.brokenCancel(id, cancel.at), nil
}

// cutEntry plays a cancel at an entry that is cut off from all other machines, and a late copy of
// the submission at another entry.
func cutEntry(s *system) ([]string, error) {
	first, second := s.addEntry("a", "r1"), s.addEntry("b", "r1")
	cuts, err := s.linkEntries(first, second)
	if err != nil {
		return nil, err
	}
	agentSeeds := []string{cuts[0].addr, second.peerAddr}
	for _, zone := range []string{"a", "b"} {
		p, err := s.addAgent(zone, "r1")
		if err != nil {
			return nil, err
		}
		k, err := s.linkAgent(p, first)
		if err != nil {
			return nil, err
		}
		cuts = append(cuts, k)
		if err := p.configure(agentSeeds); err != nil {
			return nil, err
		}
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	const id, run = "5c0e7a21d94b3602", 200 * time.Millisecond
	if a := first.submit(id, 2, run, 3*time.Second); a.code != http.StatusOK {
		return nil, fmt.Errorf("%w: the job was answered %d", errNotPlayed, a.code)
	}
	var cutAt time.Time
	if s.trouble {
		s.logf("%s is cut off from all other machines", first.name)
		cutAt = time.Now()
		setCut(cuts, true)
		defer setCut(cuts, false)
		time.AfterFunc(cutTime, func() {
			s.logf("the cut is mended")
			setCut(cuts, false)
		})
		time.Sleep(time.Second)
	}
	cancel, err := first.cancelUntilAcknowledged(id, ackTimeout)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(cancel.at.Add(cancelBound + 200*time.Millisecond)))
	if s.trouble && time.Since(cutAt) > cutTime {
		s.logf("the copy comes after the cut")
	}
	second.submit(id, 2, run, 3*time.Second)
	time.Sleep(time.Until(cutAt.Add(cutTime + time.Second)))
	return s.brokenCancel(id, cancel.at), nil
}

func setCut(links []*link, cut bool) {
	for _, k := range links {
		k.setCut(cut)
	}
}

// linkEntries configures two entries that reach each other over links, and know each other by
// the addresses of these. It returns the link to the first and that to the second.
func (s *system) linkEntries(first, second *process) ([]*link, error) {
	toFirst, err := newLink(s.freeAddr(), first.peerAddr)
	if err != nil {
		return nil, err
	}
	toSecond, err := newLink(s.freeAddr(), second.peerAddr)
	if err != nil {
		return nil, err
	}
	toFirst.toTarget = []replacement{{second.peerAddr, toSecond.addr}, {toFirst.addr, first.peerAddr}}
	toFirst.back = []replacement{{first.peerAddr, toFirst.addr}, {toSecond.addr, second.peerAddr}}
	toSecond.toTarget = []replacement{{first.peerAddr, toFirst.addr}, {toSecond.addr, second.peerAddr}}
	toSecond.back = []replacement{{second.peerAddr, toSecond.addr}, {toFirst.addr, first.peerAddr}}
	if err := first.configure([]string{toSecond.addr}); err != nil {
		return nil, err
	}
	if err := second.configure([]string{toFirst.addr}); err != nil {
		return nil, err
	}
	return []*link{toFirst, toSecond}, nil
}

// linkAgent puts a link in front of an agent. A cut of it concerns the given entry alone.
func (s *system) linkAgent(p, entry *process) (*link, error) {
	k, err := newLink(s.freeAddr(), p.peerAddr)
	if err != nil {
		return nil, err
	}
	k.sender = []byte(entry.name)
	p.advertiseAddr = k.addr
	return k, nil
}

// regions plays two regions that lose each other for a while, and a cancel long after they have
// found each other.
func regions(s *system) ([]string, error) {
	first, second := s.addEntry("a", "r1"), s.addEntry("b", "r2")
	cuts, err := s.linkEntries(first, second)
	if err != nil {
		return nil, err
	}
	for i, zone := range []string{"a", "b"} {
		p, err := s.addAgent(zone, []string{"r1", "r2"}[i])
		if err != nil {
			return nil, err
		}
		k, err := s.linkAgent(p, []*process{second, first}[i])
		if err != nil {
			return nil, err
		}
		cuts = append(cuts, k)
		if err := p.configure([]string{[]string{first.peerAddr, second.peerAddr}[i]}); err != nil {
			return nil, err
		}
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	if s.trouble {
		s.logf("the regions lose each other")
		setCut(cuts, true)
		time.Sleep(regionCutTime)
		setCut(cuts, false)
		s.logf("the cut is mended")
	}
	time.Sleep(15 * time.Second)
	const id, run = "5c0e7a21d94b3604", 6 * time.Second
	answered := make(chan answer, 1)
	go func() { answered <- second.submit(id, 2, run, run+2*time.Second) }()
	if err := s.await("both tasks run", 2*time.Second, func() bool { return s.runningNow(id) == 2 }); err != nil {
		return nil, err
	}
	cancel, err := first.cancelUntilAcknowledged(id, ackTimeout)
	if err != nil {
		return nil, err
	}
	<-answered
	return s.brokenCancel(id, cancel.at), nil
}
