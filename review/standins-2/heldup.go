package main

import (
	"sync"
	"time"
)

// resendDelay is how long a client waits after an attempt without a response.
const resendDelay = 1300 * time.Millisecond

// heldUp: the clients of one entry are cut off from it for two seconds. What they send meanwhile arrives
// later, after they have given up and sent their jobs to another entry.
func heldUp(root string, r *record, trouble bool) (bool, error) {
	s, err := newFleet(root, r)
	if err != nil {
		return false, err
	}
	defer s.close()
	k, err := s.newLink(s.entries[0])
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var ids []string
	begin := time.Now().Add(time.Second)
	for i := range 12 {
		wg.Go(func() {
			c, err := s.open(k.addr)
			if err != nil {
				return
			}
			c.post(job{path: "/holds/" + newID(), ms: 60, replicas: 2, cpu: 6200, estimate: 60})
			time.Sleep(time.Until(begin.Add(100*time.Millisecond + time.Duration(i)*25*time.Millisecond)))
			id := newID()
			mu.Lock()
			ids = append(ids, id)
			mu.Unlock()
			j := job{path: "/parties/" + id, ms: 900, replicas: 4, cpu: 6200, estimate: 900}
			if a := c.post(j); a.code == 0 {
				time.Sleep(resendDelay)
				s.post(s.entries[1], j)
			}
		})
	}
	time.Sleep(time.Until(begin))
	if trouble {
		r.line("the clients are cut off from %s for 2 s", s.entries[0].name)
		k.cut(2 * time.Second)
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	return s.judgeOverlaps(), nil
}

// judgeOverlaps returns whether two runs of one task were at work at the same time.
func (s *system) judgeOverlaps() (broken bool) {
	type span struct {
		start
		to time.Time
	}
	spans := make(map[string][]span)
	for _, st := range s.record.starts {
		to := time.Now()
		for _, e := range s.record.ends {
			if e.task == st.task && e.run == st.run && e.server == st.server && !e.at.Before(st.at) {
				to = e.at
				break
			}
		}
		spans[st.task] = append(spans[st.task], span{st, to})
	}
	for task, list := range spans {
		for i, a := range list {
			for _, b := range list[:i] {
				from, to := a.at, a.to
				if b.at.After(from) {
					from = b.at
				}
				if b.to.Before(to) {
					to = b.to
				}
				if from.Before(to) {
					broken = true
					s.record.line("BROKEN: two runs of task %s at the same time, at %s and %s, for %.1f ms", task, b.server, a.server, to.Sub(from).Seconds()*1000)
				}
			}
		}
	}
	return broken
}
