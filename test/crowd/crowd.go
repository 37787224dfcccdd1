// Package crowd plays clients that do not behave: many connections at once that each send what one function
// says, and stay open. It also measures what a process occupies meanwhile. It is for tests.
package crowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dials bounds the connections that are being opened at once.
	dials       = 64
	dialTimeout = 5 * time.Second
	// sampleInterval is the interval at which the usage of a process is sampled.
	sampleInterval = 20 * time.Millisecond
)

// Client sends what one connection of a crowd sends. It returns when it has sent all, or at the first error.
type Client func(*Conn)

// Conn is a connection of a crowd.
type Conn struct {
	net.Conn
	// Job is a name that no other connection of the crowd has.
	Job string
	// Left is closed when the crowd leaves.
	Left <-chan struct{}
}

// Send reports whether b was sent.
func (c *Conn) Send(b []byte) bool {
	_, err := c.Write(b)
	return err == nil
}

// SendPieces sends b in pieces with a pause after each.
func (c *Conn) SendPieces(b []byte, size int, pause time.Duration) {
	for len(b) > 0 {
		n := min(size, len(b))
		if !c.Send(b[:n]) {
			return
		}
		b = b[n:]
		select {
		case <-c.Left:
			return
		case <-time.After(pause):
		}
	}
}

// Case describes a crowd.
type Case struct {
	Connections int
	Client      Client
	// Deaf clients never read.
	Deaf bool
	// Persistent clients open another connection when theirs is closed, until the crowd leaves.
	Persistent bool
}

// Of returns a crowd whose clients read the answer.
func Of(connections int, c Client) Case { return Case{Connections: connections, Client: c} }

// Deaf returns a crowd whose clients never read.
func Deaf(connections int, c Client) Case {
	return Case{Connections: connections, Client: c, Deaf: true}
}

// Persistent returns a crowd whose clients connect again when they are answered or their connections closed.
func Persistent(connections int, c Client) Case {
	return Case{Connections: connections, Client: c, Persistent: true}
}

// Crowd is a set of connections that stay open until Leave.
type Crowd struct {
	onAnswer func(job string, status int)
	left     chan struct{}
	clients  sync.WaitGroup
	sent     chan struct{} // closed when all clients have sent what they send
	unsent   atomic.Int64

	mu      sync.Mutex
	answers map[string]int // by status, or how the connection ended
	conns   []net.Conn
	hasLeft bool
}

// Start opens the connections of a crowd to addr. onAnswer is called with each final response, by any
// goroutine. Crowds that are open at the same time need different seeds.
func Start(addr string, c Case, seed uint64, onAnswer func(job string, status int)) *Crowd {
	cr := &Crowd{onAnswer: onAnswer, left: make(chan struct{}), sent: make(chan struct{}), answers: make(map[string]int)}
	cr.unsent.Store(int64(c.Connections))
	dialing := make(chan struct{}, dials)
	for i := range c.Connections {
		cr.clients.Go(func() {
			defer func() {
				if cr.unsent.Add(-1) == 0 {
					close(cr.sent)
				}
			}()
			again := cr.connect(addr, c, dialing, fmt.Sprintf("c%03x%012x", seed&0xfff, i))
			if again == nil {
				return
			}
			cr.clients.Go(func() {
				for n := 1; again != nil; n++ {
					select {
					case <-cr.left:
						return
					case <-again:
						again = cr.connect(addr, c, dialing, fmt.Sprintf("c%03x%04x%08x", seed&0xfff, n&0xffff, i))
					}
				}
			})
		})
	}
	return cr
}

// connect opens a connection and sends what its client sends. For a persistent client, it returns a channel
// that is closed when the connection is closed.
func (cr *Crowd) connect(addr string, c Case, dialing chan struct{}, job string) (closed chan struct{}) {
	dialing <- struct{}{}
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	<-dialing
	if err != nil {
		cr.count("no connection")
		return nil
	}
	cr.mu.Lock()
	cr.conns = append(cr.conns, conn)
	if cr.hasLeft {
		conn.Close()
	}
	cr.mu.Unlock()
	done := make(chan struct{})
	if c.Persistent {
		closed = done
	}
	if !c.Deaf {
		cr.clients.Go(func() {
			cr.readAnswer(conn, job)
			if c.Persistent {
				conn.Close()
			}
			close(done)
		})
	}
	c.Client(&Conn{Conn: conn, Job: job, Left: cr.left})
	return closed
}

func (cr *Crowd) readAnswer(conn net.Conn, job string) {
	r := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(r, nil)
		switch {
		case err != nil:
			cr.count("closed")
			return
		case resp.StatusCode >= http.StatusOK:
			cr.onAnswer(job, resp.StatusCode)
			cr.count(strconv.Itoa(resp.StatusCode))
			return
		}
	}
}

func (cr *Crowd) count(answer string) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.answers[answer]++
}

// String returns how many connections had which answer.
func (cr *Crowd) String() string {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return fmt.Sprint(cr.answers)
}

// AwaitSent waits until the clients have sent what they send, or the timeout has passed: a client whose
// connection is not read waits for as long as the crowd stays. It returns how many still send.
func (cr *Crowd) AwaitSent(timeout time.Duration) int {
	select {
	case <-cr.sent:
	case <-time.After(timeout):
	}
	return int(cr.unsent.Load())
}

// Leave closes all connections.
func (cr *Crowd) Leave() {
	close(cr.left)
	cr.mu.Lock()
	cr.hasLeft = true
	for _, conn := range cr.conns {
		conn.Close()
	}
	cr.mu.Unlock()
	cr.clients.Wait()
}

// Usage is what a process occupies at its peak.
type Usage struct {
	Memory   int64 // bytes, resident and received at the same time
	Resident int64 // bytes, by the kernel's own peak
	Received int64 // bytes, not read yet
	Sockets  int
}

// String describes the usage.
func (u Usage) String() string {
	return fmt.Sprintf("memory %.1f MiB (resident %.1f, received %.1f), %d sockets", mib(u.Memory), mib(u.Resident), mib(u.Received), u.Sockets)
}

func mib(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// Watch samples what a process occupies.
type Watch struct {
	quit chan struct{}
	done chan Usage
}

// WatchUsage samples what a process occupies until Stop.
func WatchUsage(pid int) *Watch {
	w := &Watch{quit: make(chan struct{}), done: make(chan Usage, 1)}
	go func() {
		var peak Usage
		for {
			now := usageOf(pid)
			peak.Memory = max(peak.Memory, now.Memory, now.Resident)
			peak.Resident = max(peak.Resident, now.Resident)
			peak.Received = max(peak.Received, now.Received)
			peak.Sockets = max(peak.Sockets, now.Sockets)
			select {
			case <-w.quit:
				w.done <- peak
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return w
}

// Stop returns the peaks.
func (w *Watch) Stop() Usage {
	close(w.quit)
	return <-w.done
}

// UsageOf returns what a process occupies now, and the kernel's own peak of its resident memory.
func UsageOf(pid int) Usage { return usageOf(pid) }

// usageOf returns what a process occupies. The parts are zero once it has ended.
func usageOf(pid int) Usage {
	var u Usage
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	sockets := make(map[string]bool) // by inode
	fds, _ := os.ReadDir(filepath.Join(dir, "fd"))
	for _, fd := range fds {
		target, err := os.Readlink(filepath.Join(dir, "fd", fd.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	u.Sockets = len(sockets)
	tcp, _ := os.ReadFile(filepath.Join(dir, "net", "tcp"))
	const stateColumn, queuesColumn, inodeColumn, listening = 3, 4, 9, "0A"
	for _, line := range strings.Split(string(tcp), "\n") {
		f := strings.Fields(line)
		if len(f) <= inodeColumn || !sockets[f[inodeColumn]] || f[stateColumn] == listening {
			continue
		}
		if _, received, ok := strings.Cut(f[queuesColumn], ":"); ok {
			n, _ := strconv.ParseInt(received, 16, 64)
			u.Received += n
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
			u.Resident = kib << 10
		case "VmRSS:":
			resident = kib << 10
		}
	}
	u.Memory = resident + u.Received
	return u
}
