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

// Guards against an entry that never gets the state of the log from a peer while the log
// is unavailable: the call was given up after a second, over a slow link, and the
// connection dropped with the calls of jobs on it.
func TestLargeStateIsFetchedOverSlowLink(t *testing.T) {
	g := NewWithT(t)
	const size, rateLimit = 400_000, 200_000 // bytes, bytes per second
	state := bytes.Repeat([]byte("x"), size)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := rpcserver.New(rpcserver.DefaultOptions(), structs.EntryService, func(context.Context) any {
		return &stateReceiver{state: state}
	})
	go server.Serve(slowlink.NewListener(l, rateLimit))
	t.Cleanup(func() { l.Close() })

	peers := newPeerTable(structs.EntryInfo{Incarnation: 1})
	peers.add([]structs.EntryInfo{{Incarnation: 2, RPCAddr: l.Addr().String()}})
	g.Expect(peers.fetchState(t.Context())).To(Equal(state))
}
