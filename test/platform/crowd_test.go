package platform_test

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// crowdMemoryMB is the memory of each process under a crowd, in MiB. Its resident memory and what its
	// sockets have received and it has not read must stay below that together.
	crowdMemoryMB = 96
	// crowdDescriptors is the limit of open descriptors of each process, of which reservedDescriptors are not
	// for sockets.
	crowdDescriptors, reservedDescriptors = 900, 200
	// legalBodyBytes is the largest body that the configuration allows.
	legalBodyBytes = 262144
	// crowdHold is how long a crowd stays after all of its connections have sent what they send.
	crowdHold = 3 * time.Second
	// crowdPatience bounds the wait for a crowd to be connected, and for an ordinary answer.
	crowdPatience  = 60 * time.Second
	crowdSample    = 20 * time.Millisecond
	ordinaryPeriod = 100 * time.Millisecond
	dialTimeout    = 5 * time.Second
)

// client is what one connection of a crowd sends. It returns when it has sent all, or at the first error.
type client func(c *crowdConn)

// crowdConn is a connection of a crowd.
type crowdConn struct {
	net.Conn
	random *rand.Rand
	job    string // its own job
	stop   <-chan struct{}
}

func (c *crowdConn) head(method, path, proto, fields string) string {
	return fmt.Sprintf("%s %s %s\r\nHost: a.example\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\n%s\r\n", method, path, proto, fields)
}

// submit sends the head of a submission of the connection's own job.
func (c *crowdConn) submit(fields string) bool {
	return c.send([]byte(c.head(http.MethodPost, "/holds/"+c.job, "HTTP/1.1", fields)))
}

func (c *crowdConn) send(b []byte) bool {
	_, err := c.Write(b)
	return err == nil
}

// sendPieces sends b in pieces with a pause after each.
func (c *crowdConn) sendPieces(b []byte, size int, pause time.Duration) {
	for len(b) > 0 {
		n := min(size, len(b))
		if !c.send(b[:n]) {
			return
		}
		b = b[n:]
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
	}
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
func chunked(size int) client {
	body := paddedJob(legalBodyBytes)
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	text := b.Bytes()
	return func(c *crowdConn) {
		if c.submit("Transfer-Encoding: chunked\r\n") {
			c.send(text)
		}
	}
}

// short sends a request whose body lacks its last byte.
func short(method, path, proto string, body []byte, fields string) client {
	return func(c *crowdConn) {
		path := strings.ReplaceAll(path, "JOB", c.job)
		if c.send([]byte(c.head(method, path, proto, fields+lengthField(len(body))))) {
			c.send(body[:len(body)-1])
		}
	}
}

func complete(body []byte) client {
	return func(c *crowdConn) {
		if c.submit(lengthField(len(body))) {
			c.send(body)
		}
	}
}

// pipelined sends requests without an end and never reads an answer.
func pipelined(c *crowdConn) {
	requests := []byte(strings.Repeat(c.head(http.MethodGet, "/holds/"+c.job, "HTTP/1.1", ""), 100))
	for c.send(requests) {
		select {
		case <-c.stop:
			return
		default:
		}
	}
}

// crowdCase is a crowd at one listener.
type crowdCase struct {
	connections int
	client      client
	// deaf clients never read.
	deaf bool
}

// Crowds at the address for callers.
func callerCrowds() map[string]crowdCase {
	whole := paddedJob(legalBodyBytes)
	cases := map[string]crowdCase{
		"bodies": {600, short("POST", "/holds/JOB", "HTTP/1.1", whole, ""), false},
		"bodies in pieces": {600, func(c *crowdConn) {
			c.submit(lengthField(len(whole)))
			c.sendPieces(whole[:len(whole)-1], 8<<10, 20*time.Millisecond)
		}, false},
		"large chunks":           {600, chunked(64 << 10), false},
		"small chunks":           {600, chunked(1), false},
		"bodies, unread answers": {600, short("POST", "/holds/JOB", "HTTP/1.1", whole, ""), true},
		"bodies after 100":       {600, short("POST", "/holds/JOB", "HTTP/1.1", whole, "Expect: 100-continue\r\n"), false},
		"bodies without a queue": {600, short("POST", "/none/JOB", "HTTP/1.1", whole, ""), false},
		"bodies of cancels":      {600, short("DELETE", "/holds/JOB", "HTTP/1.1", whole, ""), false},
		"bodies of HTTP 1.0":     {600, short("POST", "/holds/JOB", "HTTP/1.0", whole, ""), false},
		"bodies of one job":      {600, short("POST", "/holds/00c0ffee", "HTTP/1.1", whole, ""), false},
		"small bodies":           {1200, short("POST", "/holds/JOB", "HTTP/1.1", paddedJob(4000), ""), false},
		"headers": {1200, func(c *crowdConn) {
			c.send([]byte("POST /holds/" + c.job + " HTTP/1.1\r\nHost: a.example\r\nX-Padding: " + strings.Repeat("x", 15<<10)))
		}, false},
		"silent":     {1200, func(*crowdConn) {}, false},
		"pipelined":  {300, pipelined, true},
		"large jobs": {600, complete([]byte(`{"spec":"100,20,ok","bestEffort":true,"steps":[{"replicas":890,"cpu":20,"memMb":1,"estimateMs":100}]}`)), false},
	}
	cases["patient jobs"] = crowdCase{600, func(c *crowdConn) {
		const body = `{"spec":"1000,4000,ok","bestEffort":true,"steps":[{"replicas":890,"cpu":4000,"memMb":1,"estimateMs":1000}]}`
		c.send([]byte("POST /holds/" + c.job + " HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 600000\r\n" + lengthField(len(body)) + "\r\n" + body))
	}, false}
	for name, body := range expandingBodies() {
		cases["complete: "+name] = crowdCase{300, complete(body), false}
	}
	return cases
}

// Guards against an entry that runs out of memory or descriptors because of clients at the address for callers.
func TestCrowdOfCallers(t *testing.T) {
	for name, c := range callerCrowds() {
		t.Run(name, func(t *testing.T) {
			s := newLimitedSystem(t, 1, 2, false, processLimits{crowdMemoryMB, crowdDescriptors})
			s.withstand(t, s.entries[0], s.entries[0].jobsAddr, c, 1)
		})
	}
}

// heartbeatCrowds are crowds at the address of an agent for its server.
func heartbeatCrowds() map[string]crowdCase {
	const largest = 64 << 10
	path := "/chestnuthollow/instances/server-1"
	expanding := `{"service":"booking","state":"ready","seq":1,"born":1,"clockMs":1,"capacity":{"cpu":1},"labels":[` + strings.Repeat(`"",`, largest/3-50) + `""]}`
	return map[string]crowdCase{
		"bodies": {1200, short("PUT", path, "HTTP/1.1", bytes.Repeat([]byte(" "), largest), ""), false},
		"small chunks": {1200, func(c *crowdConn) {
			if c.send([]byte(c.head("PUT", path, "HTTP/1.1", "Transfer-Encoding: chunked\r\n"))) {
				c.send(bytes.Repeat([]byte("1\r\n \r\n"), largest-1))
			}
		}, false},
		"expanding bodies": {600, func(c *crowdConn) {
			if c.send([]byte(c.head("PUT", "/chestnuthollow/instances/server-none", "HTTP/1.1", lengthField(len(expanding))))) {
				c.send([]byte(expanding))
			}
		}, false},
		"silent": {1200, func(*crowdConn) {}, false},
	}
}

// probeCrowds are crowds at an address that serves short requests without a body.
func probeCrowds() map[string]crowdCase {
	return map[string]crowdCase{
		"silent": {1200, func(*crowdConn) {}, false},
		"headers": {1200, func(c *crowdConn) {
			c.send([]byte("GET /healthz HTTP/1.1\r\nHost: a.example\r\nX-Padding: " + strings.Repeat("x", 15<<10)))
		}, false},
		"bodies": {600, short("GET", "/healthz", "HTTP/1.1", paddedJob(legalBodyBytes), ""), false},
	}
}

// peerCrowds are crowds at the address of a process for the system's other processes.
func peerCrowds() map[string]crowdCase {
	const length = 500_000
	message := append([]byte{0xfd, length >> 16, length >> 8 & 0xff, length & 0xff}, make([]byte, length-1)...)
	return map[string]crowdCase{
		"messages": {1200, func(c *crowdConn) { c.send(message) }, false},
		"silent":   {1200, func(*crowdConn) {}, false},
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
		crowds  map[string]crowdCase
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
				s := newLimitedSystem(t, 1, 2, false, processLimits{crowdMemoryMB, crowdDescriptors})
				p := l.process(s)
				s.withstand(t, p, l.addr(p), c, 1)
			})
		}
	}
}

// withstand plays a crowd at an address of a process and checks that the process bears it.
func (s *system) withstand(t *testing.T, p *process, addr string, c crowdCase, seed uint64) {
	g := NewWithT(t)
	s.callerDeadline = 3 * time.Second
	ordinary := &ordinaryCaller{sys: s, name: fmt.Sprintf("%x", seed)}
	g.Eventually(ordinary.isAnswered, crowdPatience).Should(BeTrue(), "in calm")
	if len(s.entries) > 0 && addr == s.entries[0].jobsAddr {
		g.Expect(s.send(t.Context(), s.entries[0], "/holds/00ca1", paddedJob(legalBodyBytes)).code).To(Equal(http.StatusOK), "the largest legal body in calm")
	}
	usage := watchUsage(p)
	crowd := startCrowd(s, addr, c, seed)
	crowd.awaitSent(t)
	end := time.Now().Add(crowdHold)
	g.Eventually(ordinary.isAnswered, crowdPatience, ordinaryPeriod).Should(BeTrue(), "an ordinary caller beside the crowd: %v", crowd)
	g.Eventually(func() bool { return s.answersProbes(p) }, crowdPatience, ordinaryPeriod).Should(BeTrue(), "probes beside the crowd")
	time.Sleep(time.Until(end))
	crowd.leave()
	g.Eventually(ordinary.isAnswered, crowdPatience, ordinaryPeriod).Should(BeTrue(), "an ordinary caller after the crowd")
	g.Eventually(func() bool { return s.answersProbes(p) }, crowdPatience, ordinaryPeriod).Should(BeTrue(), "probes after the crowd")
	peak := usage.stop()
	t.Logf("%d connections: %v; answers %v", c.connections, peak, crowd)
	g.Expect(p.wait(0)).To(BeFalse(), "the process has ended: %s", p.logTail())
	g.Expect(p.starts).To(HaveLen(1))
	g.Expect(peak.memory>>10).To(BeNumerically("<", crowdMemoryMB<<10), "KiB of memory: %v", peak)
	g.Expect(peak.sockets).To(BeNumerically("<=", crowdDescriptors-reservedDescriptors), "sockets: %v", peak)
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
		return false
	}
	resp.Body.Close()
	o.sys.recordRefusal(job, resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

// recordRefusal records an answer that says that a job never runs.
func (s *system) recordRefusal(job string, status int) {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		s.invariants.refused(job, refusal{at: time.Now()})
	}
}

// crowd is a set of connections that stay open until leave.
type crowd struct {
	sys     *system
	left    chan struct{}
	clients sync.WaitGroup
	sent    chan struct{} // closed when all clients have sent what they send
	unsent  atomic.Int64

	mu      sync.Mutex
	answers map[string]int // by status, or how the connection ended
	conns   []net.Conn
}

// crowdDials bounds the connections that are being opened at once.
const crowdDials = 64

func startCrowd(s *system, addr string, c crowdCase, seed uint64) *crowd {
	cr := &crowd{sys: s, left: make(chan struct{}), sent: make(chan struct{}), answers: make(map[string]int)}
	cr.unsent.Store(int64(c.connections))
	dials := make(chan struct{}, crowdDials)
	for i := range c.connections {
		cr.clients.Go(func() {
			defer func() {
				if cr.unsent.Add(-1) == 0 {
					close(cr.sent)
				}
			}()
			dials <- struct{}{}
			conn, err := net.DialTimeout("tcp", addr, dialTimeout)
			<-dials
			if err != nil {
				cr.count("no connection")
				return
			}
			cr.mu.Lock()
			cr.conns = append(cr.conns, conn)
			cr.mu.Unlock()
			job := fmt.Sprintf("c%03x%012x", seed&0xfff, i)
			if !c.deaf {
				cr.clients.Go(func() { cr.readAnswer(conn, job) })
			}
			c.client(&crowdConn{Conn: conn, random: rand.New(rand.NewPCG(seed, uint64(i))), job: job, stop: cr.left})
		})
	}
	return cr
}

func (cr *crowd) readAnswer(conn net.Conn, job string) {
	r := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(r, nil)
		switch {
		case err != nil:
			cr.count("closed")
			return
		case resp.StatusCode >= http.StatusOK:
			cr.sys.recordRefusal(job, resp.StatusCode)
			cr.count(strconv.Itoa(resp.StatusCode))
			return
		}
	}
}

func (cr *crowd) count(answer string) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.answers[answer]++
}

// String returns how many connections had which answer.
func (cr *crowd) String() string {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return fmt.Sprint(cr.answers)
}

// awaitSent waits until the clients have sent what they send, or the time in which they must be taken has
// passed: a client whose connection is not read waits for as long as the crowd stays.
func (cr *crowd) awaitSent(t *testing.T) {
	select {
	case <-cr.sent:
	case <-time.After(2 * crowdHold):
		t.Logf("%d clients still send", cr.unsent.Load())
	}
}

func (cr *crowd) leave() {
	close(cr.left)
	cr.mu.Lock()
	for _, conn := range cr.conns {
		conn.Close()
	}
	cr.mu.Unlock()
	cr.clients.Wait()
}

// usage is what a process occupies at its peak.
type usage struct {
	memory   int64 // bytes, resident and received at the same time
	resident int64 // bytes, by the kernel's own peak
	received int64 // bytes, not read yet
	sockets  int
}

func (u usage) String() string {
	return fmt.Sprintf("memory %.1f MiB (resident %.1f, received %.1f), %d sockets", mib(u.memory), mib(u.resident), mib(u.received), u.sockets)
}

func mib(bytes int64) float64 { return float64(bytes) / (1 << 20) }

type usageWatch struct {
	quit chan struct{}
	done chan usage
}

// watchUsage samples what a process occupies until it is stopped.
func watchUsage(p *process) *usageWatch {
	w := &usageWatch{quit: make(chan struct{}), done: make(chan usage, 1)}
	pid := p.cmd.Process.Pid
	go func() {
		var peak usage
		for {
			now := usageOf(pid)
			peak.memory = max(peak.memory, now.memory, now.resident)
			peak.resident = max(peak.resident, now.resident)
			peak.received = max(peak.received, now.received)
			peak.sockets = max(peak.sockets, now.sockets)
			select {
			case <-w.quit:
				w.done <- peak
				return
			case <-time.After(crowdSample):
			}
		}
	}()
	return w
}

func (w *usageWatch) stop() usage {
	close(w.quit)
	return <-w.done
}

// usageOf returns what a process occupies. The parts are zero once it has ended.
func usageOf(pid int) usage {
	var u usage
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	sockets := make(map[string]bool) // by inode
	fds, _ := os.ReadDir(filepath.Join(dir, "fd"))
	for _, fd := range fds {
		target, err := os.Readlink(filepath.Join(dir, "fd", fd.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	u.sockets = len(sockets)
	tcp, _ := os.ReadFile(filepath.Join(dir, "net", "tcp"))
	const stateColumn, queuesColumn, inodeColumn, listening = 3, 4, 9, "0A"
	for _, line := range strings.Split(string(tcp), "\n") {
		f := strings.Fields(line)
		if len(f) <= inodeColumn || !sockets[f[inodeColumn]] || f[stateColumn] == listening {
			continue
		}
		if _, received, ok := strings.Cut(f[queuesColumn], ":"); ok {
			n, _ := strconv.ParseInt(received, 16, 64)
			u.received += n
		}
	}
	status, _ := os.ReadFile(filepath.Join(dir, "status"))
	resident := int64(0)
	for _, line := range strings.Split(string(status), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kib, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmHWM:":
			u.resident = kib << 10
		case "VmRSS:":
			resident = kib << 10
		}
	}
	u.memory = resident + u.received
	return u
}
