package command_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

func sampleStatus() structs.Status {
	entry := structs.EntryInfo{Name: "entry-1", Incarnation: 1, Zone: "zone-a", HTTPAddr: "10.0.0.1:8080", RPCAddr: "10.0.0.1:8081"}
	agent := func(name, zone string, running int, leaving bool) structs.AgentStatus {
		return structs.AgentStatus{
			Info:  structs.AgentInfo{Name: name, Service: "booking", Team: "desk", Zone: zone, Slots: 8},
			State: structs.AgentState{Running: running, Queued: 1, Slots: 8, Leaving: leaving, Revision: 3},
		}
	}
	return structs.Status{
		Entry:    entry,
		Leaving:  true,
		Entries:  []structs.EntryInfo{{Name: "entry-2", Incarnation: 2, Zone: "zone-b", HTTPAddr: "10.0.0.2:8080", RPCAddr: "10.0.0.2:8081"}, entry},
		Agents:   []structs.AgentStatus{agent("booking-2", "zone-b", 8, true), agent("booking-11", "zone-a", 0, false)},
		Services: []structs.ServiceStatus{{Service: "booking", Owner: "desk", Revision: 3}, {Service: "answers", Owner: "shops", Revision: 1}},
		LogError: "connection refused",
	}
}

func TestStatus(t *testing.T) {
	g := NewWithT(t)
	url := fakeEntry(t, map[string]any{"GET /v1/status": sampleStatus()}, nil)
	r := run(t, "--entry", url, "status")
	g.Expect(r.status).To(Equal(0), r.errOut)
	goldie.New(t).Assert(t, "status", []byte(r.out))

	r = run(t, "--entry", url, "--json", "status")
	var st structs.Status
	r.decode(g, &st)
	g.Expect(st.Agents).To(HaveLen(2))
	g.Expect(st.Agents[0].Info.Zone).To(Equal("zone-a"), "sorted by availability zone")
}

func TestDump(t *testing.T) {
	g := NewWithT(t)
	url := fakeEntry(t, map[string]any{
		"GET /debug/dump": map[string]int{"jobs": 4},
		"GET /v1/entries": []structs.EntryInfo{},
	}, nil)
	r := run(t, "--entry", url, "dump")
	g.Expect(r.status).To(Equal(0), r.errOut)
	g.Expect(r.out).To(MatchJSON(`{"jobs": 4}`))

	other := fakeEntry(t, map[string]any{"GET /debug/dump": map[string]int{"jobs": 5}}, nil)
	r = run(t, "--entry", url, "dump", url, other)
	var dumps map[string]json.RawMessage
	r.decode(g, &dumps)
	g.Expect(dumps).To(HaveKey(url))
	g.Expect(dumps).To(HaveKey(other))

	r = run(t, "--entry", url, "dump", "entry-9")
	g.Expect(r.status).To(Equal(1), r.errOut)
	g.Expect(r.errOut).To(ContainSubstring("entry-9"))
}
