package entry

import (
	"bytes"
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
	"github.com/chestnuthollow/chestnuthollow/standin/slowlink"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// stateReceiver replies to Members with an encoded state.
type stateReceiver struct{ state []byte }

// Members returns the state.
func (r *stateReceiver) Members(_ *structs.EntryInfo, reply *structs.MembersReply) error {
	reply.Fold = r.state
	return nil
}

// newSlowPeer returns a table with one peer that has a state of the given size, in bytes,
// and sends it at a limited rate, in bytes per second.
func newSlowPeer(t *testing.T, size, rateLimit int) (*peerTable, []byte) {
	state := bytes.Repeat([]byte("x"), size)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpcserver.New(rpcserver.DefaultOptions(), structs.EntryService, func(context.Context) any {
		return &stateReceiver{state: state}
	})
	go server.Serve(slowlink.NewListener(l, rateLimit))
	t.Cleanup(func() { l.Close() })
	peers := newPeerTable(structs.EntryInfo{Incarnation: 1})
	peers.add([]structs.EntryInfo{{Incarnation: 2, RPCAddr: l.Addr().String()}})
	return peers, state
}

// Guards against an entry that never gets the state of the log from a peer while the log
// is unavailable: the call was given up after a second, over a slow link, and the
// connection dropped with the calls of jobs on it.
func TestLargeStateIsFetchedOverSlowLink(t *testing.T) {
	g := NewWithT(t)
	peers, state := newSlowPeer(t, 400_000, 200_000)
	g.Expect(peers.fetchState(t.Context())).To(Equal(state))
}

// Ping returns the entry itself.
func (r *stateReceiver) Ping(_ *structs.EntryInfo, reply *structs.EntryInfo) error {
	*reply = structs.EntryInfo{Incarnation: 2}
	return nil
}

// membersHandler counts the replies to Members.
type membersHandler struct{ replies chan *structs.MembersReply }

func (h *membersHandler) postPeers([]structs.EntryInfo, int)      {}
func (h *membersHandler) postMembers(reply *structs.MembersReply) { h.replies <- reply }

// Guards against a new entry that is never ready: it needs the agents that a peer lists,
// and gave up the call after a second because the peer's state comes with them.
func TestMembersWithLargeStateAreFetchedOverSlowLink(t *testing.T) {
	g := NewWithT(t)
	peers, state := newSlowPeer(t, 400_000, 200_000)
	h := &membersHandler{replies: make(chan *structs.MembersReply, 10)}
	go peers.run(t.Context(), h)
	g.Eventually(h.replies, "10s").Should(Receive(HaveField("Fold", state)))
	g.Eventually(peers.ready, "1s").Should(Succeed())
}
