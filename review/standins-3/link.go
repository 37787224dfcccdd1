package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// link is a loopback proxy in front of one process. It can be cut as by a partition: nothing passes, and
// nobody is told. What is sent meanwhile is dropped, with the connection that carries it: its sender
// has given it up long before the cut is mended.
type link struct {
	addr   string
	target string
	// sender, if set, is the name of the only process that a cut concerns: its connections are
	// known by the name in their first message.
	sender []byte
	// toTarget and back replace addresses in what passes, so that the processes know each other
	// by the addresses of their links.
	toTarget, back []replacement

	mu     sync.Mutex
	isCut  bool
	mended chan struct{} // closed when a cut is mended
}

type replacement struct{ from, to string }

func newLink(addr, target string) (*link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &link{addr: addr, target: target, mended: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

func (k *link) serve(c net.Conn) {
	defer c.Close()
	first := make([]byte, 64<<10)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	concerned := len(k.sender) == 0 || bytes.Contains(first[:n], k.sender)
	if !k.passes(concerned) {
		return
	}
	up, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		return
	}
	defer up.Close()
	if _, err := up.Write(replaceAll(first[:n], k.toTarget)); err != nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.forward(c, up, k.back, concerned)
		c.Close()
	}()
	k.forward(up, c, k.toTarget, concerned)
	up.Close()
	<-done
}

func (k *link) forward(to, from net.Conn, rules []replacement, concerned bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if !k.passes(concerned) {
			return
		}
		if n > 0 {
			if _, err := to.Write(replaceAll(buf[:n], rules)); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// passes reports whether bytes, or the end of a connection, may pass now. If the link is cut it
// returns false once the cut is mended.
func (k *link) passes(concerned bool) bool {
	k.mu.Lock()
	cut, mended := k.isCut, k.mended
	k.mu.Unlock()
	if !cut || !concerned {
		return true
	}
	<-mended
	return false
}

func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isCut && !cut {
		close(k.mended)
		k.mended = make(chan struct{})
	}
	k.isCut = cut
}

func replaceAll(text []byte, rules []replacement) []byte {
	for _, r := range rules {
		text = bytes.ReplaceAll(text, []byte(r.from), []byte(r.to))
	}
	return text
}
