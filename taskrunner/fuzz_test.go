package taskrunner_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// messagesOfEntry holds one request of each kind, as decoded from a connection.
type messagesOfEntry struct {
	Hello session.HelloRequest
	Order session.OrderRequest
	Poll  session.PollRequest
}

// FuzzMessages: whatever an entry sends, an agent goes on, and other sessions get answers.
func FuzzMessages(f *testing.F) {
	var seed bytes.Buffer
	err := gob.NewEncoder(&seed).Encode(messagesOfEntry{
		Hello: session.HelloRequest{Entry: "entry", Incarnation: 1, ConfigVersion: 1 << 62, Evacuation: session.Evacuation{Version: 1, Zones: []string{"zone-a"}}},
		Order: session.OrderRequest{Echo: session.ClockReading{Run: 1, Clock: time.Hour}, Start: []session.JobPart{{
			Job: "job", Queue: "queue", Service: "booking", CPU: -1, MemMB: 1, GPU: 1 << 62, Estimate: 1 << 62, StartWithin: time.Second,
			Tasks: []session.Placement{{ID: 1, Attempt: -1}, {ID: 1, Index: -1, Attempt: 1 << 62}},
		}}, Stop: []uint64{1}, Recall: []uint64{2}},
		Poll: session.PollRequest{Echo: session.ClockReading{Run: 1, Clock: -time.Hour}, Seen: 1 << 63},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		var m messagesOfEntry
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&m) != nil {
			return
		}
		h := newHarnessForRapid()
		for range 2 {
			h.step(taskrunner.HelloCalled{Call: 1, Session: 2, Request: m.Hello})
			h.step(taskrunner.OrderCalled{Call: 2, Session: 2, Request: m.Order})
			h.step(taskrunner.PollCalled{Call: 3, Session: 2, Request: m.Poll})
			h.advance(100 * time.Millisecond)
			h.runner.Dump(h.now)
		}
		h.step(taskrunner.RenewReplied{OK: true, ServerIncarnation: 1, Clock: h.clock})
		h.step(taskrunner.HelloCalled{Call: 4, Session: 3, Request: session.HelloRequest{Entry: "other", Incarnation: 1 << 63}})
		h.step(taskrunner.PollCalled{Call: 5, Session: 3, Request: session.PollRequest{Echo: session.ClockReading{Run: 1, Clock: h.clock}}})
		h.advance(taskrunner.DefaultPollWait)
		h.step(taskrunner.Ticked{})
		if len(effects[taskrunner.ReplyPoll](h)) == 0 {
			t.Error("the poll of another session has no reply")
		}
	})
}

// FuzzStoredRecord: a record that another writer stored under the name of an agent does not
// end the agent, and does not keep out the server itself.
func FuzzStoredRecord(f *testing.F) {
	f.Add([]byte(`{"server":{"id":"s","run":1,"service":"booking","cpu":9223372036854775807,"labels":["a"],"rack":"r"},"usual":{"slowness":-9223372036854775808,"labels":["a"]}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		var record struct {
			Server   taskrunner.ServerInfo `json:"server"`
			Baseline taskrunner.Baseline   `json:"usual"`
		}
		if json.Unmarshal(value, &record) != nil {
			return
		}
		h := newHarness(&testing.T{})
		h.step(taskrunner.Ticked{})
		h.step(taskrunner.RecordLoaded{Server: record.Server, Baseline: record.Baseline})
		h.answerRenewal(1, nil)
		h.runner.Dump(h.now)
		h.advance(100 * time.Millisecond)
		h.answerRenewal(2, nil)
		h.step(taskrunner.ServerReported{Info: h.report(1, true)})
		if s := h.runner.Server(); record.Server.ID == "" && !s.Draining {
			t.Errorf("the report of the server itself has no effect: %+v", s)
		}
	})
}
