package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/keyedstore"
)

const (
	// ports of the listeners, below the range from which the kernel takes those of
	// outgoing connections.
	firstPort, lastPort = 12_000, 30_000
	portsPerRun         = 64 // so that runs side by side use different ones
	readyTimeout        = 15 * time.Second
	callersWait         = 1500 * time.Millisecond // for an answer
	resendDelay         = 1300 * time.Millisecond // after no answer
	maxSends            = 3
)

// system is a small deployment: the project's processes, with stand-ins for the platform's
// store, the backend servers and the callers.
type system struct {
	root, dir string
	rec       *record
	store     *keyedstore.Store
	storeAddr string
	links     []*link // from the entries to the store, in their order
	entries   []*process
	agents    []*process
	servers   []*executor
	client    *http.Client
	nextPort  int
}

// process is one of the project's processes.
type process struct {
	name, jobsAddr, readyAddr string
	cmd                       *exec.Cmd
	log                       *os.File
	done                      chan struct{}
}

func newSystem(root string, rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return nil, err
	}
	s := &system{root: root, dir: dir, rec: rec, store: keyedstore.New(), nextPort: firstPort + os.Getpid()*portsPerRun%(lastPort-firstPort-portsPerRun)}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var config bytes.Buffer
	if err := json.Compact(&config, wire.Config); err != nil {
		return nil, err
	}
	s.store.Put(wire.ConfigTopic, wire.ConfigKey, config.Bytes())
	if s.storeAddr, err = s.freeAddr(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", s.storeAddr)
	if err != nil {
		return nil, err
	}
	go http.Serve(l, s.store.Handler())
	return s, nil
}

func (s *system) freeAddr() (string, error) {
	for s.nextPort < lastPort {
		s.nextPort++
		addr := fmt.Sprintf("127.0.0.1:%d", s.nextPort)
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr, nil
		}
	}
	return "", errors.New("no port is free")
}

// addrs returns free addresses.
func (s *system) addrs(n int) ([]string, error) {
	list := make([]string, n)
	for i := range list {
		var err error
		if list[i], err = s.freeAddr(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9._]+)(\|json)?\}\}`)

// settingsFile writes a process's settings from a template of the deploy file.
func (s *system) settingsFile(template, name string, values map[string]any) (string, error) {
	text, err := os.ReadFile(filepath.Join(s.root, template))
	if err != nil {
		return "", err
	}
	var missing error
	out := placeholder.ReplaceAllStringFunc(string(text), func(match string) string {
		m := placeholder.FindStringSubmatch(match)
		v, ok := values[m[1]]
		if !ok {
			if v, ok = wire.Settings[m[1]]; !ok {
				missing = fmt.Errorf("%s: no value of %s", template, m[1])
			}
		}
		if m[2] != "" {
			encoded, err := json.Marshal(v)
			if err != nil {
				missing = err
			}
			return string(encoded)
		}
		return fmt.Sprint(v)
	})
	path := filepath.Join(s.dir, name+".toml")
	return path, errors.Join(missing, os.WriteFile(path, []byte(out), 0o600))
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// command returns the words of the deploy file's command of a role.
func (s *system) command(role string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(s.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, m := range runLine.FindAllStringSubmatch(string(text), -1) {
		if words := strings.Fields(m[1]); words[len(words)-1] == role {
			return words, nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no role %s", role)
}

func (s *system) startProcess(role, name, settings string) (*process, error) {
	words, err := s.command(role)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, done: make(chan struct{})}
	if p.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(filepath.Join(s.root, words[0]), words[1:]...)
	p.cmd.Dir = s.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, wire.BootVariable + "=" + settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	s.rec.log("start  %s pid=%d", name, p.cmd.Process.Pid)
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// start starts the entries, and one agent with a backend server for each of the options.
func (s *system) start(entries int, servers []executorOptions, kinds []string) error {
	seeds, err := s.addrs(entries)
	if err != nil {
		return err
	}
	for i, o := range servers {
		a, err := s.addrs(4)
		if err != nil {
			return err
		}
		o.addr, o.agentAddr = a[0], a[1]
		if o.zone == "" {
			o.zone = zoneOf(0)
		}
		s.servers = append(s.servers, newExecutor(o, kinds[i]))
		name := fmt.Sprintf("agent-%d", i)
		file, err := s.settingsFile("deploy/agent.toml", name, map[string]any{
			"node": name, "zone": o.zone, "listen.control": a[1], "ip:portRange.0": a[2], "seeds": seeds, "app": a[0], "platform.address": s.storeAddr,
			"portRange.0": port(a[2]), "portRange.1": port(a[3]),
		})
		if err != nil {
			return err
		}
		p, err := s.startProcess("agent", name, file)
		if err != nil {
			return err
		}
		s.agents = append(s.agents, p)
	}
	for i, seed := range seeds {
		a, err := s.addrs(4)
		if err != nil {
			return err
		}
		l, err := newLink(a[3], s.storeAddr)
		if err != nil {
			return err
		}
		s.links = append(s.links, l)
		name := fmt.Sprintf("entry-%d", i)
		file, err := s.settingsFile("deploy/entry.toml", name, map[string]any{
			"node": name, "zone": zoneOf(i), "listen.front": a[0], "listen.ready": a[1], "listen.control": seed, "seeds": seeds, "platform.address": l.addr,
			"portRange.1": port(a[2]),
		})
		if err != nil {
			return err
		}
		p, err := s.startProcess("entry", name, file)
		if err != nil {
			return err
		}
		p.jobsAddr, p.readyAddr = a[0], a[1]
		s.entries = append(s.entries, p)
	}
	for _, p := range s.entries {
		if err := s.waitReady(p); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // until all sessions are open
	return nil
}

// zoneOf returns the zone of the i-th process of a role: they alternate.
func zoneOf(i int) string { return []string{"zone-a", "zone-b"}[i%2] }

func port(addr string) string {
	_, p, _ := net.SplitHostPort(addr)
	return p
}

func (s *system) waitReady(p *process) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := s.client.Get("http://" + p.readyAddr + wire.ReadyPath); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// stop ends all processes that were started and removes their files. It keeps their logs
// in the directory keep, if it is set.
func (s *system) stop(keep string) {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		p.cmd.Process.Kill()
		<-p.done
		p.log.Close()
		if text, err := os.ReadFile(p.log.Name()); err == nil && keep != "" {
			os.WriteFile(filepath.Join(keep, p.name+".log"), text, 0o600)
		}
	}
	for _, e := range s.servers {
		e.close()
	}
	os.RemoveAll(s.dir)
}

// job is what a caller hands in.
type job struct {
	id             string
	tasks, ms, cpu int    // each task takes ms milliseconds and cpu thousandths of a core
	label          string // that the server must have; empty if none
}

// outcome is the answer to a job: the status of each send, zero without an answer.
type outcome struct {
	codes []int
	state string
}

// submit hands a job in, first at the entry with the index at. Without an answer, and
// after 502 and 504, it is sent again, as the platform's callers do.
func (s *system) submit(j job, at int) outcome {
	body, err := j.body()
	if err != nil {
		return outcome{}
	}
	var out outcome
	for send := range maxSends {
		p := s.entries[(at+send)%len(s.entries)]
		code, state := s.post(p, j, body, callersWait)
		out.codes, out.state = append(out.codes, code), state
		if code != 0 && code != http.StatusBadGateway && code != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resendDelay)
	}
	return out
}

// postOnce hands a job in without sending it again, and returns the status of the answer.
func (s *system) postOnce(j job, at int, wait time.Duration) int {
	body, err := j.body()
	if err != nil {
		return 0
	}
	code, _ := s.post(s.entries[at%len(s.entries)], j, body, wait)
	return code
}

func (j job) body() ([]byte, error) {
	step := map[string]any{"replicas": j.tasks, "cpu": j.cpu, wire.Memory: 64, wire.Estimate: j.ms}
	if j.label != "" {
		step["needs"] = j.label
	}
	return json.Marshal(map[string]any{"spec": fmt.Sprint(j.ms), wire.Unkept: true, "steps": []any{step}})
}

// post makes one request. It returns the status zero if there was no answer.
func (s *system) post(p *process, j job, body []byte, wait time.Duration) (code int, state string) {
	s.rec.log("sent   %s to %s tasks=%d ms=%d label=%q", j.id, p.name, j.tasks, j.ms, j.label)
	defer func() { s.rec.log("answer %s from %s status=%d state=%q", j.id, p.name, code, state) }()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.jobsAddr+wire.Prefix+j.id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = wire.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.TimeoutHeader, fmt.Sprint(wait.Milliseconds()))
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var reply struct {
		State string `json:"state"`
	}
	json.Unmarshal(text, &reply)
	return resp.StatusCode, reply.State
}
