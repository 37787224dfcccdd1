package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// refusalCase checks that no job is rejected whose task has started. Servers crash when they
// have carried out a start and not answered it yet, and are soon back. The tasks are too
// long to be run again in the time that their callers have.
func refusalCase(s *system, trouble bool) error {
	const (
		executors = 7
		cpu       = 32_000
		taskCPU   = 3_100
		taskMs    = 1300
		down      = 200 * time.Millisecond
		interval  = 5 * time.Second
		rounds    = 14
		pause     = 250 * time.Millisecond // between jobs
	)
	var mu sync.Mutex
	starts := make(map[string]int) // by job
	servers := make([]executorOptions, executors)
	kinds := make([]string, executors)
	for i := range servers {
		servers[i] = executorOptions{name: fmt.Sprintf("m%d", i), rack: fmt.Sprintf("r1-%d", i/3), cpu: cpu, rec: s.rec, onStart: func(_ *executor, task string) {
			id, _, _ := strings.Cut(task, ".")
			mu.Lock()
			starts[id]++
			mu.Unlock()
		}}
		kinds[i] = "a"
	}
	if err := s.start(2, servers, kinds); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			j := job{id: fmt.Sprintf("%016x", n+1), tasks: 1, ms: taskMs, cpu: taskCPU}
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.checkRefusal(j, n, func() int {
					mu.Lock()
					defer mu.Unlock()
					return starts[j.id]
				})
			}()
		}
	}()
	time.Sleep(3 * time.Second)
	for round := range rounds {
		if trouble {
			s.servers[round%executors].crashAtNextStart(down)
		}
		time.Sleep(interval)
	}
	close(stop)
	wg.Wait()
	return nil
}

// checkRefusal submits a job and checks that it has not started if all its sends were
// rejected.
func (s *system) checkRefusal(j job, at int, started func() int) {
	out := s.submit(j, at)
	for _, code := range out.codes {
		if code != http.StatusTooManyRequests && code != http.StatusServiceUnavailable {
			return
		}
	}
	if n := started(); n > 0 {
		s.rec.violated("REFUSED: %s was rejected with %v, and its task has started %d times", j.id, out.codes, n)
	}
}
