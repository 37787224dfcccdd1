package agent_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// The agent and the stand-in backend server of these benchmarks run in the same
// process:
//
//	go test -run '^$' -bench Call -benchmem ./agent

// BenchmarkDirectCall measures a call to the backend server without an agent.
func BenchmarkDirectCall(b *testing.B) {
	s := startHarness(b, nil)
	payload := []byte(`{"work_ms":0}`)
	for b.Loop() {
		resp, err := http.Post(s.backend.URL()+"/tasks", "application/json", bytes.NewReader(payload))
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// BenchmarkAgentCall measures the same call through an agent over net/rpc.
func BenchmarkAgentCall(b *testing.B) {
	s := startHarness(b, nil)
	c := s.dial(b)
	seq := uint64(0)
	for b.Loop() {
		seq++
		s.mustRun(b, c.Call, seq)
	}
}

func (s *harness) mustRun(b *testing.B, call func(string, any, any) error, seq uint64) {
	req := s.runRequest(taskID(seq, 0), `{"work_ms":0}`)
	req.Watermark = seq
	var reply structs.RunReply
	if err := call("Agent.Run", req, &reply); err != nil || reply.Result.Error != nil {
		b.Fatal(err, reply.Result.Error)
	}
}
