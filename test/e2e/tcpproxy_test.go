package e2e_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// tcpProxy forwards TCP connections and injects faults: it closes connections,
// discards traffic in one or both directions, delays it, or refuses new
// connections.
type tcpProxy struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	links  map[*link]bool
	refuse bool
	delay  time.Duration
	wg     sync.WaitGroup
}

// direction is one direction of a connection.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	discard        [2]bool // by direction: bytes are discarded
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{target: target, listener: l, links: make(map[*link]bool)}
	p.wg.Add(1)
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *tcpProxy) addr() string { return p.listener.Addr().String() }

func (p *tcpProxy) close() {
	p.listener.Close()
	p.closeAll()
	p.wg.Wait()
}

func (p *tcpProxy) accept() {
	defer p.wg.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Add(1)
		go p.connect(client)
	}
}

func (p *tcpProxy) connect(client net.Conn) {
	defer p.wg.Done()
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	if refuse {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	p.wg.Add(2)
	go p.pump(l, toTarget, client, server)
	go p.pump(l, fromTarget, server, client)
}

// pump copies bytes in one direction until either side closes. A link that
// discards traffic stays open.
func (p *tcpProxy) pump(l *link, d direction, from, to net.Conn) {
	defer p.wg.Done()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		discard, delay := l.discard[d], p.delay
		p.mu.Unlock()
		if discard && err != nil {
			return
		}
		time.Sleep(delay)
		if n > 0 && !discard {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			p.closeLink(l)
			return
		}
	}
}

func (p *tcpProxy) closeLink(l *link) {
	l.client.Close()
	l.server.Close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// closeAll closes every open connection.
func (p *tcpProxy) closeAll() {
	p.mu.Lock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	for _, l := range links {
		p.closeLink(l)
	}
}

// refuseConnections, called with true, closes every connection and closes new
// ones at once until it is called with false.
func (p *tcpProxy) refuseConnections(refuse bool) {
	p.mu.Lock()
	p.refuse = refuse
	p.mu.Unlock()
	if refuse {
		p.closeAll()
	}
}

// discardTraffic discards all further bytes of the open connections in the
// given directions. New connections are not affected.
func (p *tcpProxy) discardTraffic(directions ...direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		for _, d := range directions {
			l.discard[d] = true
		}
	}
}

// setDelay sets the delay of each forwarded chunk.
func (p *tcpProxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}
