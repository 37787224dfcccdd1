package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// againCase checks that no task of a job starts after its cancelling was acknowledged. A
// copy of the request that submitted the job arrives seconds after its 2xx response, at
// another entry.
func againCase(s *system, trouble bool) error {
	const (
		executors = 4
		cpu       = 32_000
		taskCPU   = 3_100
		taskMs    = 900
		jobs      = 20
		before    = 300 * time.Millisecond // from a job's submission to its cancelling
		late      = 4 * time.Second        // from the acknowledgement to the copy
		interval  = 2 * time.Second
	)
	var mu sync.Mutex
	acknowledged := make(map[string]time.Time) // by job
	servers := make([]executorOptions, executors)
	kinds := make([]string, executors)
	for i := range servers {
		servers[i] = executorOptions{
			name: fmt.Sprintf("m%d", i), rack: "r1-1", cpu: cpu, rec: s.rec,
			onStart: func(e *executor, task string) {
				id, _, _ := strings.Cut(task, ".")
				mu.Lock()
				at, ok := acknowledged[id]
				mu.Unlock()
				if ok && time.Since(at) > cancelTime {
					s.rec.violated("UNASKED: %s starts at %s %v after the cancelling of its job was acknowledged", task, e.id, time.Since(at).Round(time.Millisecond))
				}
			},
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
			answered := make(chan int, 1)
			go func() { answered <- s.postOnce(j, n, callersWait) }()
			time.Sleep(before)
			at, ok := s.cancel(j.id, n, false)
			if !ok {
				return
			}
			mu.Lock()
			acknowledged[j.id] = at
			mu.Unlock()
			if <-answered != http.StatusOK || !trouble {
				return
			}
			time.Sleep(late)
			s.rec.log("fault  a copy of the request of %s arrives", j.id)
			s.postOnce(j, n+1, callersWait)
		}()
		time.Sleep(interval)
	}
	wg.Wait()
	return nil
}
