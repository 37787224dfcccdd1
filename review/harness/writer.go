package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// writerCase checks that requests are served although each agent has got one report of
// another writer, whose service is not in the configuration.
func writerCase(s *system, trouble bool) error {
	const (
		executors = 3
		cpu       = 32_000
		taskCPU   = 3_100
		taskMs    = 60
		traffic   = 30 * time.Second
		pause     = 100 * time.Millisecond // between jobs
	)
	servers := make([]executorOptions, executors)
	kinds := make([]string, executors)
	for i := range servers {
		servers[i] = executorOptions{name: fmt.Sprintf("m%d", i), rack: "r1-1", cpu: cpu, rec: s.rec, onStart: func(*executor, string) {}}
		kinds[i] = "a"
	}
	if err := s.start(2, servers, kinds); err != nil {
		return err
	}
	for i, e := range s.servers {
		if trouble {
			if err := s.reportOfOther(e, fmt.Sprintf("i-other-%d", i)); err != nil {
				return err
			}
		}
	}
	time.Sleep(2 * reportInterval) // the servers' own reports follow
	var mu sync.Mutex
	sent, served := 0, 0
	var wg sync.WaitGroup
	for end := time.Now().Add(traffic); time.Now().Before(end); time.Sleep(pause) {
		sent++
		j := job{id: fmt.Sprintf("%016x", sent), tasks: 2, ms: taskMs, cpu: taskCPU}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if out := s.submit(j, sent); out.state == "completed" {
				mu.Lock()
				served++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	s.rec.log("count  sent=%d served=%d", sent, served)
	if served == 0 {
		s.rec.violated("Fault: no request is served, of %d", sent)
	}
	return nil
}

// reportOfOther sends the report of another writer to the agent of a server.
func (s *system) reportOfOther(e *executor, id string) error {
	body, err := json.Marshal(map[string]any{
		"service": "unnamed", "address": e.addr, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldMs": 0, "seq": 1,
		"born": time.Now().UnixMilli(), "capacity": map[string]int{"cpu": e.cpu, wire.Memory: 131072, "gpu": 0}, "labels": []string{"a", e.rack},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+e.agentAddr+wire.ReportPath+id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	s.rec.log("fault  report of another writer, %s, to the agent of %s: status=%d", id, e.name, resp.StatusCode)
	return nil
}
