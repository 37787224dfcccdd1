package platform_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// chunkSize bounds the bytes that a proxy forwards at once.
const chunkSize = 4 << 10

// proxy forwards connections to one process and injects network faults.
type proxy struct {
	addr   string
	target string

	mu        sync.Mutex
	conns     map[net.Conn]struct{} // both ends of each connection
	delay     time.Duration         // of each chunk of data, in both directions
	slow      *rate.Limiter         // of the bytes from the process; nil for no limit
	blocked   [2]bool               // by direction: to the process, and back
	unblocked chan struct{}         // closed and replaced when the faults change
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{addr: l.Addr().String(), target: target, conns: make(map[net.Conn]struct{}), unblocked: make(chan struct{})}
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
			go p.handleConn(c)
		}
	}()
	return p
}

// handleConn forwards a connection in both directions until it is closed.
func (p *proxy) handleConn(c net.Conn) {
	upstream, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[upstream] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.forward(upstream, c, 0)
	p.forward(c, upstream, 1)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// forward forwards data in one direction until either connection fails, and closes
// both.
func (p *proxy) forward(to, from net.Conn, direction int) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.waitUntilPassing(direction)
			p.waitForLink(direction, n)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitForLink waits until the slow link has carried n bytes from the process.
func (p *proxy) waitForLink(direction, n int) {
	p.mu.Lock()
	slow := p.slow
	p.mu.Unlock()
	if slow != nil && direction == 1 {
		slow.WaitN(context.Background(), n)
	}
}

// setRate limits the bytes from the process to a rate per second, which all
// connections share. Zero removes the limit.
func (p *proxy) setRate(bytesPerSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = nil
	if bytesPerSecond > 0 {
		p.slow = rate.NewLimiter(rate.Limit(bytesPerSecond), chunkSize)
	}
}

// waitUntilPassing waits while the direction is blocked, and then for the delay.
func (p *proxy) waitUntilPassing(direction int) {
	for {
		p.mu.Lock()
		delay, blocked, unblocked := p.delay, p.blocked[direction], p.unblocked
		p.mu.Unlock()
		if !blocked {
			time.Sleep(delay)
			return
		}
		<-unblocked
	}
}

// setFaults sets the delay of all connections and the blocked directions.
func (p *proxy) setFaults(delay time.Duration, blockTo, blockBack bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
	p.blocked = [2]bool{blockTo, blockBack}
	close(p.unblocked)
	p.unblocked = make(chan struct{})
}

// reset resets all connections (RST).
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
