package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/keyedstore"
	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
)

// textsJSON holds the platform's names and messages.
//
//go:embed texts.json
var textsJSON []byte

type textTable struct {
	SettingsVariable, ProcessorsVariable string
	ReadyPath, DeadlineHeader            string
	OperatorsTopic, ManifestKey          string
	Host, Prefix                         string
	Manifest, Without, Job               json.RawMessage
	Values                               map[string]string
}

const (
	program           = "target/chestnuthollowd"
	heartbeatInterval = 1500 * time.Millisecond
	readyTimeout      = 15 * time.Second
	// The ports are below the range from which kernels take those of outgoing connections.
	firstPort, lastPort = 14_000, 31_000
)

// system is a small deployment: processes of the project and stand-ins of what is around them.
type system struct {
	texts   textTable
	temp    string // folder of the settings and logs
	started time.Time
	store   *keyedstore.Store
	// storeAddr is the address of the store.
	storeAddr string
	port      int
	processes []*process
	closers   []func() error

	mu     sync.Mutex
	record *os.File
	runs   []*taskRun
}

// taskRun is a run of a task at a server, as the server has seen it.
type taskRun struct {
	server, task string
	number       int
	start, end   time.Time // end is zero while it runs
	outcome      string
}

// process is an entry or an agent.
type process struct {
	sys                 *system
	name, role          string
	settings            string // path
	log                 *os.File
	jobsAddr, readyAddr string // of an entry
	control             string // address for the system's other processes
	cmd                 *exec.Cmd
	done                chan struct{}
}

func newSystem(folder string) (*system, error) {
	s := &system{started: time.Now(), store: keyedstore.New(), port: firstPort + os.Getpid()*37%(lastPort-firstPort)}
	if err := json.Unmarshal(textsJSON, &s.texts); err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the deploy file's build comes first: %w", err)
	}
	var err error
	if s.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	if s.temp, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	s.store.Put(s.texts.OperatorsTopic, s.texts.ManifestKey, s.texts.Manifest)
	s.storeAddr, err = s.serve(s.store.Handler())
	return s, err
}

func (s *system) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", s.freeAddr())
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go server.Serve(l)
	s.closers = append(s.closers, server.Close)
	return l.Addr().String(), nil
}

func (s *system) freeAddr() string {
	for {
		s.port++
		if s.port > lastPort {
			s.port = firstPort
		}
		addr := "127.0.0.1:" + strconv.Itoa(s.port)
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
}

// note adds a line to the record.
func (s *system) note(format string, args ...any) {
	s.noteAt(time.Now(), fmt.Sprintf(format, args...))
}

func (s *system) noteAt(at time.Time, line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f s  %s\n", at.Sub(s.started).Seconds(), line)
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// addProcess writes the settings of a process by its template of the deployment.
func (s *system) addProcess(name, role, zone string, seeds []string, values map[string]string) (*process, error) {
	p := &process{sys: s, name: name, role: role}
	template, err := os.ReadFile(filepath.Join("deploy", role+".toml"))
	if err != nil {
		return nil, err
	}
	seedsText, err := json.Marshal(seeds)
	if err != nil {
		return nil, err
	}
	port := func() string { _, port, _ := net.SplitHostPort(s.freeAddr()); return port }
	all := map[string]string{
		"node": name, "zone": zone, "seeds|json": string(seedsText), "platform.address": s.storeAddr,
		"portRange.0": port(), "portRange.1": port(),
	}
	for _, m := range []map[string]string{s.texts.Values, values} {
		for k, v := range m {
			all[k] = v
		}
	}
	missing := ""
	text := placeholder.ReplaceAllStringFunc(string(template), func(m string) string {
		v, ok := all[m[2:len(m)-2]]
		if !ok {
			missing += " " + m
		}
		return v
	})
	if missing != "" {
		return nil, fmt.Errorf("settings without a value:%s", missing)
	}
	p.settings = filepath.Join(s.temp, name+".toml")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(s.temp, name+".log")); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	return p, nil
}

// addEntry adds an entry whose address for other processes is control.
func (s *system) addEntry(name, zone, control string, seeds []string) (*process, error) {
	jobs, ready := s.freeAddr(), s.freeAddr()
	p, err := s.addProcess(name, "entry", zone, seeds, map[string]string{
		"listen.front": jobs, "listen.ready": ready, "listen.control": control, "limits.memoryMb": "284",
	})
	if err != nil {
		return nil, err
	}
	p.jobsAddr, p.readyAddr, p.control = jobs, ready, control
	return p, nil
}

// addServer adds a backend server and the agent beside it.
func (s *system) addServer(i int, zone string, seeds []string) (*process, error) {
	id := fmt.Sprintf("i-%08d", i)
	control := s.freeAddr()
	server := leaseserver.NewHTTPServer(leaseserver.Options{
		ID: id, Service: s.texts.Values["service"], CPU: 64_000, MemMB: 131_072,
		HeartbeatURL: "http://" + control, HeartbeatInterval: heartbeatInterval,
		BehaviorOf: func(_, spec string) leaseserver.Behavior {
			ms, _ := strconv.Atoi(spec)
			return leaseserver.Behavior{Duration: time.Duration(ms) * time.Millisecond, CPU: 6200}
		},
		OnStart: s.taskStarted, OnEnd: s.taskEnded,
	})
	l, err := net.Listen("tcp", s.freeAddr())
	if err != nil {
		return nil, err
	}
	server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	go server.Run(ctx)
	s.closers = append(s.closers, func() error { cancel(); server.Close(); return nil })
	return s.addProcess(fmt.Sprintf("side-%d", i), "agent", zone, seeds, map[string]string{
		"listen.control": control, "app": l.Addr().String(), "limits.memoryMb": "152",
	})
}

func (s *system) taskStarted(server string, t leaseserver.RunningTask, at time.Time) {
	s.noteAt(at, fmt.Sprintf("server %s starts %s run %d", server, t.Name, t.Number))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, &taskRun{server: server, task: t.Name, number: t.Number, start: at})
}

func (s *system) taskEnded(server string, t leaseserver.TaskRun, outcome string, at time.Time) {
	s.noteAt(at, fmt.Sprintf("server %s ends %s run %d: %s", server, t.Name, t.Number, outcome))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.server == server && r.task == t.Name && r.number == t.Number && r.end.IsZero() {
			r.end, r.outcome = at, outcome
		}
	}
}

// runsOf returns copies of the runs of a job's tasks.
func (s *system) runsOf(job string) []taskRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []taskRun
	for _, r := range s.runs {
		if strings.HasPrefix(r.task, job+".") {
			list = append(list, *r)
		}
	}
	return list
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	cmd := exec.Command(program, "platform", p.role)
	cmd.Env = append(os.Environ(), p.sys.texts.SettingsVariable+"="+p.settings)
	if p.role == "entry" {
		cmd.Env = append(cmd.Env, p.sys.texts.ProcessorsVariable+"=0.4")
	}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		cmd.Wait()
		close(done)
	}(p.done)
	p.sys.note("%s started, process %d", p.name, cmd.Process.Pid)
	return nil
}

func (p *process) signal(sig syscall.Signal) error {
	p.sys.note("%s gets signal %q", p.name, sig)
	return p.cmd.Process.Signal(sig)
}

// kill kills the process and waits for its end.
func (p *process) kill() error {
	err := p.signal(syscall.SIGKILL)
	<-p.done
	return err
}

func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// awaitReady waits until an entry is ready.
func (p *process) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + p.readyAddr + p.sys.texts.ReadyPath)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			p.sys.note("%s is ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", p.name, readyTimeout)
}

// startAll starts the processes and waits until the entries are ready.
func startAll(list ...*process) error {
	for _, p := range list {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range list {
		if p.role == "entry" {
			if err := p.awaitReady(); err != nil {
				return err
			}
		}
	}
	return nil
}

// close ends all processes and stand-ins. It keeps the logs if KEEP names a folder.
func (s *system) close() error {
	var errs []error
	for _, p := range s.processes {
		if p.running() {
			p.signal(syscall.SIGCONT)
			errs = append(errs, p.kill())
		}
		errs = append(errs, p.log.Close())
	}
	for _, c := range s.closers {
		errs = append(errs, c())
	}
	if os.Getenv("KEEP") == "" {
		errs = append(errs, os.RemoveAll(s.temp))
	} else {
		s.note("logs: %s", s.temp)
	}
	return errors.Join(errs...)
}
