package platform_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// proxy carries connections to one process and harms them on request.
type proxy struct {
	addr   string
	target string

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	delay  time.Duration
	silent [2]bool       // towards the process, and back
	pass   chan struct{} // closed when a silence ends
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{addr: l.Addr().String(), target: target, conns: make(map[net.Conn]struct{}), pass: make(chan struct{})}
	t.Cleanup(func() {
		l.Close()
		p.reset()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p
}

func (p *proxy) carry(c net.Conn) {
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.copy(to, c, 0)
	p.copy(c, to, 1)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, to)
	p.mu.Unlock()
}

// copy carries one direction until either side ends.
func (p *proxy) copy(to, from net.Conn, direction int) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.hold(direction)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits while the direction is harmed.
func (p *proxy) hold(direction int) {
	for {
		p.mu.Lock()
		delay, silent, pass := p.delay, p.silent[direction], p.pass
		p.mu.Unlock()
		if !silent {
			time.Sleep(delay)
			return
		}
		<-pass
	}
}

// harm sets the faults of all connections.
func (p *proxy) harm(delay time.Duration, toProcess, back bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
	p.silent = [2]bool{toProcess, back}
	close(p.pass)
	p.pass = make(chan struct{})
}

// reset closes all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}
