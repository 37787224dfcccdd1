package platform_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/test/crowd"
)

const (
	// reservedDescriptors of each process are not for sockets.
	reservedDescriptors = 200
	// legalBodyBytes is the largest body that the configuration allows.
	legalBodyBytes = 262144
	// crowdHold is how long a crowd stays after all of its connections have sent what they send.
	crowdHold = 3 * time.Second
	// crowdPatience bounds the wait for a crowd to be connected, and for an ordinary answer.
	crowdPatience  = 60 * time.Second
	ordinaryPeriod = 100 * time.Millisecond
	dialTimeout    = 5 * time.Second
)

func requestHead(method, path, proto, fields string) []byte {
	return fmt.Appendf(nil, "%s %s %s\r\nHost: a.example\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\n%s\r\n", method, path, proto, fields)
}

// submit sends the head of a submission of the connection's own job.
func submit(c *crowd.Conn, fields string) bool {
	return c.Send(requestHead(http.MethodPost, "/holds/"+c.Job, "HTTP/1.1", fields))
}

func lengthField(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// paddedJob returns the body of an ordinary job, padded to n bytes by a field that has no meaning.
func paddedJob(n int) []byte {
	const job = `{"spec":"10,10,ok","bestEffort":true,"steps":[{"replicas":1,"cpu":10,"memMb":16,"estimateMs":10}],"padding":""}`
	return []byte(strings.Replace(job, `"padding":"`, `"padding":"`+strings.Repeat("x", n-len(job)), 1))
}

// emptySteps returns the body of a job of as many steps as fit into a legal body.
func emptySteps() []byte {
	const head, step, tail = `{"spec":"10,10,ok","bestEffort":true,"steps":[`, `{},`, `{}]}`
	return []byte(head + strings.Repeat(step, (legalBodyBytes-len(head)-len(tail))/len(step)) + tail)
}

// expandingBodies are complete bodies of legal size that take far more memory, or time, decoded than sent.
func expandingBodies() map[string][]byte {
	fill := func(head, unit, tail string) []byte {
		return []byte(head + strings.Repeat(unit, (legalBodyBytes-len(head)-len(tail))/len(unit)) + tail)
	}
	const job, end = `{"spec":"10,10,ok","bestEffort":true,"steps":[{"replicas":1,"cpu":10`, `}]}`
	return map[string][]byte{
		"empty steps":    emptySteps(),
		"null steps":     fill(`{"spec":"10,10,ok","bestEffort":true,"steps":[`, `null,`, `null]}`),
		"dependencies":   fill(job+`,"dependsOn":[`, `0,`, `0]`+end),
		"nested arrays":  []byte(job + `,"x":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + end),
		"long key":       fill(job+`,"`, `\u0041`, `":1`+end),
		"long spec":      fill(`{"spec":"10,10,ok,`, `\u4e2d`, `","bestEffort":true,"steps":[{"replicas":1}]}`),
		"huge number":    fill(job+`,"memMb":`, `9`, end),
		"repeated field": fill(`{`, `"steps":[{}],`, `"spec":"10,10,ok"}`),
		"many fields":    fill(`{"spec":"10,10,ok"`, `,"a":1`, `}`),
	}
}

// chunked sends the body of a submission in chunks of the given size without the chunk that ends it.
func chunked(size int) crowd.Client {
	body := paddedJob(legalBodyBytes)
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	text := b.Bytes()
	return func(c *crowd.Conn) {
		if submit(c, "Transfer-Encoding: chunked\r\n") {
			c.Send(text)
		}
	}
}

// short sends a request whose body lacks its last byte.
func short(method, path, proto string, body []byte, fields string) crowd.Client {
	return func(c *crowd.Conn) {
		path := strings.ReplaceAll(path, "JOB", c.Job)
		if c.Send(requestHead(method, path, proto, fields+lengthField(len(body)))) {
			c.Send(body[:len(body)-1])
		}
	}
}

func complete(body []byte) crowd.Client {
	return func(c *crowd.Conn) {
		if submit(c, lengthField(len(body))) {
			c.Send(body)
		}
	}
}

// pipelined sends requests without an end and never reads an answer.
func pipelined(c *crowd.Conn) {
	requests := []byte(strings.Repeat(string(requestHead(http.MethodGet, "/holds/"+c.Job, "HTTP/1.1", "")), 100))
	for c.Send(requests) {
		select {
		case <-c.Left:
			return
		default:
		}
	}
}

// callerCrowds are crowds at the address for callers.
func callerCrowds() map[string]crowd.Case {
	whole := paddedJob(legalBodyBytes)
	cases := map[string]crowd.Case{
		"bodies": crowd.Of(600, short("POST", "/holds/JOB", "HTTP/1.1", whole, "")),
		"bodies in pieces": crowd.Of(600, func(c *crowd.Conn) {
			submit(c, lengthField(len(whole)))
			c.SendPieces(whole[:len(whole)-1], 8<<10, 20*time.Millisecond)
		}),
		"large chunks":           crowd.Of(600, chunked(64<<10)),
		"small chunks":           crowd.Of(600, chunked(1)),
		"bodies, unread answers": crowd.Deaf(600, short("POST", "/holds/JOB", "HTTP/1.1", whole, "")),
		"bodies after 100":       crowd.Of(600, short("POST", "/holds/JOB", "HTTP/1.1", whole, "Expect: 100-continue\r\n")),
		"bodies without a queue": crowd.Of(600, short("POST", "/none/JOB", "HTTP/1.1", whole, "")),
		"bodies of cancels":      crowd.Of(600, short("DELETE", "/holds/JOB", "HTTP/1.1", whole, "")),
		"bodies of HTTP 1.0":     crowd.Of(600, short("POST", "/holds/JOB", "HTTP/1.0", whole, "")),
		"bodies of one job":      crowd.Of(600, short("POST", "/holds/00c0ffee", "HTTP/1.1", whole, "")),
		"small bodies":           crowd.Of(1200, short("POST", "/holds/JOB", "HTTP/1.1", paddedJob(4000), "")),
		"headers": crowd.Of(1200, func(c *crowd.Conn) {
			c.Send([]byte("POST /holds/" + c.Job + " HTTP/1.1\r\nHost: a.example\r\nX-Padding: " + strings.Repeat("x", 15<<10)))
		}),
		"silent":             crowd.Of(1200, func(*crowd.Conn) {}),
		"pipelined":          crowd.Deaf(300, pipelined),
		"bodies, persistent": crowd.Persistent(600, short("POST", "/holds/JOB", "HTTP/1.1", whole, "")),
		"silent, persistent": crowd.Persistent(1200, func(*crowd.Conn) {}),
		"pipelined by many":  crowd.Deaf(1200, pipelined),
		"large jobs":         crowd.Of(600, complete([]byte(`{"spec":"100,20,ok","bestEffort":true,"steps":[{"replicas":890,"cpu":20,"memMb":1,"estimateMs":100}]}`))),
	}
	cases["patient jobs"] = crowd.Of(600, func(c *crowd.Conn) {
		const body = `{"spec":"1000,4000,ok","bestEffort":true,"steps":[{"replicas":890,"cpu":4000,"memMb":1,"estimateMs":1000}]}`
		c.Send([]byte("POST /holds/" + c.Job + " HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 600000\r\n" + lengthField(len(body)) + "\r\n" + body))
	})
	for name, body := range expandingBodies() {
		cases["complete: "+name] = crowd.Of(300, complete(body))
	}
	return cases
}

// Guards against an entry that runs out of memory or descriptors because of clients at the address for callers.
func TestCrowdOfCallers(t *testing.T) {
	for name, c := range callerCrowds() {
		t.Run(name, func(t *testing.T) {
			s := newLimitedSystem(t, 1, 2, false, processLimits{*crowdMemory, *crowdDescriptors})
			s.withstand(t, s.entries[0], s.entries[0].jobsAddr, c, 1)
		})
	}
}

// heartbeatCrowds are crowds at the address of an agent for its server.
func heartbeatCrowds() map[string]crowd.Case {
	const largest = 64 << 10
	path := "/chestnuthollow/instances/server-1"
	expanding := `{"service":"booking","state":"ready","seq":1,"born":1,"clockMs":1,"capacity":{"cpu":1},"labels":[` + strings.Repeat(`"",`, largest/3-50) + `""]}`
	return map[string]crowd.Case{
		"bodies": crowd.Of(1200, short("PUT", path, "HTTP/1.1", bytes.Repeat([]byte(" "), largest), "")),
		"small chunks": crowd.Of(1200, func(c *crowd.Conn) {
			if c.Send(requestHead("PUT", path, "HTTP/1.1", "Transfer-Encoding: chunked\r\n")) {
				c.Send(bytes.Repeat([]byte("1\r\n \r\n"), largest-1))
			}
		}),
		"expanding bodies": crowd.Of(600, func(c *crowd.Conn) {
			if c.Send(requestHead("PUT", "/chestnuthollow/instances/server-none", "HTTP/1.1", lengthField(len(expanding)))) {
				c.Send([]byte(expanding))
			}
		}),
		"silent": crowd.Of(1200, func(*crowd.Conn) {}),
	}
}

// probeCrowds are crowds at an address that serves short requests without a body.
func probeCrowds() map[string]crowd.Case {
	return map[string]crowd.Case{
		"silent": crowd.Of(1200, func(*crowd.Conn) {}),
		"headers": crowd.Of(1200, func(c *crowd.Conn) {
			c.Send([]byte("GET /healthz HTTP/1.1\r\nHost: a.example\r\nX-Padding: " + strings.Repeat("x", 15<<10)))
		}),
		"bodies": crowd.Of(600, short("GET", "/healthz", "HTTP/1.1", paddedJob(legalBodyBytes), "")),
	}
}

// peerCrowds are crowds at the address of a process for the system's other processes.
func peerCrowds() map[string]crowd.Case {
	const length = 500_000
	message := append([]byte{0xfd, length >> 16, length >> 8 & 0xff, length & 0xff}, make([]byte, length-1)...)
	return map[string]crowd.Case{
		"messages": crowd.Of(1200, func(c *crowd.Conn) { c.Send(message) }),
		"silent":   crowd.Of(1200, func(*crowd.Conn) {}),
	}
}

// Guards against a process that runs out of memory or descriptors because of clients at one of its other
// addresses, and one that does not serve its callers and probes meanwhile.
func TestCrowdAtOtherAddresses(t *testing.T) {
	entry := func(s *system) *process { return s.entries[0] }
	agent := func(s *system) *process { return s.agents[0] }
	for _, l := range []struct {
		name    string
		process func(*system) *process
		addr    func(*process) string
		crowds  map[string]crowd.Case
	}{
		{"entry, ready", entry, func(p *process) string { return p.readyAddr }, probeCrowds()},
		{"entry, operators", entry, func(p *process) string { return p.opsAddr }, probeCrowds()},
		{"entry, peers", entry, func(p *process) string { return p.peerAddr }, peerCrowds()},
		{"agent, server", agent, func(p *process) string { return p.heartbeatAddr }, heartbeatCrowds()},
		{"agent, operators", agent, func(p *process) string { return p.opsAddr }, probeCrowds()},
		{"agent, peers", agent, func(p *process) string { return p.peerAddr }, peerCrowds()},
	} {
		for name, c := range l.crowds {
			t.Run(l.name+", "+name, func(t *testing.T) {
				s := newLimitedSystem(t, 1, 2, false, processLimits{*crowdMemory, *crowdDescriptors})
				p := l.process(s)
				s.withstand(t, p, l.addr(p), c, 1)
			})
		}
	}
}

var (
	// A process's resident memory and what its sockets have received and it has not read must stay below its
	// memory together.
	crowdMemory      = flag.Int("crowd.memory", 96, "memory of each process under a crowd, in `MiB`")
	crowdDescriptors = flag.Int("crowd.descriptors", 900, "limit of open descriptors of each process under a crowd")
	crowdFactor      = flag.Int("crowd.factor", 1, "factor of the connections of each crowd")

	crowdSeed = flag.Uint64("crowd.seed", 1, "first `seed` of TestCrowdOfAllKinds")
	crowdRuns = flag.Uint64("crowd.runs", 2, "number of seeds of TestCrowdOfAllKinds")
)

// mixedCrowd returns a crowd whose connections each do what one of all crowds at the address for callers does.
func mixedCrowd(seed uint64, connections int) crowd.Case {
	cases := callerCrowds()
	names := slices.Sorted(maps.Keys(cases))
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	return crowd.Of(connections, func(c *crowd.Conn) {
		mu.Lock()
		name := names[random.IntN(len(names))]
		pause := time.Duration(random.IntN(2000)) * time.Millisecond
		mu.Unlock()
		select {
		case <-c.Left:
			return
		case <-time.After(pause):
		}
		cases[name].Client(c)
	})
}

// Guards against processes that bear one kind of client, but not several that come in waves while the
// configuration changes and processes are stopped and started.
func TestCrowdOfAllKinds(t *testing.T) {
	for seed := *crowdSeed; seed < *crowdSeed+*crowdRuns; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			const waves, wave = 4, 400
			g := NewWithT(t)
			s := newLimitedSystem(t, 1, 2, false, processLimits{*crowdMemory, *crowdDescriptors})
			random := rand.New(rand.NewPCG(seed, 1))
			p := s.entries[0]
			ordinary := &ordinaryCaller{sys: s, name: fmt.Sprintf("%x", seed&0xfff)}
			g.Eventually(ordinary.isAnswered, crowdPatience, ordinaryPeriod).Should(BeTrue(), "in calm")
			usage := crowd.WatchUsage(p.cmd.Process.Pid)
			var crowds []*crowd.Crowd
			for i := range uint64(waves) {
				crowds = append(crowds, crowd.Start(p.jobsAddr, mixedCrowd(seed*waves+i, wave), seed*waves+i, s.recordRefusal))
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				switch random.IntN(4) {
				case 0:
					s.putConfig()
				case 1:
					agent := s.agents[random.IntN(len(s.agents))]
					agent.kill()
					agent.start()
				case 2:
					p.signalSeries(syscall.SIGHUP, syscall.SIGHUP)
				}
			}
			stopped := random.IntN(2) == 0
			if stopped {
				p.signalSeries(syscall.SIGTERM, syscall.SIGTERM)
				g.Expect(p.wait(2*graceSeconds*time.Second)).To(BeTrue(), "the process goes on: %s", p.logTail())
				checkUsage(t, usage.Stop())
				p.start()
				usage = crowd.WatchUsage(p.cmd.Process.Pid)
			}
			g.Eventually(ordinary.isAnswered, crowdPatience, ordinaryPeriod).Should(BeTrue(), "an ordinary caller beside the crowds: %v, %v; %s", crowds, ordinary, p.logTail())
			for _, c := range crowds {
				c.Leave()
			}
			g.Eventually(ordinary.isAnswered, crowdPatience, ordinaryPeriod).Should(BeTrue(), "an ordinary caller after the crowds")
			g.Eventually(func() bool { return s.answersProbes(p) }, crowdPatience, ordinaryPeriod).Should(BeTrue(), "probes after the crowds")
			t.Logf("answers %v, ordinary caller %v", crowds, ordinary)
			s.checkAgents(t)
			checkUsage(t, usage.Stop())
			g.Expect(p.wait(0)).To(BeFalse(), "the process has ended: %s", p.logTail())
			starts := 1
			if stopped {
				starts++
			}
			g.Expect(p.starts).To(HaveLen(starts))
		})
	}
}

// withstand plays a crowd at an address of a process and checks that the process bears it.
func (s *system) withstand(t *testing.T, p *process, addr string, c crowd.Case, seed uint64) {
	g := NewWithT(t)
	s.callerDeadline = 3 * time.Second
	ordinary := &ordinaryCaller{sys: s, name: fmt.Sprintf("%x", seed)}
	g.Eventually(ordinary.isAnswered, crowdPatience).Should(BeTrue(), "in calm")
	if len(s.entries) > 0 && addr == s.entries[0].jobsAddr {
		g.Expect(s.send(t.Context(), s.entries[0], "/holds/00ca1", paddedJob(legalBodyBytes)).code).To(Equal(http.StatusOK), "the largest legal body in calm")
	}
	c.Connections *= *crowdFactor
	usage := crowd.WatchUsage(p.cmd.Process.Pid)
	clients := crowd.Start(addr, c, seed, s.recordRefusal)
	if n := clients.AwaitSent(2 * crowdHold); n > 0 {
		t.Logf("%d clients still send", n)
	}
	end := time.Now().Add(crowdHold)
	g.Eventually(ordinary.isAnswered, crowdPatience, ordinaryPeriod).Should(BeTrue(), "an ordinary caller beside the crowd: %v", clients)
	g.Eventually(func() bool { return s.answersProbes(p) }, crowdPatience, ordinaryPeriod).Should(BeTrue(), "probes beside the crowd")
	time.Sleep(time.Until(end))
	clients.Leave()
	g.Eventually(ordinary.isAnswered, crowdPatience, ordinaryPeriod).Should(BeTrue(), "an ordinary caller after the crowd")
	g.Eventually(func() bool { return s.answersProbes(p) }, crowdPatience, ordinaryPeriod).Should(BeTrue(), "probes after the crowd")
	t.Logf("%d connections: answers %v", c.Connections, clients)
	checkUsage(t, usage.Stop())
	g.Expect(p.wait(0)).To(BeFalse(), "the process has ended: %s", p.logTail())
	g.Expect(p.starts).To(HaveLen(1))
	s.checkAgents(t)
}

// checkAgents checks the memory of the agents that run: what an entry takes from a crowd reaches them as
// orders.
func (s *system) checkAgents(t *testing.T) {
	for _, p := range s.agents {
		peak := crowd.UsageOf(p.cmd.Process.Pid)
		t.Logf("%s: %v", p.name, peak)
		NewWithT(t).Expect(peak.Resident>>10).To(BeNumerically("<", *crowdMemory<<10), "KiB of memory of %s: %v", p.name, peak)
	}
}

// checkUsage checks what a process has occupied.
func checkUsage(t *testing.T, peak crowd.Usage) {
	t.Log(peak)
	g := NewWithT(t)
	g.Expect(peak.Memory>>10).To(BeNumerically("<", *crowdMemory<<10), "KiB of memory: %v", peak)
	g.Expect(peak.Sockets).To(BeNumerically("<=", *crowdDescriptors-reservedDescriptors), "sockets: %v", peak)
}

// answersProbes reports whether the process answers the balancer's and the operators' probes on new
// connections.
func (s *system) answersProbes(p *process) bool {
	urls := []string{"http://" + p.opsAddr + "/healthz"}
	if p.readyAddr != "" {
		urls = append(urls, "http://"+p.readyAddr+"/chestnuthollow/ready")
	}
	for _, url := range urls {
		client := &http.Client{Timeout: dialTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get(url)
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// ordinaryCaller submits small jobs, each over a connection of its own.
type ordinaryCaller struct {
	sys  *system
	name string
	jobs int
	// answers counts the answers so far, by status and reason.
	answers map[string]int
}

// String returns the answers so far.
func (o *ordinaryCaller) String() string { return fmt.Sprint(o.answers) }

func (o *ordinaryCaller) count(answer string) {
	if o.answers == nil {
		o.answers = make(map[string]int)
	}
	o.answers[answer]++
}

// isAnswered submits a job and reports whether it was completed.
func (o *ordinaryCaller) isAnswered() bool {
	o.jobs++
	job := fmt.Sprintf("0d%s%04x", o.name, o.jobs)
	req, err := http.NewRequest(http.MethodPost, "http://"+o.sys.entries[0].jobsAddr+"/holds/"+job, bytes.NewReader(paddedJob(400)))
	if err != nil {
		return false
	}
	req.Host = "a.example"
	req.Header.Set("Deadline-Ms", "3000")
	client := &http.Client{Timeout: dialTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		o.count(err.Error())
		return false
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	o.count(fmt.Sprintf("%d %.60s %v", resp.StatusCode, text, err))
	o.sys.recordRefusal(job, resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

// recordRefusal records an answer that says that a job never runs.
func (s *system) recordRefusal(job string, status int) {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		s.invariants.refused(job, refusal{at: time.Now()})
	}
}
