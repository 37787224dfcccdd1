package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	cancelTime = 3000 * time.Millisecond // after the acknowledgement, until no task may run on
	stopTime   = 50 * time.Millisecond
	tolerance  = 150 * time.Millisecond
	longWait   = 30 * time.Second // for the answer to a long job
)

// cancelCase checks that the tasks of a job do not run on after its cancelling was
// acknowledged. The connection of the request that cancels it is reset, and the request
// comes again at another entry.
func cancelCase(s *system, trouble bool) error {
	const (
		executors = 4
		cpu       = 32_000
		taskCPU   = 3_100
		taskMs    = 5000
		jobs      = 8
		before    = 200 * time.Millisecond // from a job's submission to its cancelling
		interval  = 5 * time.Second
	)
	var mu sync.Mutex
	running := make(map[string]int) // tasks, by job
	servers := make([]executorOptions, executors)
	kinds := make([]string, executors)
	count := func(task string, by int) {
		id, _, _ := strings.Cut(task, ".")
		mu.Lock()
		running[id] += by
		mu.Unlock()
	}
	for i := range servers {
		servers[i] = executorOptions{
			name: fmt.Sprintf("m%d", i), rack: "r1-1", cpu: cpu, rec: s.rec,
			onStart: func(_ *executor, task string) { count(task, 1) },
			onEnd:   func(_ *executor, task, _ string) { count(task, -1) },
		}
		kinds[i] = "a"
	}
	if err := s.start(2, servers, kinds); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for n := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			j := job{id: fmt.Sprintf("%016x", n+1), tasks: 2, ms: taskMs, cpu: taskCPU}
			go s.postOnce(j, n, longWait)
			time.Sleep(before)
			acknowledged, ok := s.cancel(j.id, n, trouble)
			if !ok {
				return
			}
			time.Sleep(time.Until(acknowledged.Add(cancelTime + stopTime + tolerance)))
			mu.Lock()
			left := running[j.id]
			mu.Unlock()
			if left > 0 {
				s.rec.violated("UNASKED: %d tasks of %s run on %v after its cancelling was acknowledged", left, j.id, time.Since(acknowledged).Round(time.Millisecond))
			}
		}()
		time.Sleep(interval)
	}
	wg.Wait()
	time.Sleep(2 * time.Second) // for the answers to the jobs
	return nil
}

// cancel cancels a job, first at the entry with the index at. After a broken connection the
// request is sent again to the next entry. It returns when the cancelling was acknowledged.
func (s *system) cancel(id string, at int, reset bool) (time.Time, bool) {
	for send := range maxSends {
		p := s.entries[(at+send)%len(s.entries)]
		if reset && send == 0 {
			s.rec.log("fault  the connection of the cancelling of %s to %s is reset", id, p.name)
			s.resetConnection(p)
			time.Sleep(resendDelay)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), callersWait)
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+p.jobsAddr+wire.Prefix+id, nil)
		if err != nil {
			cancel()
			return time.Time{}, false
		}
		req.Host = wire.Host
		s.rec.log("sent   cancel %s to %s", id, p.name)
		resp, err := s.client.Do(req)
		cancel()
		if err != nil {
			s.rec.log("answer cancel %s from %s: %v", id, p.name, err)
			time.Sleep(resendDelay)
			continue
		}
		resp.Body.Close()
		s.rec.log("answer cancel %s from %s status=%d", id, p.name, resp.StatusCode)
		return time.Now(), resp.StatusCode/100 == 2 || resp.StatusCode == http.StatusGone
	}
	return time.Time{}, false
}

// resetConnection opens a connection to an entry that is reset before a request is sent.
func (s *system) resetConnection(p *process) {
	c, err := net.Dial("tcp", p.jobsAddr)
	if err != nil {
		return
	}
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}
