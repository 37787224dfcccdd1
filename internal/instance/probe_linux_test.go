package instance_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/chestnuthollow/chestnuthollow/internal/instance"
)

// probeLook is what is known of a client after it was probed.
type probeLook struct{ acknowledged, disconnected bool }

// probeClient has a server probe a client after leave, and returns what it knows in the end.
func probeClient(t *testing.T, leave func(*net.TCPConn) error) probeLook {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	entered, left, result := make(chan bool), make(chan bool), make(chan probeLook, 1)
	s := instance.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		entered <- true
		<-left
		p := instance.NewClientProbe(r.Context())
		sendErr := p.Send()
		time.Sleep(50 * time.Millisecond)
		look := probeLook{acknowledged: p.Acknowledged(), disconnected: instance.Disconnected(r.Context())}
		if sendErr != nil && look.acknowledged {
			t.Errorf("acknowledged a probe that was not sent: %v", sendErr)
		}
		result <- look
	}), log.NewNopLogger())
	t.Cleanup(func() { s.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	<-entered
	g.Expect(leave(conn.(*net.TCPConn))).To(Succeed())
	left <- true
	return <-result
}

// dropSegments has the kernel of a client drop all segments that arrive for the connection.
func dropSegments(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var filterErr error
	err = raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	})
	return errors.Join(err, filterErr)
}

// Guards against tasks that run twice: a client that is cut off, or has left, counts as one that waits.
func TestOnlyClientsThatWaitAcknowledgeProbes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(probeClient(t, func(*net.TCPConn) error { return nil })).To(Equal(probeLook{acknowledged: true}), "waits")
	g.Expect(probeClient(t, dropSegments)).To(Equal(probeLook{}), "cut off")
	g.Expect(probeClient(t, (*net.TCPConn).Close).disconnected).To(BeTrue(), "closed")
	g.Expect(probeClient(t, func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }).disconnected).To(BeTrue(), "reset")
}

// Guards against responses that clients cannot read: after any number of probes the interim responses are
// complete, and the response follows.
func TestResponseFollowsCompleteInterimResponses(t *testing.T) {
	for _, probes := range []int{0, 1, 24, 25, 26, 60} {
		g := NewWithT(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		s := instance.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p := instance.NewClientProbe(r.Context())
			for range probes {
				if err := p.Send(); err != nil {
					t.Error(err)
				}
			}
			if err := p.Finish(); err != nil {
				t.Error(err)
			}
			w.WriteHeader(http.StatusTeapot)
		}), log.NewNopLogger())
		conn, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		in := bufio.NewReader(conn)
		for range 2 { // the connection can be used again
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			for range (probes + 24) / 25 {
				resp, err := http.ReadResponse(in, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusContinue))
			}
			resp, err := http.ReadResponse(in, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusTeapot))
		}
		conn.Close()
		s.Close()
	}
}

// Guards against a submission that was sent long ago and is taken for new.
func TestTimeSinceLastByteIsKnown(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	entered, ago := make(chan bool), make(chan time.Duration, 1)
	s := instance.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-entered
		ago <- instance.NewClientProbe(r.Context()).LastReceived()
	}), log.NewNopLogger())
	defer s.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(200 * time.Millisecond)
	entered <- true
	g.Expect(<-ago).To(BeNumerically(">=", 150*time.Millisecond))
}
