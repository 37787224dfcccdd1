package platform_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/keyedstore"
	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
)

const (
	serverCPU         = 20_000 // thousandths of a core
	heartbeatInterval = 300 * time.Millisecond
	readyTimeout      = 15 * time.Second
	graceSeconds      = 6
	// crashDownTime is how long a server is down after a task has crashed it.
	crashDownTime = time.Second
	// shrinkGrace is how long the earlier capacity of a server that has shrunk counts:
	// a stable window and a heartbeat.
	shrinkGrace = 3*time.Second + heartbeatInterval
	// Fewer than startsAfterCrashes starts may follow maxCrashes crashes of servers
	// under a task that crashes them.
	maxCrashes, startsAfterCrashes = 3, 3
)

var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "chestnuthollow-platform-*")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "chestnuthollowd")
	out, err := exec.Command("go", "build", "-o", path, "github.com/chestnuthollow/chestnuthollow/cmd/chestnuthollowd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// system is a complete system of processes with stand-ins for the platform.
type system struct {
	t          *testing.T
	dir        string
	program    string
	store      *keyedstore.Store
	storeProxy *proxy
	invariants *invariantChecker
	entries    []*process
	agents     []*process
	servers    []*leaseserver.HTTPServer
	proxies    []*proxy // in front of the agents, in the same order
	version    int      // of the newest configuration
	client     *http.Client
	// callerDeadline is how long callers wait, as they say.
	callerDeadline time.Duration
	limits         processLimits
}

// processLimits bound each entry and agent. Zero values leave the defaults.
type processLimits struct {
	memoryMB    int
	descriptors int
}

// process is an entry or an agent, which can be restarted with the same settings.
type process struct {
	sys       *system
	name      string
	role      string
	zone      string
	settings  string // path of the settings file
	jobsAddr  string // of an entry
	readyAddr string // of an entry
	opsAddr   string
	peerAddr  string
	// heartbeatAddr is the address of an agent for its server.
	heartbeatAddr string
	log           *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{} // closed when cmd has ended
	starts []time.Time
}

// zoneOf returns the availability zone of the i-th entry or agent: they alternate.
func zoneOf(i int) string { return []string{"zone-a", "zone-b"}[i%2] }

func newSystem(t *testing.T, entries, agents int) *system {
	return newSystemWithPaths(t, entries, agents, false)
}

// newSystemWithPaths is like newSystem. The entries reach the store through storeProxy, and
// the agents either through it too or by their own path.
func newSystemWithPaths(t *testing.T, entries, agents int, ownPath bool) *system {
	return newLimitedSystem(t, entries, agents, ownPath, processLimits{})
}

// newLimitedSystem is like newSystemWithPaths, with limits for the processes.
func newLimitedSystem(t *testing.T, entries, agents int, ownPath bool, limits processLimits) *system {
	program, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	s := &system{t: t, dir: t.TempDir(), program: program, store: keyedstore.New(), invariants: newInvariantChecker(), callerDeadline: 3 * time.Second, limits: limits, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 100},
	}}
	direct := s.serve(s.store.Handler())
	s.storeProxy = newProxy(t, direct)
	storeAddr := s.storeProxy.addr
	agentStoreAddr := storeAddr
	if ownPath {
		agentStoreAddr = direct
	}
	s.putConfig()
	var seeds []string
	for range entries {
		seeds = append(seeds, freeAddr(t))
	}
	for i, seed := range seeds {
		s.addEntry(i, seed, seeds, storeAddr)
	}
	for i := range agents {
		s.addAgent(i, seeds, agentStoreAddr)
	}
	t.Cleanup(s.stop)
	for _, p := range append(append([]*process{}, s.agents...), s.entries...) {
		p.start()
	}
	for _, p := range s.entries {
		p.waitReady()
	}
	return s
}

// nextPort counts the ports handed out by freeAddr. They are below the range from
// which the kernel chooses ports of outgoing connections and of listeners without a
// specified port.
var nextPort atomic.Int32

const (
	firstPort = 12_000
	lastPort  = 30_000
)

func freeAddr(t *testing.T) string {
	for range lastPort - firstPort {
		port := firstPort + (int(nextPort.Add(1))+os.Getpid()*64)%(lastPort-firstPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	t.Fatal("no port is free")
	return ""
}

func (s *system) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	s.t.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

// putConfig writes the next version of the configuration and returns its number. Each
// version has one queue, "only", whose path prefix contains the number.
func (s *system) putConfig() int { return s.putLargeConfig(0) }

// putLargeConfig is like putConfig, with further queues. Each takes about 230 bytes, or
// 50 compressed.
func (s *system) putLargeConfig(queues int) int {
	s.version++
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "pathPrefix": prefix, "service": "booking", "targetLatencyMs": 60,
			"attempts": 2, "stretch": 1.6, "timeoutMs": 1500, "type": "unsafe",
		}
	}
	routes := []any{route("holds", "/holds/"), route("only", fmt.Sprintf("/only-%d/", s.version))}
	for range queues {
		id := make([]byte, 40)
		rand.Read(id)
		routes = append(routes, route(hex.EncodeToString(id[:20]), "/"+hex.EncodeToString(id[20:])+"/"))
	}
	text, err := json.Marshal(map[string]any{
		"version":  s.version,
		"routes":   routes,
		"services": []any{map[string]any{"name": "booking"}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("keyed.op", "config", text)
	return s.version
}

func (s *system) addEntry(i int, peer string, seeds []string, storeAddr string) {
	p := &process{sys: s, name: fmt.Sprintf("entry-%d", i), role: "entry", zone: zoneOf(i), jobsAddr: freeAddr(s.t), readyAddr: freeAddr(s.t), peerAddr: peer}
	p.writeSettings(map[string]any{"jobs_addr": p.jobsAddr, "ready_addr": p.readyAddr, "peer_addr": peer}, seeds, storeAddr, "")
	s.entries = append(s.entries, p)
}

func (s *system) addAgent(i int, seeds []string, storeAddr string) {
	heartbeatAddr, peer := freeAddr(s.t), freeAddr(s.t)
	p := &process{sys: s, name: fmt.Sprintf("agent-%d", i), role: "agent", zone: zoneOf(i), peerAddr: peer, heartbeatAddr: heartbeatAddr}
	id := fmt.Sprintf("server-%d", i)
	server := leaseserver.NewHTTPServer(leaseserver.Options{
		ID: id, Service: "booking", CPU: serverCPU, MemMB: 4096,
		HeartbeatURL: "http://" + heartbeatAddr, HeartbeatInterval: heartbeatInterval, BehaviorOf: behaviorOf,
		DownTime: crashDownTime, OnStart: s.invariants.started, OnEnd: s.invariants.ended, OnCall: s.invariants.record.callsAt(id),
	})
	l, err := net.Listen("tcp", freeAddr(s.t))
	if err != nil {
		s.t.Fatal(err)
	}
	server.Serve(l)
	s.t.Cleanup(server.Close)
	s.invariants.resized(fmt.Sprintf("server-%d", i), serverCPU)
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	go server.Run(ctx)
	px := newProxy(s.t, peer)
	p.writeSettings(map[string]any{"heartbeat_addr": heartbeatAddr, "peer_addr": peer, "advertise_addr": px.addr, "service": "booking"}, seeds, storeAddr, l.Addr().String())
	s.agents = append(s.agents, p)
	s.servers = append(s.servers, server)
	s.proxies = append(s.proxies, px)
}

// writeSettings writes the process's settings file and creates its log file.
func (p *process) writeSettings(roleSettings map[string]any, seeds []string, storeAddr, serverAddr string) {
	var b strings.Builder
	p.opsAddr = freeAddr(p.sys.t)
	fmt.Fprintf(&b, "name = %q\nzone = %q\nregion = \"local\"\nops_addr = %q\ngrace = \"%ds\"\n", p.name, p.zone, p.opsAddr, graceSeconds)
	for k, v := range roleSettings {
		fmt.Fprintf(&b, "%s = %q\n", k, v)
	}
	if mb := p.sys.limits.memoryMB; mb > 0 {
		fmt.Fprintf(&b, "memory_mb = %d\n", mb)
	}
	seedsText, err := json.Marshal(seeds)
	if err != nil {
		p.sys.t.Fatal(err)
	}
	fmt.Fprintf(&b, "seeds = %s\n[platform]\nstore_addr = %q\n", seedsText, storeAddr)
	if serverAddr != "" {
		fmt.Fprintf(&b, "server_addr = %q\n", serverAddr)
	}
	p.settings = filepath.Join(p.sys.dir, p.name+".toml")
	if err := os.WriteFile(p.settings, []byte(b.String()), 0o600); err != nil {
		p.sys.t.Fatal(err)
	}
	if p.log, err = os.Create(filepath.Join(p.sys.dir, p.name+".log")); err != nil {
		p.sys.t.Fatal(err)
	}
}

// start starts the process unless it is running.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		select {
		case <-p.done:
		default:
			return
		}
	}
	cmd := p.sys.limits.command(p.sys.program, "platform", p.role, "--config", p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		p.sys.t.Errorf("%s: %v", p.name, err)
		return
	}
	done := make(chan struct{})
	p.cmd, p.done, p.starts = cmd, done, append(p.starts, time.Now())
	go func() {
		cmd.Wait()
		close(done)
	}()
}

// command returns a command that runs a program with the limits of the process.
func (l processLimits) command(program string, args ...string) *exec.Cmd {
	if l.descriptors == 0 {
		return exec.Command(program, args...)
	}
	const script = `ulimit -n "$1" && shift && exec "$@"`
	return exec.Command("sh", append([]string{"-c", script, "sh", strconv.Itoa(l.descriptors), program}, args...)...)
}

// readyAgents returns how many agents that accept tasks are in session with the entry.
func (p *process) readyAgents() int {
	resp, err := p.sys.client.Get("http://" + p.opsAddr + "/debug/dump")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var dump struct {
		State struct {
			Agents []struct {
				Ready bool `json:"ready"`
			} `json:"agents"`
		} `json:"state"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&dump); err != nil {
		p.sys.t.Errorf("dump of %s: %v", p.name, err)
	}
	n := 0
	for _, a := range dump.State.Agents {
		if a.Ready {
			n++
		}
	}
	return n
}

// signal sends a signal to the current process, which this test has started.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd.Process.Signal(sig)
}

// signalSeries sends signals one shortly after the other.
func (p *process) signalSeries(signals ...syscall.Signal) {
	for _, sig := range signals {
		p.signal(sig)
		time.Sleep(5 * time.Millisecond)
	}
}

// wait waits for the current process to end. It reports false after the timeout.
func (p *process) wait(timeout time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	default:
	}
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// status describes the current process.
func (p *process) status() string {
	ended := p.wait(0)
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("process %d of %d, started %s, ended: %t", p.cmd.Process.Pid, len(p.starts), p.starts[len(p.starts)-1].Format(recordTime), ended)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}

func (p *process) isReady() bool {
	resp, err := p.sys.client.Get("http://" + p.readyAddr + "/chestnuthollow/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) waitReady() {
	p.sys.t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.isReady() {
			return
		}
	}
	p.sys.t.Fatalf("%s is not ready: %s", p.name, p.logTail())
}

// logTail returns the end of the process's log.
func (p *process) logTail() string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-2000):])
}

// restartAll kills all processes and starts them again.
func (s *system) restartAll() {
	all := append(append([]*process{}, s.entries...), s.agents...)
	for _, p := range all {
		p.kill()
	}
	for _, p := range all {
		p.start()
	}
}

func (s *system) stop() {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		p.mu.Lock()
		started := p.cmd != nil
		p.mu.Unlock()
		if started {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
		p.log.Close()
	}
	if err := s.invariants.err(); err != nil {
		s.t.Error(err)
	}
}

// answer is the answer to a caller's request.
type answer struct {
	code    int
	state   string
	reason  string // why the job has no result
	givenUp bool   // the entry had no sign of the caller
	err     error
}

// post submits a job of tasks that each run for ms milliseconds, need cpu thousandths
// of a core, and end with the outcome ok, fail, hang or crash.
func (s *system) post(ctx context.Context, p *process, id string, tasks, ms, cpu int, outcome string) answer {
	body, err := json.Marshal(map[string]any{
		"spec": fmt.Sprintf("%d,%d,%s", ms, cpu, outcome), "bestEffort": true,
		"steps": []any{map[string]any{"replicas": tasks, "cpu": cpu, "memMb": 16, "estimateMs": ms}},
	})
	if err != nil {
		return answer{err: err}
	}
	return s.send(ctx, p, "/holds/"+id, body)
}

// cancel cancels a job.
func (s *system) cancel(ctx context.Context, p *process, id string) answer {
	return s.request(ctx, p, http.MethodDelete, "/holds/"+id, nil)
}

func (s *system) send(ctx context.Context, p *process, path string, body []byte) answer {
	return s.request(ctx, p, http.MethodPost, path, body)
}

func (s *system) request(ctx context.Context, p *process, method, path string, body []byte) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.jobsAddr+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "a.example"
	req.Header.Set("Deadline-Ms", strconv.FormatInt(s.callerDeadline.Milliseconds(), 10))
	resp, err := s.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	var reply struct {
		State string `json:"state"`
		Error string `json:"error"`
	}
	json.Unmarshal(text, &reply)
	return answer{code: resp.StatusCode, state: reply.State, reason: reply.Error, givenUp: strings.HasPrefix(reply.Error, silenceReason)}
}

// behaviorOf decodes a spec as written by post, "MS,CPU,OUTCOME".
func behaviorOf(_, spec string) leaseserver.Behavior {
	f := strings.Split(spec, ",")
	ms, _ := strconv.Atoi(f[0])
	cpu, _ := strconv.Atoi(f[1])
	return leaseserver.Behavior{Duration: time.Duration(ms) * time.Millisecond, Fails: f[2] == "fail", Hangs: f[2] == "hang", Crashes: f[2] == "crash", CPU: cpu}
}

// invariantChecker checks by the starts and ends at the servers that no task runs
// twice at the same time, that no server runs more than its capacity, that tasks
// that crash servers are given up, and that jobs refused as not run do not run.
type invariantChecker struct {
	mu             sync.Mutex
	running        map[string]serverRun    // by task name, the run started last
	overlaps       map[serverRun][]overlap // by the earlier run, until it has ended
	startsByServer map[string]int
	startsByJob    map[string][]taskStart
	refusals       map[string]refusal // the first one, by job
	used           map[string]int     // thousandths of a core in use, by server
	sizes          map[serverRun]int  // thousandths of a core of each run that is counted in used
	capacity       map[string]serverCapacity
	crashes        map[string]int // servers that crashed while they ran the task, by task name
	startsAfter    map[string]int // starts after maxCrashes, by task name
	violations     []string
	record         *recorder
}

// serverCapacity is the capacity of a server, in thousandths of a core.
type serverCapacity struct {
	cpu, before int // before counts until shrinkGrace after since
	since       time.Time
}

// taskStart is the start of a task at a server.
type taskStart struct {
	task, server string
	at           time.Time
}

// refusal is the answer to a caller that its job was not accepted and never runs.
type refusal struct {
	at time.Time // when the caller received it
	// unansweredBefore is set if an earlier attempt had no answer. Its tasks may have started
	// before the refusal, but not after it.
	unansweredBefore bool
}

// serverRun is a run at a server.
type serverRun struct {
	server string
	run    leaseserver.TaskRun
}

// overlap is the start of a task while an earlier run of it counts as running. It is allowed if that
// has ended before, which may be known late: a busy machine stops the goroutine that ends it.
type overlap struct {
	server string
	at     time.Time
}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{
		record:  newRecorder(),
		running: make(map[string]serverRun), overlaps: make(map[serverRun][]overlap), startsByJob: make(map[string][]taskStart), refusals: make(map[string]refusal), startsByServer: make(map[string]int), used: make(map[string]int),
		capacity: make(map[string]serverCapacity), crashes: make(map[string]int), startsAfter: make(map[string]int), sizes: make(map[serverRun]int),
	}
}

// resized records the capacity of a server.
func (c *invariantChecker) resized(server string, cpu int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity[server] = serverCapacity{cpu: cpu, before: c.limit(server), since: time.Now()}
}

// limit returns how much a server may run now. The caller holds c.mu.
func (c *invariantChecker) limit(server string) int {
	limit := c.capacity[server]
	if time.Since(limit.since) < shrinkGrace {
		return max(limit.cpu, limit.before)
	}
	return limit.cpu
}

// violated records a violation by a task that concerns some servers. The caller holds c.mu.
func (c *invariantChecker) violated(task string, servers []string, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.record.violated(text, task, servers...)
}

func (c *invariantChecker) started(server string, t leaseserver.RunningTask, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run := serverRun{server, t.TaskRun}
	if earlier, ok := c.running[t.Name]; ok {
		c.overlaps[earlier] = append(c.overlaps[earlier], overlap{server, at})
	}
	c.running[t.Name] = run
	job, _, _ := strings.Cut(t.Name, ".")
	start := taskStart{t.Name, server, at}
	c.startsByJob[job] = append(c.startsByJob[job], start)
	if r, ok := c.refusals[job]; ok {
		c.checkRefused(start, r)
	}
	c.startsByServer[server]++
	// A job may be submitted again with another size while its tasks run.
	c.sizes[run] = t.Behavior.CPU
	c.used[server] += t.Behavior.CPU
	if limit := c.limit(server); c.used[server] > limit {
		c.violated(t.Name, []string{server}, "%s runs %d thousandths of a core with task %s, over its capacity of %d: %v", server, c.used[server], t.Name, limit, c.sizesAt(server))
	}
	if t.Behavior.Crashes && c.crashes[t.Name] >= maxCrashes {
		if c.startsAfter[t.Name]++; c.startsAfter[t.Name] >= startsAfterCrashes {
			c.violated(t.Name, []string{server}, "task %s was started %d times after %d servers had crashed under it", t.Name, c.startsAfter[t.Name], maxCrashes)
		}
	}
}

func (c *invariantChecker) ended(server string, t leaseserver.TaskRun, outcome string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run := serverRun{server, t}
	for _, o := range c.overlaps[run] {
		if at.After(o.at) {
			c.violated(t.Name, []string{o.server, server}, "task %s started at %s while it ran at %s, for %v", t.Name, o.server, server, at.Sub(o.at))
		}
	}
	delete(c.overlaps, run)
	if c.running[t.Name] == run {
		delete(c.running, t.Name)
	}
	c.used[server] -= c.sizes[run]
	delete(c.sizes, run)
	if outcome == "crashed" {
		c.crashes[t.Name]++
	}
}

// sizesAt returns the sizes of the runs at a server. The caller holds c.mu.
func (c *invariantChecker) sizesAt(server string) map[leaseserver.TaskRun]int {
	sizes := make(map[leaseserver.TaskRun]int)
	for r, cpu := range c.sizes {
		if r.server == server {
			sizes[r.run] = cpu
		}
	}
	return sizes
}

// recordOverlaps records the overlaps whose earlier run has not ended.
func (c *invariantChecker) recordOverlaps() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for run, starts := range c.overlaps {
		c.record.violated(fmt.Sprintf("task %s started at %s while it runs at %s", run.run.Name, starts[0].server, run.server), run.run.Name, starts[0].server, run.server)
	}
}

// mayBeFailed reports whether a job of n tasks that could be done may be shown as
// failed: two servers have crashed under one of its tasks.
func (c *invariantChecker) mayBeFailed(job string, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range n {
		if c.crashes[fmt.Sprintf("%s.0.0.%d", job, i)] >= 2 {
			return true
		}
	}
	return false
}

// startCount returns how often tasks of a job have started.
func (c *invariantChecker) startCount(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.startsByJob[job])
}

// refused records that a caller was told that its job does not run. The caller does not submit
// it again.
func (c *invariantChecker) refused(job string, r refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.refusals[job]; ok {
		return
	}
	c.refusals[job] = r
	for _, s := range c.startsByJob[job] {
		c.checkRefused(s, r)
	}
}

// checkRefused checks a start of a task whose job was refused. The caller holds c.mu.
func (c *invariantChecker) checkRefused(s taskStart, r refusal) {
	switch {
	case s.at.After(r.at):
		c.violated(s.task, []string{s.server}, "task %s started at %s %v after its job was refused as not run", s.task, s.server, s.at.Sub(r.at))
	case !r.unansweredBefore:
		c.violated(s.task, []string{s.server}, "task %s had started at %s %v before its job was refused as not run, and no earlier attempt was without an answer", s.task, s.server, r.at.Sub(s.at))
	}
}

// err returns an error if an invariant was violated.
func (c *invariantChecker) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := slices.Clone(c.violations)
	for run, starts := range c.overlaps {
		violations = append(violations, fmt.Sprintf("task %s started at %s while it runs at %s", run.run.Name, starts[0].server, run.server))
	}
	if len(violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d invariant violations, the first: %s", len(violations), violations[0])
}
