package main

import (
	"net"
	"sync"
)

// link forwards connections to an address. While it is cut, it forwards nothing in either
// direction and closes nothing.
type link struct {
	addr, target string

	mu     sync.Mutex
	passes chan struct{} // closed while the link is not cut
}

func newLink(addr, target string) (*link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &link{addr: addr, target: target, passes: make(chan struct{})}
	close(k.passes)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(c)
		}
	}()
	return k, nil
}

// setCut cuts or restores the link.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut {
		k.passes = make(chan struct{})
	} else {
		close(k.passes)
	}
}

func (k *link) wait() {
	k.mu.Lock()
	passes := k.passes
	k.mu.Unlock()
	<-passes
}

func (k *link) forward(c net.Conn) {
	k.wait()
	up, err := net.Dial("tcp", k.target)
	if err != nil {
		c.Close()
		return
	}
	go k.copy(up, c)
	k.copy(c, up)
}

func (k *link) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		k.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
