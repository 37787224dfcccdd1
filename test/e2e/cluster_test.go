package e2e_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	serviceName = "faq"
	ownerTeam   = "kilimo"
	callerTeam  = "kariakoo"
	// waitTimeout limits every wait for an expected state.
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// anyAddr selects a free port.
const anyAddr = "127.0.0.1:0"

// cluster is one system of separate processes.
type cluster struct {
	t          *testing.T
	g          *WithT
	dir        string
	log        *daemon
	entriesMu  sync.Mutex // held while entries is changed, and by callers that read it meanwhile
	entries    []*daemon
	agents     []*daemon
	backends   []*daemon
	relays     []*relay
	recordPath string   // path of the file in which backend servers record starts
	program    []string // command of the daemon; nil for the built one
}

// entry returns one of the entries. Any index is valid, and consecutive ones go round
// all entries.
func (c *cluster) entry(i int) *daemon {
	c.entriesMu.Lock()
	defer c.entriesMu.Unlock()
	return c.entries[i%len(c.entries)]
}

// dropFirstEntry removes the first entry, which was stopped, from those that callers
// use.
func (c *cluster) dropFirstEntry() {
	c.entriesMu.Lock()
	defer c.entriesMu.Unlock()
	c.entries = c.entries[1:]
}

// daemon is a process that can be restarted at the same addresses.
type daemon struct {
	*process
	c        *cluster
	name     string
	httpAddr string
	rpcAddr  string
	launch   func(d *daemon) *process
}

func (d *daemon) url() string { return "http://" + d.httpAddr }

// startCluster starts the stand-ins, entries and agents, and waits until each
// has logged its start. It starts one stand-in backend server and agent for
// each slowness, the factor by which the server's tasks take longer.
func startCluster(t *testing.T, entries int, slowness ...float64) *cluster {
	t.Helper()
	c := &cluster{t: t, g: NewWithT(t), dir: t.TempDir()}
	c.recordPath = filepath.Join(c.dir, "starts")
	c.startLog()
	for i := range entries {
		c.startEntry(i)
	}
	for i, s := range slowness {
		c.startBackend(i, s)
		c.relays = append(c.relays, newRelay(t, c, agentName(i)))
		c.startAgent(i)
	}
	return c
}

func agentName(i int) string { return fmt.Sprintf("agent-%d", i+1) }

func (c *cluster) startLog() {
	c.log = &daemon{c: c, name: "log", httpAddr: anyAddr}
	c.log.launch = func(d *daemon) *process {
		return c.startStandin(d, standinLog, d.httpAddr)
	}
	c.log.startAndWait()
}

func (c *cluster) startBackend(i int, slowness float64) {
	s := &daemon{c: c, name: fmt.Sprintf("server-%d", i+1), httpAddr: anyAddr}
	s.launch = func(d *daemon) *process {
		return c.startStandin(d, standinBackend, d.httpAddr, d.name, c.recordPath, fmt.Sprint(slowness))
	}
	c.backends = append(c.backends, s)
	s.startAndWait()
}

func (c *cluster) startStandin(d *daemon, role string, args ...string) *process {
	self, err := os.Executable()
	c.g.Expect(err).NotTo(HaveOccurred())
	return start(c.t, d.name, []string{standinEnv + "=" + role}, self, args...)
}

func (c *cluster) startEntry(i int) {
	e := &daemon{c: c, name: fmt.Sprintf("entry-%d", i+1), httpAddr: anyAddr, rpcAddr: anyAddr}
	e.launch = func(d *daemon) *process {
		return c.startChestnuthollowd(d, "entry", map[string]string{
			"zone": "zone-a", "region": "region-1", "log_url": c.log.url(),
		})
	}
	c.entries = append(c.entries, e)
	e.startAndWait()
}

func (c *cluster) startAgent(i int) {
	a := &daemon{c: c, name: agentName(i), httpAddr: anyAddr, rpcAddr: anyAddr}
	a.launch = func(d *daemon) *process {
		return c.startChestnuthollowd(d, "agent", map[string]string{
			"service": serviceName, "team": ownerTeam, "zone": "zone-a", "region": "region-1",
			"backend_url": c.backends[i].url(), "balancer_url": c.relays[i].url(),
		})
	}
	c.agents = append(c.agents, a)
	a.startAndWait()
}

// startChestnuthollowd writes a settings file and starts the daemon with it.
func (c *cluster) startChestnuthollowd(d *daemon, role string, settings map[string]string) *process {
	settings["name"] = d.name
	settings["http_addr"] = d.httpAddr
	settings["rpc_addr"] = d.rpcAddr
	var text strings.Builder
	for key, value := range settings {
		fmt.Fprintf(&text, "%s = %q\n", key, value)
	}
	path := filepath.Join(c.dir, d.name+".toml")
	c.g.Expect(os.WriteFile(path, []byte(text.String()), 0o600)).To(Succeed())
	program := c.program
	if program == nil {
		program = []string{filepath.Join(binDir, "chestnuthollowd")}
	}
	return start(c.t, d.name, nil, program[0], append(program[1:len(program):len(program)], role, "--config", path)...)
}

var (
	httpAddrPattern = regexp.MustCompile(`\b(?:http_)?addr=(127\.0\.0\.1:[0-9]+)`)
	rpcAddrPattern  = regexp.MustCompile(`\brpc_addr=(127\.0\.0\.1:[0-9]+)`)
)

// startAndWait starts the process, at the addresses of its previous run if
// there was one, and waits for the log line that names its addresses.
func (d *daemon) startAndWait() {
	d.c.t.Helper()
	d.process = d.launch(d)
	d.c.g.Eventually(func(g Gomega) {
		line := startedLine(d.out.String())
		g.Expect(line).NotTo(BeEmpty())
		if d.httpAddr == anyAddr {
			d.setAddrs(line)
		}
	}, waitTimeout, pollInterval).Should(Succeed(), "%s did not log its start:\n%s", d.name, d.out)
}

// setAddrs sets the addresses chosen in the first run. It isn't called for
// later runs, which reuse them, because callers read the addresses
// concurrently.
func (d *daemon) setAddrs(line string) {
	d.httpAddr = httpAddrPattern.FindStringSubmatch(line)[1]
	if m := rpcAddrPattern.FindStringSubmatch(line); m != nil {
		d.rpcAddr = m[1]
	}
}

func startedLine(out string) string {
	for line := range strings.Lines(out) {
		if strings.Contains(line, "event=started") && strings.HasSuffix(line, "\n") {
			return line
		}
	}
	return ""
}

// restart kills the process and starts it again at the same addresses.
func (d *daemon) restart() {
	d.kill()
	d.startAndWait()
}

// waitUntilReady waits until the process reports that it is ready.
func (d *daemon) waitUntilReady() {
	d.c.t.Helper()
	client := http.Client{Timeout: 2 * time.Second}
	d.c.g.Eventually(func(g Gomega) {
		resp, err := client.Get(d.url() + "/readyz")
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	}, waitTimeout, pollInterval).Should(Succeed(), "%s is not ready", d.name)
}
