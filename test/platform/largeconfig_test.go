package platform_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/standin/keyedstore"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// largeConfigQueues make a configuration of 800 KB, or 180 KB compressed.
const largeConfigQueues = 3500

// inForce reports whether the entry serves the queue of a version of the
// configuration.
func (s *system) inForce(p *process, version int) bool {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/only-%d/", p.jobsAddr, version), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "a.example"
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// agentConfigVersion returns the version that the agent at the address has.
func agentConfigVersion(t *testing.T, addr string) int64 {
	client, err := rpcconn.Dial(addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var reply session.ConfigReply
	if err := client.Call(structs.AgentService+".Config", &session.ConfigRequest{}, &reply); err != nil {
		t.Fatal(err)
	}
	return reply.Config.Version
}

// Guards against entries that keep an old configuration while the store is
// unavailable, and against sessions that end because a large configuration delays
// their messages: the read from an agent was given up after half a second.
func TestEntryReadsLargeConfigurationFromAgentOverSlowLink(t *testing.T) {
	g := NewWithT(t)
	const linkRate = 100_000 // bytes per second
	s := newSystem(t, 1, 1)
	v := s.putLargeConfig(largeConfigQueues)
	entry := s.entries[0]
	g.Eventually(func() bool { return s.inForce(entry, v) }, "5s", "50ms").Should(BeTrue())
	g.Eventually(func() int64 { return agentConfigVersion(t, s.proxies[0].target) }, "10s", "50ms").Should(BeEquivalentTo(v))

	s.store.SetMode(keyedstore.Unresponsive, 0)
	entry.kill()
	s.proxies[0].setRate(linkRate)
	entry.start()
	g.Eventually(entry.readyAgents, "5s", "50ms").Should(Equal(1))
	for end := time.Now().Add(15 * time.Second); !s.inForce(entry, v); time.Sleep(50 * time.Millisecond) {
		g.Expect(time.Now()).To(BeTemporally("<", end), "not in force: %s", entry.logTail())
		g.Expect(entry.readyAgents()).To(Equal(1), "session while the configuration is read")
	}
}

// Guards against entries without a configuration after a loss of all processes while
// the operators' topic is unavailable: configurations of more than 256 KB, the limit of
// a record, were not copied.
func TestLargeConfigSurvivesFullRestartWhileItsTopicIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 2, 1)
	v := s.putLargeConfig(largeConfigQueues)
	for _, p := range s.entries {
		g.Eventually(func() bool { return s.inForce(p, v) }, "5s", "50ms").Should(BeTrue())
		g.Eventually(p.logTail, "10s", "100ms").Should(MatchRegexp(`event=config_cop\w+ version=%d`, v))
	}
	s.store.SetTopicMode("keyed.op", keyedstore.Unavailable)
	s.restartAll()
	for _, p := range s.entries {
		g.Eventually(func() bool { return s.inForce(p, v) }, "10s", "50ms").Should(BeTrue())
	}
}
