package rpcserver_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/go-kit/log"

	"github.com/chestnuthollow/chestnuthollow/internal/intake"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
)

// Echo is the service under test.
type Echo struct {
	connCtx      context.Context
	disconnected chan struct{} // receives a value when the connection of a pending Wait is lost or closed
	release      chan struct{}
}

// Say returns its argument.
func (e *Echo) Say(text *string, reply *string) error {
	*reply = *text
	return nil
}

// Wait replies once it is released, or returns when its connection is lost.
func (e *Echo) Wait(_ *string, reply *string) error {
	select {
	case <-e.release:
		*reply = "released"
	case <-e.connCtx.Done():
		e.disconnected <- struct{}{}
	}
	return nil
}

type fixture struct {
	server       *rpcserver.Server
	addr         string
	disconnected chan struct{}
	release      chan struct{}
}

func start(t testing.TB, change func(*rpcserver.Options)) *fixture {
	t.Helper()
	opts := rpcserver.DefaultOptions()
	opts.Messages = intake.NewMessages(1<<20, log.NewNopLogger())
	if change != nil {
		change(&opts)
	}
	f := &fixture{disconnected: make(chan struct{}, 10), release: make(chan struct{})}
	f.server = rpcserver.New(opts, "Echo", func(connCtx context.Context) any {
		return &Echo{connCtx: connCtx, disconnected: f.disconnected, release: f.release}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f.addr = l.Addr().String()
	go f.server.Serve(l)
	t.Cleanup(func() {
		l.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		f.server.Shutdown(ctx)
	})
	return f
}

func (f *fixture) dial(t *testing.T) *rpc.Client {
	t.Helper()
	c, err := rpc.Dial("tcp", f.addr)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { c.Close() })
	return c
}

func TestServesStandardRPCClient(t *testing.T) {
	g := NewWithT(t)
	c := start(t, nil).dial(t)
	for _, text := range []string{"a", strings.Repeat("b", 100_000)} {
		var reply string
		g.Expect(c.Call("Echo.Say", &text, &reply)).To(Succeed())
		g.Expect(reply).To(Equal(text))
	}
	g.Expect(c.Call("Echo.Nothing", new(string), new(string))).To(MatchError(ContainSubstring("can't find method")))
}

func TestOversizedRequestFails(t *testing.T) {
	g := NewWithT(t)
	f := start(t, func(o *rpcserver.Options) { o.MaxMessageBytes = 10_000 })
	text := strings.Repeat("x", 20_000)
	g.Expect(f.dial(t).Call("Echo.Say", &text, new(string))).To(HaveOccurred())
	small := "x"
	g.Expect(f.dial(t).Call("Echo.Say", &small, new(string))).To(Succeed())
}

func TestIncompleteRequestTimesOut(t *testing.T) {
	g := NewWithT(t)
	f := start(t, func(o *rpcserver.Options) { o.IdleTimeout = 20 * time.Millisecond })
	conn, err := net.Dial("tcp", f.addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	conn.Write([]byte{0x20})
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF))
}

// At the connection limit, the connection idle longest is closed, so that
// unresponsive peers cannot block new connections.
func TestConnectionLimitClosesMostIdle(t *testing.T) {
	g := NewWithT(t)
	f := start(t, func(o *rpcserver.Options) { o.MaxConns = 2 })
	text := "x"
	idle, active := f.dial(t), f.dial(t)
	for _, c := range []*rpc.Client{idle, active} {
		g.Expect(c.Call("Echo.Say", &text, new(string))).To(Succeed())
	}
	idle.Go("Echo.Wait", &text, new(string), nil)
	g.Expect(idle.Call("Echo.Say", &text, new(string))).To(Succeed())
	g.Expect(active.Call("Echo.Say", &text, new(string))).To(Succeed())
	g.Expect(f.dial(t).Call("Echo.Say", &text, new(string))).To(Succeed())
	g.Eventually(f.disconnected).Should(Receive(), "pending calls of the most idle connection are canceled")
	g.Expect(active.Call("Echo.Say", &text, new(string))).To(Succeed())
	g.Expect(f.server.Conns()).To(Equal(2))
}

func TestPendingCallLimitDelaysRequests(t *testing.T) {
	g := NewWithT(t)
	f := start(t, func(o *rpcserver.Options) { o.MaxCallsPerConn = 1 })
	c := f.dial(t)
	text := "x"
	wait := c.Go("Echo.Wait", &text, new(string), nil)
	say := c.Go("Echo.Say", &text, new(string), nil)
	g.Consistently(say.Done, "50ms").ShouldNot(Receive())
	close(f.release)
	g.Eventually(wait.Done).Should(Receive())
	g.Eventually(say.Done).Should(Receive())
}

func TestDisconnectCancelsPendingCalls(t *testing.T) {
	g := NewWithT(t)
	f := start(t, nil)
	c := f.dial(t)
	c.Go("Echo.Wait", new(string), new(string), nil)
	g.Eventually(f.server.Conns).Should(Equal(1))
	c.Close()
	g.Eventually(f.disconnected).Should(Receive())
	g.Eventually(f.server.Conns).Should(BeZero())
}

func TestShutdownDeliversPendingReplies(t *testing.T) {
	g := NewWithT(t)
	f := start(t, nil)
	c := f.dial(t)
	text := "x"
	var reply string
	pending := c.Go("Echo.Wait", &text, &reply, nil)
	g.Expect(c.Call("Echo.Say", &text, new(string))).To(Succeed())
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Shutdown(context.Background()) }()
	g.Consistently(stopped, "50ms").ShouldNot(Receive())
	close(f.release)
	g.Expect((<-pending.Done).Error).NotTo(HaveOccurred())
	g.Expect(reply).To(Equal("released"))
	g.Eventually(stopped).Should(Receive(BeNil()))
}

// FuzzConnection sends arbitrary bytes: the server must neither panic nor keep
// the connection open after the peer has closed its side.
func FuzzConnection(f *testing.F) {
	server := start(f, func(o *rpcserver.Options) { o.MaxMessageBytes = 4096 })
	close(server.release)
	f.Add([]byte{})
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(encodedCall(f))
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", server.addr)
		if err != nil {
			t.Skip(err)
		}
		defer conn.Close()
		conn.Write(data)
		conn.(*net.TCPConn).CloseWrite()
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
			t.Error("the server keeps a connection open after its peer has closed it")
		}
	})
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// encodedCall returns the encoded bytes of one call of Echo.Say.
func encodedCall(f *testing.F) []byte {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	NewWithT(f).Expect(enc.Encode(rpc.Request{ServiceMethod: "Echo.Say", Seq: 1})).To(Succeed())
	NewWithT(f).Expect(enc.Encode("hello")).To(Succeed())
	return buf.Bytes()
}

// Guards against connections of peers that are replaced by those of clients that send no request.
func TestConnectionLimitKeepsThoseWithRequests(t *testing.T) {
	g := NewWithT(t)
	f := start(t, func(o *rpcserver.Options) { o.MaxConns = 4 })
	text := "x"
	peers := []*rpc.Client{f.dial(t), f.dial(t)}
	for _, c := range peers {
		g.Expect(c.Call("Echo.Say", &text, new(string))).To(Succeed())
	}
	for range 20 {
		conn, err := net.Dial("tcp", f.addr)
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
	}
	for _, c := range append(peers, f.dial(t)) {
		g.Expect(c.Call("Echo.Say", &text, new(string))).To(Succeed())
	}
}
