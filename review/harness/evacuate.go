package main

import (
	"fmt"
	"sync"
	"time"
)

// evacuateCase checks that no task starts in an evacuated zone once the time for that is
// over. The entries are cut off from the store while the zone is evacuated; the agents are
// not.
func evacuateCase(s *system, trouble bool) error {
	const (
		executors = 6
		cpu       = 32_000
		taskCPU   = 3_100
		taskMs    = 60
		rounds    = 4
		allowed   = 5 * time.Second // from the acknowledgement of the evacuation
		cut       = 5500 * time.Millisecond
		pause     = 30 * time.Millisecond // between jobs
		zone      = "zone-b"
	)
	var mu sync.Mutex
	var acknowledged time.Time // of the evacuation in force; zero if there is none
	servers := make([]executorOptions, executors)
	kinds := make([]string, executors)
	for i := range servers {
		servers[i] = executorOptions{name: fmt.Sprintf("m%d", i), zone: zoneOf(i), rack: "r1-1", cpu: cpu, rec: s.rec, onStart: func(e *executor, task string) {
			mu.Lock()
			at := acknowledged
			mu.Unlock()
			if e.zone == zone && !at.IsZero() && time.Since(at) > allowed {
				s.rec.violated("EVAC: %s starts at %s in %s, %v after its evacuation was acknowledged", task, e.id, zone, time.Since(at).Round(time.Millisecond))
			}
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
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.submit(job{id: fmt.Sprintf("%016x", n+1), tasks: 2, ms: taskMs, cpu: taskCPU}, n)
			}()
		}
	}()
	for range rounds {
		time.Sleep(4 * time.Second)
		if trouble {
			s.rec.log("fault  the entries are cut off from the store")
			for _, l := range s.links {
				l.setCut(true)
			}
		}
		time.Sleep(50 * time.Millisecond)
		s.store.Put(wire.ConfigTopic, wire.EvacuationKey+zone, []byte(`{}`))
		s.rec.log("store  the evacuation of %s is acknowledged", zone)
		mu.Lock()
		acknowledged = time.Now()
		mu.Unlock()
		time.Sleep(cut - 50*time.Millisecond)
		if trouble {
			s.rec.log("fault  the cut ends")
			for _, l := range s.links {
				l.setCut(false)
			}
		}
		time.Sleep(4 * time.Second)
		mu.Lock()
		acknowledged = time.Time{}
		mu.Unlock()
		s.store.Put(wire.ConfigTopic, wire.EvacuationKey+zone, nil)
		s.rec.log("store  the evacuation of %s is taken back", zone)
	}
	close(stop)
	wg.Wait()
	return nil
}
