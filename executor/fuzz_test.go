package executor_test

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// fuzzRequests holds one request of each RPC, as decoded from the wire.
type fuzzRequests struct {
	Run       structs.RunRequest
	Await     structs.AwaitRequest
	Settle    structs.SettleRequest
	Fence     structs.FenceRequest
	Heartbeat structs.HeartbeatRequest
	Document  structs.DocumentRecord
}

func seedRequests() fuzzRequests {
	id := task(1, 0)
	return fuzzRequests{
		Run:       request(id, 1),
		Await:     structs.AwaitRequest{Agent: agentIncarnation, Task: id, Attempt: 1},
		Settle:    structs.SettleRequest{Agent: agentIncarnation, Home: home, Mode: structs.SettleRecall, Tasks: []structs.TaskRef{ref(id, 1)}},
		Fence:     structs.FenceRequest{Agent: agentIncarnation, Job: id.Job, Close: true},
		Heartbeat: structs.HeartbeatRequest{Agent: agentIncarnation, Entry: structs.EntryInfo{Incarnation: home}, Watermark: 2},
		Document:  structs.DocumentRecord{Service: "faq", Revision: 1, Text: documentHead},
	}
}

// FuzzStep sends decoded requests to an Executor, which must not panic and must
// answer each of them.
func FuzzStep(f *testing.F) {
	var seed bytes.Buffer
	if err := gob.NewEncoder(&seed).Encode(seedRequests()); err != nil {
		f.Fatal(err)
	}
	f.Add(seed.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		var reqs fuzzRequests
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&reqs) != nil {
			return
		}
		h := newHarness(func(o *executor.Options) { o.MaxRecords, o.MaxFences, o.MaxJobs = 2, 2, 2 })
		for range 2 {
			h.sendAll(&reqs)
			h.advance(time.Minute)
		}
		h.step(executor.LeaveRequested{})
		for _, r := range h.started {
			h.done(r.Task, structs.Ran, "")
		}
		for call := executor.CallID(1); call <= h.lastCall; call++ {
			if h.replies[call] == nil {
				t.Errorf("call %d got no reply", call)
			}
		}
		if h.drained != 1 {
			t.Errorf("got %d Drained effects, want 1", h.drained)
		}
	})
}

func (h *harness) sendAll(reqs *fuzzRequests) {
	h.lastCall += 6
	h.step(executor.RunCalled{Call: h.lastCall - 5, Request: reqs.Run})
	h.step(executor.AwaitCalled{Call: h.lastCall - 4, Request: reqs.Await})
	h.step(executor.SettleCalled{Call: h.lastCall - 3, Request: reqs.Settle})
	h.step(executor.HeartbeatCalled{Call: h.lastCall - 2, Request: reqs.Heartbeat})
	h.step(executor.DocumentCalled{Call: h.lastCall - 1, Record: reqs.Document})
	h.step(executor.FenceCalled{Call: h.lastCall, Request: reqs.Fence})
}
