package dispatch_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// fleet is a Dispatcher with fake agents that run its tasks. Tasks away from the rack of
// their job take factor times as long.
type fleet struct {
	*harness
	factor  float64
	longer  float64 // run times relative to what the agents expect
	servers []*fakeServer
	jobs    map[string]dispatch.Job
	ends    map[dispatch.CallID]time.Time // of answered jobs
	refused int
	work    time.Duration // slot time of all tasks
}

type fakeServer struct {
	id             dispatch.SessionID
	rack           string
	running, queue []fakeTask
}

type fakeTask struct {
	id      uint64
	startBy time.Time
	started time.Time
	expects time.Duration // run time by the agent
	runTime time.Duration
}

const slotCPU, slots = 5000, 4 // of each fake server

// newFleet returns four racks of four servers.
func newFleet(h *harness, factor, longer float64) *fleet {
	f := &fleet{harness: h, factor: factor, longer: longer, jobs: make(map[string]dispatch.Job), ends: make(map[dispatch.CallID]time.Time)}
	for i := range 16 {
		s := &fakeServer{id: dispatch.SessionID(i + 1), rack: fmt.Sprintf("r%d", i/4)}
		f.servers = append(f.servers, s)
		h.step(dispatch.SessionOpened{ID: s.id, Agent: fmt.Sprintf("agent-%02d", i), Zone: "zone-a", State: f.stateOf(s)})
	}
	return f
}

func (f *fleet) stateOf(s *fakeServer) session.State {
	st := serverState{capacity: slots * slotCPU, free: (slots - len(s.running)) * slotCPU, slowness: 1000}
	for _, t := range s.running {
		st.running = append(st.running, session.RunningTask{CPU: slotCPU, Ms: int(max(t.expects-f.now.Sub(t.started), 0).Milliseconds())})
	}
	for _, t := range s.queue {
		st.queue = append(st.queue, session.QueuedTask{ID: t.id, CPU: slotCPU, Ms: int(t.expects.Milliseconds()), StartWithin: int(t.startBy.Sub(f.now).Milliseconds())})
	}
	return f.rackState(s.rack, st)
}

func (f *fleet) submitJob(j dispatch.Job) {
	f.call++
	f.jobs[j.Name] = j
	f.apply(dispatch.SubmitCalled{Call: f.call, Job: j})
}

// apply steps the dispatcher and carries out its effects.
func (f *fleet) apply(ev dispatch.Event) {
	f.step(ev)
	for _, a := range effects[dispatch.Answered](f.harness) {
		f.ends[a.Call] = f.now
	}
	f.refused += len(effects[dispatch.Refused](f.harness))
	for _, o := range effects[dispatch.Order](f.harness) {
		s := f.servers[o.ID-1]
		for _, part := range o.Start {
			for _, p := range part.Tasks {
				runTime := f.runTime(s, f.jobs[part.Job])
				s.queue = append(s.queue, fakeTask{id: p.ID, startBy: f.now.Add(part.StartWithin), expects: runTime, runTime: time.Duration(f.longer * float64(runTime))})
			}
		}
		f.run(s, o.Recall)
		f.apply(dispatch.OrderReplied{ID: o.ID, Number: o.Number, State: f.stateOf(s)})
	}
}

func (f *fleet) runTime(s *fakeServer, j dispatch.Job) time.Duration {
	if j.Rack != "" && j.Rack != s.rack {
		return time.Duration(float64(j.Estimate) * f.factor)
	}
	return j.Estimate
}

// run ends and starts tasks of a server, and reports ends and what was not started.
func (f *fleet) run(s *fakeServer, recalled []uint64) {
	var reports []session.Report
	s.running = slices.DeleteFunc(s.running, func(t fakeTask) bool {
		done := !f.now.Before(t.started.Add(t.runTime))
		if done {
			reports = append(reports, session.Report{ID: t.id, Outcome: session.Done, Ran: t.runTime})
			f.work += t.runTime
		}
		return done
	})
	s.queue = slices.DeleteFunc(s.queue, func(t fakeTask) bool {
		dropped := slices.Contains(recalled, t.id) || f.now.After(t.startBy)
		if dropped {
			reports = append(reports, session.Report{ID: t.id, Outcome: session.NotStarted})
		}
		return dropped
	})
	slices.SortStableFunc(s.queue, func(a, b fakeTask) int { return cmp.Compare(a.startBy.UnixNano(), b.startBy.UnixNano()) })
	for len(s.queue) > 0 && len(s.running) < slots {
		t := s.queue[0]
		t.started = f.now
		s.running, s.queue = append(s.running, t), s.queue[1:]
	}
	if len(reports) > 0 {
		f.apply(dispatch.PollReplied{ID: s.id, Reply: session.PollReply{Reports: reports, State: f.stateOf(s)}})
	}
}

// advance lets time pass in steps of a millisecond; servers reply to polls every 200 ms.
func (f *fleet) advance(d time.Duration) {
	for range d.Milliseconds() {
		f.now = f.now.Add(time.Millisecond)
		for i, s := range f.servers {
			f.run(s, nil)
			if (f.now.Sub(start).Milliseconds()+int64(i)*7)%200 == 0 {
				f.apply(dispatch.PollReplied{ID: s.id, Reply: session.PollReply{State: f.stateOf(s)}})
			}
		}
	}
}
