package e2e_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// forwarder is a TCP hop that can lose track of its connections: it cuts or
// silences them, one way or both, while new ones may work.
type forwarder struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	links  map[*link]bool
	refuse bool
	delay  time.Duration
	wait   sync.WaitGroup
}

// direction names one way of a connection.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	silent         [2]bool // by direction: bytes are swallowed
}

func newForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{target: target, listener: l, links: make(map[*link]bool)}
	f.wait.Add(1)
	go f.accept()
	t.Cleanup(f.close)
	return f
}

func (f *forwarder) addr() string { return f.listener.Addr().String() }

func (f *forwarder) close() {
	f.listener.Close()
	f.cut()
	f.wait.Wait()
}

func (f *forwarder) accept() {
	defer f.wait.Done()
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.wait.Add(1)
		go f.connect(client)
	}
}

func (f *forwarder) connect(client net.Conn) {
	defer f.wait.Done()
	f.mu.Lock()
	refuse := f.refuse
	f.mu.Unlock()
	if refuse {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", f.target)
	if err != nil {
		client.Close()
		return
	}
	l := &link{client: client, server: server}
	f.mu.Lock()
	f.links[l] = true
	f.mu.Unlock()
	f.wait.Add(2)
	go f.pump(l, toTarget, client, server)
	go f.pump(l, fromTarget, server, client)
}

// pump moves bytes one way until either side ends. A silent link stays open.
func (f *forwarder) pump(l *link, d direction, from, to net.Conn) {
	defer f.wait.Done()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		f.mu.Lock()
		silent, delay := l.silent[d], f.delay
		f.mu.Unlock()
		if silent && err != nil {
			return
		}
		time.Sleep(delay)
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			f.drop(l)
			return
		}
	}
}

func (f *forwarder) drop(l *link) {
	l.client.Close()
	l.server.Close()
	f.mu.Lock()
	delete(f.links, l)
	f.mu.Unlock()
}

// cut closes every open connection.
func (f *forwarder) cut() {
	f.mu.Lock()
	links := make([]*link, 0, len(f.links))
	for l := range f.links {
		links = append(links, l)
	}
	f.mu.Unlock()
	for _, l := range links {
		f.drop(l)
	}
}

// refuseNew cuts every connection and closes new ones at once, until it is
// called with false.
func (f *forwarder) refuseNew(refuse bool) {
	f.mu.Lock()
	f.refuse = refuse
	f.mu.Unlock()
	if refuse {
		f.cut()
	}
}

// silence swallows all further bytes of the connections open now. New ones
// work.
func (f *forwarder) silence(ways ...direction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.links {
		for _, d := range ways {
			l.silent[d] = true
		}
	}
}

// setDelay holds each chunk back.
func (f *forwarder) setDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}
