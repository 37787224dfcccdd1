package e2e_test

import (
	"bytes"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/test/crowd"
)

const (
	// Memory of an entry and an agent under a crowd, in MiB: the default of memory_mb, and what a node is to
	// spend on control.
	crowdEntryMB, crowdAgentMB = 256, 64
	// crowdDescriptors is the limit of open descriptors of each process.
	crowdDescriptors, reservedDescriptors = 900, 200
	crowdHold                             = 3 * time.Second
	probeTimeout                          = 5 * time.Second
	// largestPayloads are the bytes of payload of the largest job.
	largestPayloads = structs.MaxJobBytes
)

// largestJob returns the text of a job of the largest size, as callers send it.
func largestJob() []byte {
	task := `{"kind":"preview","content_type":"application/json","payload":"` + strings.Repeat("QUFB", structs.MaxPayloadBytes/3) + `"},`
	n := largestPayloads / structs.MaxPayloadBytes
	return []byte(`{"service":"none","team":"` + callerTeam + `","tasks":[` + strings.TrimSuffix(strings.Repeat(task, n), ",") + `]}`)
}

func crowdHead(method, path, fields string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: a.example\r\nContent-Type: application/json\r\n%s\r\n", method, path, fields)
}

func lengthField(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// shortOf sends a submission without its last bytes.
func shortOf(body []byte, without int) crowd.Client {
	return func(c *crowd.Conn) {
		if c.Send(crowdHead(http.MethodPost, "/v1/jobs", lengthField(len(body)))) {
			c.Send(body[:len(body)-without])
		}
	}
}

// silentAndHeaders are clients that send no whole request.
func silentAndHeaders(cases map[string]crowd.Case) map[string]crowd.Case {
	cases["silent"] = crowd.Of(1200, func(*crowd.Conn) {})
	cases["headers"] = crowd.Of(1200, func(c *crowd.Conn) {
		c.Send([]byte("GET /healthz HTTP/1.1\r\nHost: a.example\r\nX-Padding: " + strings.Repeat("x", 15<<10)))
	})
	return cases
}

func entryCrowds() map[string]crowd.Case {
	whole := largestJob()
	const fill = `{"service":"none","team":"t","tasks":[`
	emptyTasks := []byte(fill + strings.Repeat("{},", (len(whole)-len(fill))/3-2) + "{}]}")
	return silentAndHeaders(map[string]crowd.Case{
		"bodies": crowd.Of(60, shortOf(whole, 1)),
		"chunked bodies": crowd.Of(60, func(c *crowd.Conn) {
			c.Send(crowdHead(http.MethodPost, "/v1/jobs", "Transfer-Encoding: chunked\r\n"))
			for part := range slices.Chunk(whole[:len(whole)-1], 64<<10) {
				if !c.Send(fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)) {
					return
				}
			}
		}),
		"empty tasks":      crowd.Of(4, shortOf(emptyTasks, 0)),
		"short of a token": crowd.Of(60, shortOf(bytes.Repeat([]byte(" "), len(whole)), 1)),
		"small bodies":     crowd.Of(1200, shortOf(bytes.Repeat([]byte(" "), 4000), 1)),
	})
}

// peerMessages are connections that each send all but the last byte of a message.
func peerMessages(connections, length int) map[string]crowd.Case {
	message := append([]byte{0xfd, byte(length >> 16), byte(length >> 8), byte(length)}, make([]byte, length-1)...)
	return map[string]crowd.Case{"messages": crowd.Of(connections, func(c *crowd.Conn) { c.Send(message) }), "silent": crowd.Of(1200, func(*crowd.Conn) {})}
}

// Guards against an entry or agent that runs out of memory or descriptors because of clients at one of its
// addresses, and against one that does not serve its callers and operators meanwhile.
func TestCrowdAtStandAloneProcesses(t *testing.T) {
	entry := func(c *cluster) *daemon { return c.entries[0] }
	agent := func(c *cluster) *daemon { return c.agents[0] }
	http := func(d *daemon) string { return d.httpAddr }
	rpc := func(d *daemon) string { return d.rpcAddr }
	for _, l := range []struct {
		name     string
		daemon   func(*cluster) *daemon
		addr     func(*daemon) string
		memoryMB int64
		crowds   map[string]crowd.Case
	}{
		{"entry, callers", entry, http, crowdEntryMB, entryCrowds()},
		{"entry, peers", entry, rpc, crowdEntryMB, peerMessages(60, 15_000_000)},
		{"agent, operators", agent, http, crowdAgentMB, silentAndHeaders(map[string]crowd.Case{})},
		{"agent, peers", agent, rpc, crowdAgentMB, peerMessages(1200, 500_000)},
	} {
		for name, clients := range l.crowds {
			t.Run(l.name+", "+name, func(t *testing.T) {
				g := NewWithT(t)
				c := startLimitedCluster(t)
				d := l.daemon(c)
				g.Eventually(c.isAnswered, waitTimeout, pollInterval).Should(BeTrue(), "in calm")
				usage := crowd.WatchUsage(d.cmd.Process.Pid)
				clients := crowd.Start(l.addr(d), clients, 1, func(string, int) {})
				unsent := clients.AwaitSent(2 * crowdHold)
				end := time.Now().Add(crowdHold)
				g.Eventually(c.isAnswered, waitTimeout, pollInterval).Should(BeTrue(), "a caller beside the crowd")
				g.Eventually(d.isHealthy, waitTimeout, pollInterval).Should(BeTrue(), "operators beside the crowd")
				time.Sleep(time.Until(end))
				clients.Leave()
				g.Eventually(c.isAnswered, waitTimeout, pollInterval).Should(BeTrue(), "a caller after the crowd")
				g.Expect(d.done).NotTo(BeClosed())
				peak := usage.Stop()
				t.Logf("%v; answers %v, %d still send", peak, clients, unsent)
				g.Expect(peak.Memory>>10).To(BeNumerically("<", l.memoryMB<<10), "KiB of memory: %v", peak)
				g.Expect(peak.Sockets).To(BeNumerically("<=", crowdDescriptors-reservedDescriptors), "sockets: %v", peak)
			})
		}
	}
}

// startLimitedCluster starts an entry and an agent whose descriptors are limited.
func startLimitedCluster(t *testing.T) *cluster {
	c := startCluster(t, 1, 1)
	for _, d := range []*daemon{c.entries[0], c.agents[0]} {
		d.kill()
		launch := d.launch
		program := filepath.Join(binDir, "chestnuthollowd")
		d.launch = func(d *daemon) *process {
			c.program = []string{"sh", "-c", `ulimit -n "$1" && shift && exec "$@"`, "sh", fmt.Sprint(crowdDescriptors), program}
			defer func() { c.program = nil }()
			return launch(d)
		}
		d.startAndWait()
		d.waitUntilReady()
	}
	c.publish("0", "")
	c.waitForAgents(c.entries[0], 1)
	return c
}

// isAnswered submits a job and reports whether it was completed.
func (c *cluster) isAnswered() bool {
	k := newCaller(c, &history{})
	k.http = http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var answer structs.JobAnswer
	code, _ := k.do(http.MethodPost, c.entries[0].url()+"/v1/jobs?wait=4s", newSubmission(fmt.Sprint(time.Now().UnixNano()), 1, 1).spec, &answer)
	return code == http.StatusOK && answer.State == structs.JobComplete
}

// isHealthy reports whether the process answers operators.
func (d *daemon) isHealthy() bool {
	client := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(d.url() + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
