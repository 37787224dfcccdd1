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

// stopTimeout is the time limit for a graceful stop.
const stopTimeout = 60 * time.Second

// process is a child process of the test.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	out  *lockedBuffer
	done chan struct{} // closed when the process has ended
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

// start runs a program until it exits or the test ends.
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
	t.Cleanup(p.cleanUp)
	return p
}

// cleanUp kills the process if it is still running. It fails the test if the
// output contains a data race or panic, and logs the last output if the test
// failed.
func (p *process) cleanUp() {
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

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop requests a graceful stop and returns an error unless the process exits
// with status 0 within stopTimeout.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not stop within %v", p.name, stopTimeout)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("%s exited with status %d", p.name, code)
	}
	return nil
}
