package e2e_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stopBound is how long a process may take for a graceful stop.
const stopBound = 60 * time.Second

// process is a child of the test. It is ended by its id.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	out  *lockedBuffer
	done chan struct{} // closed when it has ended
}

// lockedBuffer collects a process's output.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start runs a program until it ends or the test does.
func start(t *testing.T, name string, env []string, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, out: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = p.out
	p.cmd.Stderr = p.out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.end)
	return p
}

// end kills the process if it still runs, and prints the end of its output if
// the test failed.
func (p *process) end() {
	p.kill()
	out := p.out.String()
	if strings.Contains(out, "DATA RACE") || strings.Contains(out, "panic:") {
		p.t.Errorf("%s: data race or panic:\n%s", p.name, tail(out, 16000))
	} else if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.name, tail(out, 4000))
	}
}

func tail(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return "…" + s[len(s)-n:]
}

func (p *process) signal(s syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop asks for a graceful stop and returns an error unless the process ends
// by itself with status 0.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopBound):
		return fmt.Errorf("%s has not stopped within %v", p.name, stopBound)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("%s ended with status %d", p.name, code)
	}
	return nil
}
