package agent_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/standin/backend"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

func TestRepeatedRunStartsTaskOnce(t *testing.T) {
	g := NewWithT(t)
	s := startHarness(t, nil)
	c := s.dial(t)
	req := s.runRequest(taskID(1, 0), `{"work_ms":1}`)
	for range 3 {
		var reply structs.RunReply
		g.Expect(c.Call("Agent.Run", req, &reply)).To(Succeed())
		g.Expect(reply.Result.Verdict).To(Equal(structs.Ran))
		g.Expect(reply.Result.Error).To(BeNil())
		g.Expect(string(reply.Result.Body)).To(Equal(`{"work_ms":1}`))
		g.Expect(reply.ServiceTime).To(BeNumerically(">=", time.Millisecond))
	}
	starts := s.backend.Starts()
	g.Expect(starts).To(HaveLen(1))
	g.Expect(starts[0].Task).To(Equal(req.Task.String()))
}

func TestAwaitOnNewConnectionReturnsResult(t *testing.T) {
	g := NewWithT(t)
	s := startHarness(t, nil)
	first := s.dial(t)
	req := s.runRequest(taskID(1, 0), `{"work_ms":100}`)
	first.Go("Agent.Run", req, new(structs.RunReply), nil)
	g.Eventually(s.backend.Starts).Should(HaveLen(1))
	first.Close()

	var reply structs.RunReply
	await := &structs.AwaitRequest{Agent: req.Agent, Task: req.Task, Attempt: 1}
	g.Expect(s.dial(t).Call("Agent.Await", await, &reply)).To(Succeed())
	g.Expect(reply.Result.Verdict).To(Equal(structs.Ran))
	g.Expect(string(reply.Result.Body)).To(Equal(`{"work_ms":100}`))
	g.Expect(s.backend.Starts()).To(HaveLen(1))
}

func TestAnnouncesStartAndLeaving(t *testing.T) {
	g := NewWithT(t)
	s := startHarness(t, nil)
	g.Eventually(s.entry.announcements).Should(HaveLen(1))
	first := s.entry.announcements()[0]
	g.Expect(first.Info.Incarnation).To(Equal(s.agent.Incarnation()))
	g.Expect(first.Info.RPCAddr).To(Equal(s.agent.RPCAddr()))
	g.Expect(first.State.Leaving).To(BeFalse())
	s.stop()
	g.Eventually(s.entry.announcements).Should(HaveLen(2))
	g.Expect(s.entry.announcements()[1].State.Leaving).To(BeTrue())
	g.Eventually(s.stopped).Should(Receive(BeNil()))
}

func TestGracefulStopFinishesRunningTask(t *testing.T) {
	g := NewWithT(t)
	s := startHarness(t, nil)
	g.Eventually(s.entry.announcements).ShouldNot(BeEmpty())
	g.Expect(s.backend.SetBehavior(backend.Behavior{Mode: backend.ModeStall})).To(Succeed())
	c := s.dial(t)
	var running, late structs.RunReply
	pending := c.Go("Agent.Run", s.runRequest(taskID(1, 0), "x"), &running, nil)
	g.Eventually(s.backend.Starts).Should(HaveLen(1))
	s.stop()
	leaving := func() bool {
		var hb structs.HeartbeatReply
		err := c.Call("Agent.Heartbeat", &structs.HeartbeatRequest{Agent: s.agent.Incarnation()}, &hb)
		return err == nil && hb.State.Leaving
	}
	g.Eventually(leaving).Should(BeTrue())

	g.Expect(c.Call("Agent.Run", s.runRequest(taskID(1, 1), "y"), &late)).To(Succeed())
	g.Expect(late.Result.Verdict).To(Equal(structs.NotRun))
	g.Expect(late.Result.Error.Code).To(Equal(structs.CodeLeaving))
	g.Consistently(leaving, "200ms").Should(BeTrue(), "the agent keeps serving while the task runs")
	g.Expect(s.stopped).NotTo(Receive())

	g.Expect(s.backend.SetBehavior(backend.Behavior{Mode: backend.ModeWork})).To(Succeed())
	g.Expect((<-pending.Done).Error).NotTo(HaveOccurred())
	g.Expect(running.Result.Verdict).To(Equal(structs.Ran))
	g.Expect(string(running.Result.Body)).To(Equal("x"))
	g.Eventually(s.stopped).Should(Receive(BeNil()))
	g.Expect(s.backend.Starts()).To(HaveLen(1))
}

func TestOperatorEndpoints(t *testing.T) {
	g := NewWithT(t)
	s := startHarness(t, nil)
	g.Eventually(func() int { return status(s, "/readyz") }).Should(Equal(http.StatusOK))
	for _, path := range []string{"/healthz", "/metrics", "/debug/dump"} {
		g.Expect(status(s, path)).To(Equal(http.StatusOK), path)
	}
}

func status(s *harness, path string) int {
	resp, err := http.Get("http://" + s.agent.HTTPAddr() + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
