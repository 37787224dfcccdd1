package gateway

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// peer is another entry that had every job.
type peer struct{ got chan session.CancelRequest }

func (p *peer) Cancel(req *session.CancelRequest, reply *session.CancelReply) error {
	for range req.Cancels {
		reply.Known = append(reply.Known, true)
	}
	p.got <- *req
	return nil
}

// oldPeer is an entry of a build without Entry.Cancel.
type oldPeer struct{}

func (oldPeer) Exchange(*session.ExchangeRequest, *session.ExchangeReply) error { return nil }

// servePeer serves one net/rpc receiver, and returns its address and a function that closes
// all of its connections.
func servePeer(t *testing.T, receiver any) (string, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	server := rpc.NewServer()
	if err := server.RegisterName(structs.EntryService, receiver); err != nil {
		t.Fatal(err)
	}
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
			go server.ServeConn(c)
		}
	}()
	return l.Addr().String(), func() { (<-conns).Close() }
}

func gatewayWithPeers(t *testing.T) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &Gateway{logger: log.NewNopLogger(), background: ctx, peers: make(map[string]*peerLink)}
}

func (g *Gateway) tell(addr, job string) tellResult {
	result := make(chan tellResult, 1)
	g.enqueueTell(addr, tell{cancel: session.Cancel{Job: job}, at: time.Now(), result: result})
	return <-result
}

// Guards against a cancel that gets lost because the connection to the other entry was closed
// while it was not used, as by a restart.
func TestPeerIsToldAfterItsConnectionWasClosed(t *testing.T) {
	g := NewWithT(t)
	p := &peer{got: make(chan session.CancelRequest, 10)}
	addr, closeConn := servePeer(t, p)
	gw := gatewayWithPeers(t)
	g.Expect(gw.tell(addr, "a")).To(Equal(tellResult{known: true}))
	closeConn()
	g.Eventually(func() tellResult { return gw.tell(addr, "b") }).Should(Equal(tellResult{known: true}))
	g.Expect((<-p.got).Cancels[0].Job).To(Equal("a"))
	g.Expect((<-p.got).Cancels[0].Job).To(Equal("b"))
}

// Guards against an entry that counts as told though it is of a build that does not know
// cancels, or does not run.
func TestPeerThatCannotTakeCancelsIsMissed(t *testing.T) {
	g := NewWithT(t)
	old, _ := servePeer(t, oldPeer{})
	gw := gatewayWithPeers(t)
	g.Expect(gw.tell(old, "a").err).To(MatchError(ContainSubstring("can't find method")))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l.Close()
	g.Expect(gw.tell(l.Addr().String(), "a").err).To(HaveOccurred())
}
