package session_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// The messages of the builds before entries stopped sending the configuration with
// each Hello.
type (
	oldHelloRequest struct {
		Entry       string
		Incarnation structs.Incarnation
		Config      session.Config
	}
	oldHelloReply struct {
		Agent       string
		Incarnation structs.Incarnation
		Zone        string
		Config      session.Config
		State       session.State
	}
)

// transcode encodes a message of one build and decodes it as that of another.
func transcode(g *WithT, from, to any) {
	var buf bytes.Buffer
	g.Expect(gob.NewEncoder(&buf).Encode(from)).To(Succeed())
	g.Expect(gob.NewDecoder(&buf).Decode(to)).To(Succeed())
}

func TestHelloBetweenOldAndNewBuilds(t *testing.T) {
	g := NewWithT(t)
	config := session.Config{Version: 7, Text: []byte("text")}

	var request session.HelloRequest
	transcode(g, oldHelloRequest{Entry: "e", Incarnation: 3, Config: config}, &request)
	g.Expect(request).To(Equal(session.HelloRequest{Entry: "e", Incarnation: 3, Config: config}),
		"an old entry gets the configuration with the reply: OmitConfig is not set")

	var oldRequest oldHelloRequest
	transcode(g, session.HelloRequest{Entry: "e", Incarnation: 3, ConfigVersion: 7, OmitConfig: true}, &oldRequest)
	g.Expect(oldRequest).To(Equal(oldHelloRequest{Entry: "e", Incarnation: 3}), "an old agent replies with its configuration")

	var reply session.HelloReply
	transcode(g, oldHelloReply{Agent: "a", Config: config}, &reply)
	g.Expect(reply.Config).To(Equal(config))
	g.Expect(reply.ConfigVersion).To(BeZero(), "Agent.Config is not called at an old agent")

	var oldReply oldHelloReply
	transcode(g, session.HelloReply{Agent: "a", Config: config, ConfigVersion: 7}, &oldReply)
	g.Expect(oldReply).To(Equal(oldHelloReply{Agent: "a", Config: config}))
}

func TestIdentityBetweenOldAndNewBuilds(t *testing.T) {
	g := NewWithT(t)
	type oldIdentity struct {
		Service  string
		Server   string
		Labels   []string
		Capacity int
	}
	var identity session.Identity
	transcode(g, oldIdentity{Service: "s", Server: "1", Capacity: 5}, &identity)
	g.Expect(identity).To(Equal(session.Identity{Service: "s", Server: "1", Capacity: 5}), "memory and GPUs are unknown")
	var old oldIdentity
	transcode(g, session.Identity{Service: "s", Server: "1", Capacity: 5, MemMB: 7, GPU: 1}, &old)
	g.Expect(old).To(Equal(oldIdentity{Service: "s", Server: "1", Capacity: 5}))
}

func TestProcessBetweenOldAndNewBuilds(t *testing.T) {
	g := NewWithT(t)
	type oldProcess struct {
		Name        string              `json:"name"`
		Role        string              `json:"role"`
		Addr        string              `json:"addr"`
		Incarnation structs.Incarnation `json:"incarnation"`
	}
	old := oldProcess{Name: "a", Role: session.RoleAgent, Addr: "10.0.0.1:1", Incarnation: 3}
	var process session.Process
	transcode(g, old, &process)
	g.Expect(process).To(Equal(session.Process{Name: "a", Role: session.RoleAgent, Addr: "10.0.0.1:1", Incarnation: 3}), "agents of old builds are one group")
	var decoded oldProcess
	transcode(g, session.Process{Name: "a", Role: session.RoleAgent, Addr: "10.0.0.1:1", Incarnation: 3, Service: "s"}, &decoded)
	g.Expect(decoded).To(Equal(old))

	text, err := json.Marshal(session.Process{Name: "a", Incarnation: 3, Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	decoded = oldProcess{}
	g.Expect(json.Unmarshal(text, &decoded)).To(Succeed(), "records on the store")
	g.Expect(decoded).To(Equal(oldProcess{Name: "a", Incarnation: 3}))
}

// The messages of the builds before agents reported crashes.
type (
	oldJobPart struct {
		Job, Spec, Service string
		Tasks              []session.Placement
	}
	oldState struct {
		Seq   uint64
		Ready bool
	}
)

func TestCrashesBetweenOldAndNewBuilds(t *testing.T) {
	g := NewWithT(t)
	var part session.JobPart
	transcode(g, oldJobPart{Job: "j", Service: "s"}, &part)
	g.Expect(part).To(Equal(session.JobPart{Job: "j", Service: "s"}), "a task of an old entry has no queue")
	var old oldJobPart
	transcode(g, session.JobPart{Job: "j", Queue: "q", Service: "s"}, &old)
	g.Expect(old).To(Equal(oldJobPart{Job: "j", Service: "s"}))

	var state session.State
	transcode(g, oldState{Seq: 3, Ready: true}, &state)
	g.Expect(state).To(Equal(session.State{Seq: 3, Ready: true}), "an old agent reports no crashes")
	var oldS oldState
	transcode(g, session.State{Seq: 3, Ready: true, Crashes: []session.Crash{{Run: 7, Tasks: []session.LostTask{{Job: "j"}}}}}, &oldS)
	g.Expect(oldS).To(Equal(oldState{Seq: 3, Ready: true}))
}

// The messages of the builds before agents read the operators' topic.
type (
	oldPollRequest struct {
		Echo       session.ClockReading
		Seen       uint64
		Evacuation session.Evacuation
	}
	oldPollReply struct {
		Reports []session.Report
		State   session.State
	}
)

// Guards against agents that read the topic because an entry of an old build does not say
// that it hears it, and against polls that one of the builds cannot decode.
func TestTopicUnheardBetweenOldAndNewBuilds(t *testing.T) {
	g := NewWithT(t)
	known := session.Evacuation{Version: 7, Zones: []string{"a"}}
	var request session.PollRequest
	transcode(g, oldPollRequest{Seen: 3, Evacuation: known}, &request)
	g.Expect(request).To(Equal(session.PollRequest{Seen: 3, Evacuation: known}), "an old entry counts as one that hears the topic")
	var oldRequest oldPollRequest
	transcode(g, session.PollRequest{Seen: 3, Evacuation: known, TopicUnheard: 3_000_000_000}, &oldRequest)
	g.Expect(oldRequest).To(Equal(oldPollRequest{Seen: 3, Evacuation: known}))

	var reply session.PollReply
	transcode(g, oldPollReply{State: session.State{Seq: 4}}, &reply)
	g.Expect(reply).To(Equal(session.PollReply{State: session.State{Seq: 4}}), "an old agent reports no evacuations")
	var oldReply oldPollReply
	transcode(g, session.PollReply{State: session.State{Seq: 4}, Evacuation: known}, &oldReply)
	g.Expect(oldReply).To(Equal(oldPollReply{State: session.State{Seq: 4}}))

	var hello session.HelloRequest
	transcode(g, oldHelloRequest{Entry: "e"}, &hello)
	g.Expect(hello.TopicUnheard).To(BeZero())
	var oldHello oldHelloRequest
	transcode(g, session.HelloRequest{Entry: "e", TopicUnheard: 3_000_000_000}, &oldHello)
	g.Expect(oldHello).To(Equal(oldHelloRequest{Entry: "e"}))
}

// The messages of the builds before a cancel held for the job at all processes.
type (
	oldOrderRequest struct {
		Echo  session.ClockReading
		Start []session.JobPart
		Stop  []uint64
	}
	oldOrderReply       struct{ State oldState }
	oldPollReportsReply struct{ Reports []session.Report }
	oldExchangeRequest  struct{ ConfigVersion int64 }
	oldExchangeReply    struct{ ConfigVersion int64 }
)

// Guards against messages with cancels that the other build cannot decode, and against an
// agent of an old build that counts as having taken a cancel.
func TestCancelsBetweenOldAndNewBuilds(t *testing.T) {
	g := NewWithT(t)
	canceled := []session.Cancel{{Job: "j", Queue: "q", AgoMs: 3}}
	var order oldOrderRequest
	transcode(g, session.OrderRequest{Stop: []uint64{4}, Cancels: canceled}, &order)
	g.Expect(order).To(Equal(oldOrderRequest{Stop: []uint64{4}}))
	var reply session.OrderReply
	transcode(g, oldOrderReply{State: oldState{Seq: 3}}, &reply)
	g.Expect(reply).To(Equal(session.OrderReply{State: session.State{Seq: 3}}), "an old agent takes no cancel")
	var oldReply oldOrderReply
	transcode(g, session.OrderReply{State: session.State{Seq: 3}, Cancels: 1}, &oldReply)
	g.Expect(oldReply).To(Equal(oldOrderReply{State: oldState{Seq: 3}}))

	var poll oldPollReportsReply
	transcode(g, session.PollReply{Reports: []session.Report{{ID: 1}}, Cancels: canceled}, &poll)
	g.Expect(poll).To(Equal(oldPollReportsReply{Reports: []session.Report{{ID: 1}}}))
	var hello oldHelloReply
	transcode(g, session.HelloReply{Agent: "a", Cancels: canceled}, &hello)
	g.Expect(hello).To(Equal(oldHelloReply{Agent: "a"}))

	var exchange oldExchangeRequest
	transcode(g, session.ExchangeRequest{ConfigVersion: 2, WantCancels: true}, &exchange)
	g.Expect(exchange).To(Equal(oldExchangeRequest{ConfigVersion: 2}))
	var known oldExchangeReply
	transcode(g, session.ExchangeReply{ConfigVersion: 2, Cancels: canceled}, &known)
	g.Expect(known).To(Equal(oldExchangeReply{ConfigVersion: 2}))
}

// Guards against a task of an old entry that is refused for requirements that it does not
// state, and against an old agent that does not take the tasks of a new entry.
func TestRequirementsOfTasksBetweenOldAndNewBuilds(t *testing.T) {
	g := NewWithT(t)
	var part session.JobPart
	transcode(g, oldJobPart{Job: "j", Service: "s", Tasks: []session.Placement{{ID: 1}}}, &part)
	g.Expect(part).To(Equal(session.JobPart{Job: "j", Service: "s", Tasks: []session.Placement{{ID: 1}}}), "nothing more is checked")

	var old oldJobPart
	transcode(g, session.JobPart{Job: "j", Service: "s", RequiredLabel: "a", MaxPerServer: 2, ConfigVersion: 7, Tasks: []session.Placement{{ID: 1}}}, &old)
	g.Expect(old).To(Equal(oldJobPart{Job: "j", Service: "s", Tasks: []session.Placement{{ID: 1}}}))
}

// Guards against states of old agents that count as old because these do not report for how
// long they have held a poll.
func TestHeldBetweenOldAndNewBuilds(t *testing.T) {
	g := NewWithT(t)
	var poll session.PollReply
	transcode(g, oldPollReply{State: session.State{Seq: 4}}, &poll)
	g.Expect(poll.Held).To(BeZero())
	var oldPoll oldPollReply
	transcode(g, session.PollReply{State: session.State{Seq: 4}, Held: 5}, &oldPoll)
	g.Expect(oldPoll).To(Equal(oldPollReply{State: session.State{Seq: 4}}))
	var hello session.HelloReply
	transcode(g, oldHelloReply{Agent: "a"}, &hello)
	g.Expect(hello.Held).To(BeZero())
	var oldHello oldHelloReply
	transcode(g, session.HelloReply{Agent: "a", Held: 5}, &oldHello)
	g.Expect(oldHello).To(Equal(oldHelloReply{Agent: "a"}))
}

// Guards against subsets that change because entries of old builds do not announce their
// processor time.
func TestProcessorsBetweenOldAndNewBuilds(t *testing.T) {
	g := NewWithT(t)
	type oldProcess struct {
		Name    string `json:"name"`
		Service string `json:"service,omitempty"`
	}
	var process session.Process
	transcode(g, oldProcess{Name: "e"}, &process)
	g.Expect(process).To(Equal(session.Process{Name: "e"}))
	var old oldProcess
	transcode(g, session.Process{Name: "e", Zone: "a", Processors: 0.2}, &old)
	g.Expect(old).To(Equal(oldProcess{Name: "e"}))
	text, err := json.Marshal(session.Process{Name: "e"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).NotTo(Or(ContainSubstring("zone"), ContainSubstring("processors")))
}
