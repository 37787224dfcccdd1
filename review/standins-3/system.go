package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/keyedstore"
	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
)

const (
	program           = "target/chestnuthollowd"
	heartbeatInterval = 1500 * time.Millisecond
	readyTimeout      = 15 * time.Second
	// cancelBound, stopBound and touchBound are the bounds of the rules: for the last start of a
	// task of a canceled job, for a stop, and for how long a machine runs undisturbed until it is
	// in touch.
	cancelBound = 3 * time.Second
	stopBound   = 50 * time.Millisecond
	touchBound  = 3 * time.Second
	// firstPort, portBlocks and portsPerBlock are the ports that plays use; those that are begun one
	// after the other use different ones.
	firstPort, portBlocks, portsPerBlock = 20_000, 240, 50
	serverCPU                            = 64_000
	serverMemMB                          = 131_072
)

//go:embed texts.json
var textsFile []byte

// texts are the names of the platform's protocol that the callers and the settings use.
var texts struct {
	SettingsVariable, ProcessorsVariable, DeadlineHeader, ReadyPath string
	ConfigTopic, ConfigKey, Prefix, Host, Service                   string
	Config, ConfigChanged, ConfigRemoved                            json.RawMessage
	Job                                                             map[string]any
	JobSpec, JobStep, StepTasks, StepEstimate                       string
}

// errNotPlayed means that a case could not be played.
var errNotPlayed = errors.New("the case could not be played")

// system is a small deployment.
type system struct {
	*record
	dir       string
	trouble   bool
	store     *keyedstore.Store
	storeAddr string
	entries   []*process
	agents    []*process
	servers   []*leaseserver.HTTPServer
	ctx       context.Context
	stop      context.CancelFunc
	nextPort  int
}

// process is one role of the daemon, which can be started again.
type process struct {
	sys                       *system
	name, role                string
	zone, region              string
	jobsAddr, readyAddr       string // of an entry
	peerAddr, opsAddr         string
	heartbeatAddr, serverAddr string // of an agent
	advertiseAddr             string // of an agent; empty for peerAddr
	settings                  string
	log                       *os.File
	cmd                       *exec.Cmd
	done                      chan struct{}
}

func newSystem(ctx context.Context, r *record, trouble bool) (*system, error) {
	if err := json.Unmarshal(textsFile, &texts); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, dir: dir, trouble: trouble, store: keyedstore.New(), nextPort: firstPort + os.Getpid()%portBlocks*portsPerBlock}
	s.ctx, s.stop = context.WithCancel(ctx)
	s.storeAddr, err = s.serve(s.store.Handler())
	if err != nil {
		return nil, err
	}
	s.store.Put(texts.ConfigTopic, texts.ConfigKey, texts.Config)
	return s, nil
}

func (s *system) serve(h http.Handler) (string, error) {
	addr := s.freeAddr()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	go http.Serve(l, h)
	return addr, nil
}

// freeAddr returns an address with a free port of five digits, below those that the system
// gives to outgoing connections.
func (s *system) freeAddr() string {
	for {
		s.nextPort++
		addr := fmt.Sprintf("127.0.0.1:%d", s.nextPort)
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
}

// addEntry adds an entry that is not started yet.
func (s *system) addEntry(zone, region string) *process {
	p := &process{
		sys: s, name: fmt.Sprintf("front-%s-%d", zone, len(s.entries)+1), role: "entry", zone: zone, region: region,
		jobsAddr: s.freeAddr(), readyAddr: s.freeAddr(), peerAddr: s.freeAddr(), opsAddr: s.freeAddr(),
	}
	s.entries = append(s.entries, p)
	return p
}

// addAgent adds a backend server, which is started, and its agent, which is not.
func (s *system) addAgent(zone, region string) (*process, error) {
	p := &process{
		sys: s, name: fmt.Sprintf("side-%s-%d", zone, len(s.agents)+1), role: "agent", zone: zone, region: region,
		peerAddr: s.freeAddr(), opsAddr: s.freeAddr(), heartbeatAddr: s.freeAddr(), serverAddr: s.freeAddr(),
	}
	server := leaseserver.NewHTTPServer(leaseserver.Options{
		ID: fmt.Sprintf("i-%d", len(s.agents)+1), Service: texts.Service, CPU: serverCPU, MemMB: serverMemMB,
		HeartbeatURL: "http://" + p.heartbeatAddr, HeartbeatInterval: heartbeatInterval, BehaviorOf: behaviorOf,
		OnStart: s.onStart, OnEnd: s.onEnd,
	})
	l, err := net.Listen("tcp", p.serverAddr)
	if err != nil {
		return nil, err
	}
	server.Serve(l)
	go server.Run(s.ctx)
	s.agents = append(s.agents, p)
	s.servers = append(s.servers, server)
	return p, nil
}

// behaviorOf returns the behavior of a task, whose spec is its run time in ms.
func behaviorOf(_, spec string) leaseserver.Behavior {
	ms, err := strconv.Atoi(spec)
	return leaseserver.Behavior{Duration: time.Duration(ms) * time.Millisecond, CPU: 1000, Fails: err != nil}
}

// configure renders the settings of a process from the template in deploy/.
func (p *process) configure(seeds []string) error {
	template, err := os.ReadFile(filepath.Join("deploy", p.role+".toml"))
	if err != nil {
		return err
	}
	seedsText, err := json.Marshal(seeds)
	if err != nil {
		return err
	}
	port := func(addr string) string { return addr[strings.LastIndexByte(addr, ':')+1:] }
	control := p.peerAddr
	if p.role == "agent" {
		control = p.heartbeatAddr
	}
	values := map[string]string{
		"node": p.name, "zone": p.zone, "region": p.region, "ip": "127.0.0.1", "service": texts.Service,
		"listen.front": p.jobsAddr, "listen.ready": p.readyAddr, "listen.control": control,
		"portRange.0": port(p.peerAddr), "portRange.1": port(p.opsAddr), "seeds|json": string(seedsText),
		"bounds.graceS": "6", "bounds.holdMaxMs": "1000", "bounds.stopTimeoutMs": "50", "bounds.farX": "1.5",
		"limits.memoryMb": "284", "limits.maxFds": "4096",
		"platform.address": p.sys.storeAddr, "app": p.serverAddr,
	}
	text := string(template)
	for k, v := range values {
		text = strings.ReplaceAll(text, "{{"+k+"}}", v)
	}
	if strings.Contains(text, "{{") {
		return fmt.Errorf("%s: a placeholder of the template has no value", p.role)
	}
	if p.advertiseAddr != "" {
		text = fmt.Sprintf("advertise_addr = %q\n", p.advertiseAddr) + text
	}
	p.settings = filepath.Join(p.sys.dir, p.name+".conf")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return err
	}
	p.log, err = os.Create(filepath.Join(p.sys.dir, p.name+".log"))
	return err
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	cmd := exec.Command(program, "platform", p.role)
	cmd.Env = append(os.Environ(), texts.SettingsVariable+"="+p.settings, texts.ProcessorsVariable+"=0.4")
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // its end is all that matters
		close(done)
	}()
	p.sys.logf("%s started, process %d", p.name, cmd.Process.Pid)
	return nil
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	<-p.done
	p.sys.logf("%s killed", p.name)
}

// freeze stops the process for a time.
func (p *process) freeze(d time.Duration) error {
	p.sys.logf("%s is frozen for %v", p.name, d)
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(d, func() {
		p.sys.logf("%s wakes", p.name)
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // it may have been ended meanwhile
	})
	return nil
}

func (p *process) isReady() bool {
	resp, err := http.Get("http://" + p.readyAddr + texts.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until the condition holds.
func (s *system) await(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			s.logf("seen: %s", what)
			return nil
		}
	}
	return fmt.Errorf("%w: not seen within %v: %s", errNotPlayed, limit, what)
}

// startAll starts processes that were configured, and waits until the entries are ready and all
// machines have run for touchBound.
func (s *system) startAll() error {
	for _, p := range append(append([]*process{}, s.agents...), s.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(touchBound + time.Second)
	return nil
}

func (s *system) awaitReady() error {
	for _, p := range s.entries {
		if err := s.await(p.name+" is ready", readyTimeout, p.isReady); err != nil {
			return err
		}
	}
	return nil
}

// end ends all processes. It keeps their logs if KEEP is set.
func (s *system) end() {
	s.stop()
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		p.kill()
	}
	for _, server := range s.servers {
		server.Close()
	}
	if os.Getenv("KEEP") != "" {
		s.logf("logs in %s", s.dir)
		return
	}
	os.RemoveAll(s.dir)
}

// answer is the answer to a caller.
type answer struct {
	code int // zero if there is none
	body string
	at   time.Time
	err  error
}

// request sends a request over a new channel to an entry.
func (p *process) request(method, id string, body []byte, deadline time.Duration) answer {
	p.sys.logf("caller: %s %s%s to %s", method, texts.Prefix, id, p.name)
	a := p.send(method, id, body, deadline)
	p.sys.logf("caller: %s %s%s to %s is answered: %d %s %v", method, texts.Prefix, id, p.name, a.code, strings.TrimSpace(a.body), a.err)
	return a
}

func (p *process) send(method, id string, body []byte, deadline time.Duration) answer {
	return p.sendOver(p.sys.ctx, p.jobsAddr, method, id, body, deadline)
}

// sendOver sends a request over a new channel to an address that leads to the entry. The channel
// ends with ctx.
func (p *process) sendOver(ctx context.Context, addr, method, id string, body []byte, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+texts.Prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{at: time.Now(), err: err}
	}
	req.Host = texts.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(texts.DeadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{at: time.Now(), err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{code: resp.StatusCode, body: string(text), at: time.Now(), err: err}
}

// submit submits a job of tasks that run for the given time.
func (p *process) submit(id string, tasks int, runTime, deadline time.Duration) answer {
	body, err := jobBody(tasks, runTime)
	if err != nil {
		return answer{err: err}
	}
	return p.request(http.MethodPost, id, body, deadline)
}

// submitOver is submit over a channel to an address that leads to the entry, see sendOver.
func (p *process) submitOver(ctx context.Context, addr, id string, tasks int, runTime, deadline time.Duration) answer {
	body, err := jobBody(tasks, runTime)
	if err != nil {
		return answer{err: err}
	}
	p.sys.logf("caller: POST %s%s to %s by way of %s", texts.Prefix, id, p.name, addr)
	a := p.sendOver(ctx, addr, http.MethodPost, id, body, deadline)
	p.sys.logf("caller: POST %s%s to %s by way of %s ends: %d %s %v", texts.Prefix, id, p.name, addr, a.code, strings.TrimSpace(a.body), a.err)
	return a
}

// jobBody returns the body of a submission.
func jobBody(tasks int, runTime time.Duration) ([]byte, error) {
	var job map[string]any
	text, err := json.Marshal(texts.Job)
	if err == nil {
		err = json.Unmarshal(text, &job)
	}
	if err != nil {
		return nil, err
	}
	job[texts.JobSpec] = strconv.FormatInt(runTime.Milliseconds(), 10)
	step := job[texts.JobStep].([]any)[0].(map[string]any)
	step[texts.StepTasks], step[texts.StepEstimate] = tasks, runTime.Milliseconds()
	return json.Marshal(job)
}

// cancelUntilAcknowledged cancels a job, and again while the answer is neither 2xx nor 410.
func (p *process) cancelUntilAcknowledged(id string, limit time.Duration) (answer, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		a := p.request(http.MethodDelete, id, nil, 2*time.Second)
		if a.code/100 == 2 || a.code == http.StatusGone {
			return a, nil
		}
	}
	return answer{}, fmt.Errorf("%w: no cancel was acknowledged within %v", errNotPlayed, limit)
}
