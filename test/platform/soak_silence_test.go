package platform_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// longCallers is the number of callers that submit jobs of long tasks before some are cut off.
	longCallers = 20
	// stayingShare is one of how many callers stay when the others are cut off.
	stayingShare = 4
	// silenceReason begins the answer to callers that an entry counts as disconnected.
	silenceReason = "no sign of the caller"
)

// cutOffCallers lets the ends of attempts get lost, at times: an entry gets jobs of long tasks, and
// at some moment most of its callers are cut off. They submit their jobs to other entries, while the
// connections stay open and silent for this entry, which is suspended shortly before or after it, or
// runs on. The other callers stay.
func (s *soak) cutOffCallers(ctx context.Context) {
	entry := s.entries[s.cuts.Intn(len(s.entries))]
	after := time.Duration(s.cuts.Intn(1500)) * time.Millisecond
	suspendedAfter := after + time.Duration(s.cuts.Intn(600)-300)*time.Millisecond
	duration := time.Duration(100+s.cuts.Intn(2300)) * time.Millisecond
	suspended, seed := s.cuts.Intn(2) == 0, s.cuts.Int63()
	if s.cuts.Intn(4) > 0 {
		return
	}
	s.recordFault("callers of %s are cut off after %v; suspended: %t, after %v for %v", entry.name, after, suspended, suspendedAfter, duration)
	s.surges++
	surge, cut := s.surges, time.Now().Add(after)
	for i := range longCallers {
		s.surgeJobs(ctx, seed+int64(i), func(rng *rand.Rand, n int) *soakJob {
			if time.Now().After(cut) {
				return nil
			}
			return &soakJob{id: fmt.Sprintf("7%03x%04x%08x", surge, i, n), tasks: 2, ms: 2000 + rng.Intn(800), cpu: openCPU, outcome: "ok", firstEntry: entry}
		})
	}
	s.faults.Add(1)
	go func() {
		defer s.faults.Done()
		time.Sleep(time.Until(cut))
		s.silenceCalls(entry, rand.New(rand.NewSource(seed)))
	}()
	if suspended {
		s.faults.Add(1)
		go func() {
			defer s.faults.Done()
			time.Sleep(suspendedAfter)
			entry.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			entry.signal(syscall.SIGCONT)
		}()
	}
	s.count(fmt.Sprintf("cut off, suspended: %t", suspended))
}

// silenceCalls ends the attempts of most callers of an entry. Their connections stay open and silent
// until the end of the soak.
func (s *soak) silenceCalls(entry *process, rng *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		conn, ok := c.conn.(*net.TCPConn)
		if !ok || c.entry != entry || rng.Intn(stayingShare) == 0 {
			continue
		}
		// The duplicate keeps the connection open when the client closes it.
		open, err := conn.File()
		if err == nil {
			s.t.Cleanup(func() { open.Close() })
			err = dropIncoming(conn)
		}
		if errors.Is(err, net.ErrClosed) {
			continue
		}
		if err != nil {
			s.t.Errorf("connection to %s: %v", entry.name, err)
		}
		c.left = true
		c.leave()
		s.counts["callers that were cut off"]++
	}
}

// checkGivenUp checks that an answer does not say that its caller gives no sign: a caller that has
// received it was connected.
func (s *soak) checkGivenUp(entry *process, id string, a answer) {
	if a.givenUp {
		s.t.Errorf("%s %s gave up job %s although its caller waited", time.Now().Format(recordTime), entry.name, id)
	}
}

// expectLongJobs checks that each entry completes a job of long tasks whose caller waits, after the
// faults and after the last job that crashes servers was submitted: a crash ends the long tasks on that
// server, and their job's deadline leaves no time to run them again.
func (s *soak) expectLongJobs() {
	const bound = 12 * time.Second
	var jobs sync.WaitGroup
	for i, p := range s.entries {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			var a answer
			for n, end := 0, time.Now().Add(bound); a.state != "completed"; n++ {
				if time.Now().After(end) {
					s.t.Errorf("%s does not complete a job of long tasks within %v: %+v; log: %s", p.name, bound, a, p.logTail())
					return
				}
				id := fmt.Sprintf("fe%06x%08x", i, n)
				a = s.post(context.Background(), p, id, 1, 2000, openCPU, "ok")
				s.checkRefusal(id, a, time.Now(), false)
				s.checkGivenUp(p, id, a)
				switch {
				case a.code == http.StatusTooManyRequests || a.code == http.StatusServiceUnavailable:
					time.Sleep(surgePause)
				case a.state != "completed":
					time.Sleep(resubmitAfter)
				}
			}
		}()
	}
	jobs.Wait()
}
