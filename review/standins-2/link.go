package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// link is the path of clients to one entry, which can be cut. What a client has sent into the cut is sent
// again by its system, at growing intervals, and arrives by the first of these after the cut.
type link struct {
	addr, target string
	record       *record
	mu           sync.Mutex
	cutFrom      time.Time
	cutUntil     time.Time
}

const (
	roundTrip = 2 * time.Millisecond // between a client and an entry
	// firstRetransmission is the time after which a system sends a segment again. It doubles each time.
	firstRetransmission = 200 * time.Millisecond
)

func (s *system) newLink(p *process) (*link, error) {
	l, err := net.Listen("tcp", freeAddr())
	if err != nil {
		return nil, err
	}
	s.closers = append(s.closers, func() { l.Close() })
	k := &link{addr: l.Addr().String(), target: p.jobsAddr, record: s.record}
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

// cut cuts the link for a time.
func (k *link) cut(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutFrom = time.Now()
	k.cutUntil = k.cutFrom.Add(d)
}

func (k *link) isCut(t time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !t.Before(k.cutFrom) && t.Before(k.cutUntil)
}

// arrival returns when a segment arrives that is sent now.
func (k *link) arrival() time.Time {
	at, wait := time.Now(), firstRetransmission
	for k.isCut(at) {
		at = at.Add(wait)
		wait *= 2
	}
	return at.Add(roundTrip / 2)
}

func (k *link) forward(c net.Conn) {
	defer c.Close()
	e, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer e.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.pump(c, e)
	}()
	k.pump(e, c)
	<-done
}

// pump carries the bytes of one direction, and then its end, which waits for the acknowledgement of the
// bytes before it if these were sent again.
func (k *link) pump(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	var last time.Time
	late := false
	for {
		n, err := from.Read(buf)
		if n > 0 {
			sent := time.Now()
			last = k.arrival()
			late = last.Sub(sent) > firstRetransmission
			time.Sleep(time.Until(last))
			if late {
				k.record.line("%d bytes that were held up for %v arrive", n, time.Since(sent).Round(time.Millisecond))
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			end := k.arrival()
			if late {
				end = last.Add(roundTrip)
			}
			time.Sleep(time.Until(end))
			if late {
				k.record.line("the end of their channel arrives")
			}
			to.(*net.TCPConn).CloseWrite()
			if !errors.Is(err, io.EOF) {
				to.Close()
			}
			return
		}
	}
}

// channel is an open channel of a client.
type channel struct {
	sys  *system
	conn net.Conn
	br   *bufio.Reader
}

func (s *system) open(addr string) (*channel, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &channel{sys: s, conn: c, br: bufio.NewReader(c)}, nil
}

// post submits a job and waits for the response as long as clients do. Then it closes the channel.
func (c *channel) post(j job) answer {
	body := fmt.Sprintf(c.sys.texts.Job, strconv.Itoa(j.ms), j.replicas, j.cpu, j.estimate)
	c.sys.record.line("sent: POST %s", j.path)
	fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: bookings.example\r\nContent-Type: application/json\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		j.path, c.sys.texts.DeadlineHeader, callerDeadline.Milliseconds(), len(body), body)
	c.conn.SetReadDeadline(time.Now().Add(callerDeadline))
	a := c.response()
	a.at = time.Now()
	c.sys.record.line("answered: POST %s: %s", j.path, a)
	if a.err != nil {
		c.conn.Close()
		c.sys.record.line("the client of %s closes its channel", j.path)
	}
	return a
}

func (c *channel) response() answer {
	for {
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return answer{err: err}
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return answer{err: err}
		}
		return answer{code: resp.StatusCode, state: string(text)}
	}
}
