package platform_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/chestnuthollow/chestnuthollow/refusals"
)

const (
	// openJobs is the number of jobs that an entry gets before its callers leave it.
	openJobs = 40
	// openCPU is the size of their tasks, in thousandths of a core.
	openCPU = 300
	// surgeCallers is the number of callers that submit short jobs while the copies come.
	surgeCallers = 40
	// surgeBefore and surgeAfter are when the surge begins and ends, before and after the copies.
	surgeBefore, surgeAfter = 250 * time.Millisecond, 100 * time.Millisecond
	// surgePause is how long each caller of the surge waits between its jobs.
	surgePause = 100 * time.Millisecond
	// slowStop and slowRun are by turns how long a slow entry is suspended and runs.
	slowStop, slowRun = 60 * time.Millisecond, 4 * time.Millisecond
	// logFlush is longer than a process keeps lines in its buffer.
	logFlush = 300 * time.Millisecond
	// printedFindings bounds the findings in the logs that are printed.
	printedFindings = 3
)

// openCall is a request of a caller that waits for its answer.
type openCall struct {
	entry      *process
	leave      context.CancelFunc
	conn       net.Conn // nil until the request has one
	left       bool
	answeredAt time.Time // first byte of the answer
}

// openCall registers a request to an entry. The request is made with the context returned.
func (s *soak) openCall(ctx context.Context, entry *process) (context.Context, *openCall) {
	ctx, leave := context.WithCancel(ctx)
	c := &openCall{entry: entry, leave: leave}
	s.mu.Lock()
	s.calls[c] = struct{}{}
	s.mu.Unlock()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			c.conn = info.Conn
		},
		GotFirstResponseByte: func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			c.answeredAt = time.Now()
		},
	}), c
}

// closeCall removes a request that has ended. It returns whether its caller has left, and when
// the answer began to arrive.
func (s *soak) closeCall(c *openCall) (left bool, answeredAt time.Time) {
	c.leave()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
	return c.left, c.answeredAt
}

// leaveCalls closes or resets the connections of all requests that are open at an entry.
func (s *soak) leaveCalls(entry *process, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		if c.entry != entry {
			continue
		}
		if conn, ok := c.conn.(*net.TCPConn); ok && reset {
			if err := conn.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
				s.t.Logf("reset of a connection to %s: %v", entry.name, err)
			}
		}
		c.left = true
		c.leave()
		s.counts["callers that left"]++
	}
}

// suspendAndLeaveEntry suspends a drawn entry, or slows it down, at times, while it has many jobs
// open. Its callers leave at once, and submit their jobs to other entries, which a surge of other
// jobs makes refuse some of them.
func (s *soak) suspendAndLeaveEntry(ctx context.Context) {
	entry := s.entries[s.leaves.Intn(len(s.entries))]
	duration := time.Duration(1300+s.leaves.Intn(900)) * time.Millisecond
	after := time.Duration(s.leaves.Intn(300)) * time.Millisecond
	reset, slow, seed := s.leaves.Intn(2) == 0, s.leaves.Intn(3) == 0, s.leaves.Int63()
	if s.leaves.Intn(6) > 0 {
		return
	}
	s.recordFault("%s is left after %v and not served for %v, connections reset: %t, slow: %t", entry.name, after, duration, reset, slow)
	s.surges++
	surge := s.surges
	for i := range openJobs {
		s.surgeJobs(ctx, seed+int64(i), func(rng *rand.Rand, n int) *soakJob {
			if n > 0 {
				return nil
			}
			return &soakJob{id: fmt.Sprintf("5%03x%04x%08x", surge, i, 0), tasks: 2, ms: 600, cpu: openCPU, outcome: "ok", firstEntry: entry}
		})
	}
	s.faults.Add(1)
	go func() {
		defer s.faults.Done()
		time.Sleep(after)
		resume := time.Now().Add(duration)
		entry.signal(syscall.SIGSTOP)
		s.leaveCalls(entry, reset)
		copies := time.Now().Add(resubmitAfter)
		s.faults.Add(1)
		time.AfterFunc(time.Until(copies)-surgeBefore, func() {
			defer s.faults.Done()
			s.surgeOfShortJobs(ctx, surge, seed, copies.Add(surgeAfter))
		})
		for slow && time.Now().Before(resume) {
			time.Sleep(slowStop)
			entry.signal(syscall.SIGCONT)
			time.Sleep(slowRun)
			entry.signal(syscall.SIGSTOP)
		}
		time.Sleep(time.Until(resume))
		entry.signal(syscall.SIGCONT)
	}()
	s.count("left entry")
}

// surgeOfShortJobs starts callers that submit short jobs until some time.
func (s *soak) surgeOfShortJobs(ctx context.Context, surge int, seed int64, until time.Time) {
	for i := range surgeCallers {
		s.surgeJobs(ctx, seed-int64(i)-1, func(rng *rand.Rand, n int) *soakJob {
			if time.Now().After(until) {
				return nil
			}
			return &soakJob{id: fmt.Sprintf("6%03x%04x%08x", surge, i, n), tasks: 4, ms: 50 + rng.Intn(150), outcome: "ok"}
		})
	}
}

// surgeJobs starts a caller that submits jobs one after the other until next returns nil.
func (s *soak) surgeJobs(ctx context.Context, seed int64, next func(rng *rand.Rand, n int) *soakJob) {
	rng := rand.New(rand.NewSource(seed))
	s.callers.Add(1)
	go func() {
		defer s.callers.Done()
		for n := 0; ctx.Err() == nil; n++ {
			j := next(rng, n)
			if j == nil {
				return
			}
			s.submitJob(ctx, rng, j)
			time.Sleep(surgePause)
		}
	}()
}

// checkLogs checks that the logs of the processes show no task that started after its job was
// refused as not run.
func (s *soak) checkLogs() {
	time.Sleep(logFlush)
	names, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	if err != nil {
		s.t.Error(err)
	}
	var log refusals.Log
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			s.t.Error(err)
			continue
		}
		if err := log.Read(f); err != nil {
			s.t.Errorf("%s: %v", name, err)
		}
		f.Close()
	}
	certain := 0
	for _, f := range log.Findings() {
		if !f.Certain {
			s.count("possible start after a refusal")
			continue
		}
		if certain++; certain <= printedFindings {
			s.t.Errorf("logs: %v", f)
		}
	}
	if certain > printedFindings {
		s.t.Errorf("logs: %d jobs were started although they were refused as not run", certain)
	}
	s.t.Logf("logs: lines that were dropped: %d, unreadable: %d", log.Dropped, log.Unreadable)
}
