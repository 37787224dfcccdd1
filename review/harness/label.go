package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// labelCase checks that no task starts on a server without the label that its job needs.
// The servers of one kind are full, so that tasks wait at their agents. One server crashes
// silently, and its next boot is of another kind.
func labelCase(s *system, trouble bool) error {
	const (
		cpu      = 32_000
		taskCPU  = 8_000
		taskMs   = 400
		callers  = 10
		rounds   = 14
		silent   = 300 * time.Millisecond
		interval = 4500 * time.Millisecond
	)
	var mu sync.Mutex
	labels := make(map[string]string) // by job
	options := executorOptions{cpu: cpu, rec: s.rec, onStart: func(e *executor, task string) {
		id, _, _ := strings.Cut(task, ".")
		mu.Lock()
		label := labels[id]
		mu.Unlock()
		if label != e.kind {
			s.rec.violated("ROUTE: %s needs %q and starts at %s of kind %q", task, label, e.id, e.kind)
		}
	}}
	kinds := []string{"a", "a", "b", "a", "a", "b", "a"}
	servers := make([]executorOptions, len(kinds))
	for i := range servers {
		servers[i] = options
		servers[i].name = fmt.Sprintf("m%d", i)
		servers[i].rack = fmt.Sprintf("r1-%d", i/3)
	}
	if err := s.start(2, servers, kinds); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				j := job{id: fmt.Sprintf("%08x%08x", c+1, n), tasks: 4, ms: taskMs, cpu: taskCPU, label: "a"}
				if c == 0 {
					j.label = "b"
				}
				mu.Lock()
				labels[j.id] = j.label
				mu.Unlock()
				s.submit(j, c)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	for range rounds {
		if trouble {
			e := s.servers[0]
			kind := "b"
			if e.kind == "b" {
				kind = "a"
			}
			e.crashDark(silent, kind)
		} else {
			time.Sleep(silent)
		}
		time.Sleep(interval)
	}
	close(stop)
	wg.Wait()
	return nil
}
