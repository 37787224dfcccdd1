package entry

import (
	"context"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// rpcReceiver serves agents and peers under net/rpc.
type rpcReceiver struct {
	e    *Entry
	conn context.Context // ends when the peer has gone
}

// Announce takes in an agent run.
func (r *rpcReceiver) Announce(req *structs.AnnounceRequest, reply *structs.AnnounceReply) error {
	r.e.mail.post(coordinator.AgentAnnounced{Info: req.Info})
	if req.State.Incarnation != 0 {
		r.e.mail.post(coordinator.AgentStateReceived{Agent: req.Info.Incarnation, State: req.State})
	}
	reply.Entries = r.e.peers.entries()
	reply.Document = r.e.docs.record(req.Info.Service)
	return nil
}

// Members tells a newcomer what it needs to serve.
func (r *rpcReceiver) Members(from *structs.EntryInfo, reply *structs.MembersReply) error {
	r.e.peers.heard(*from)
	reply.Entries = r.e.peers.entries()
	reply.Fold = r.e.docs.encodedFold()
	r.e.inspectLoop(func(c *coordinator.Coordinator) {
		reply.Closed = c.ClosedReports()
		for _, a := range c.Dump().Agents {
			reply.Agents = append(reply.Agents, a.Info)
		}
	})
	return nil
}

// Ping tells a peer that this entry lives, and which run of it.
func (r *rpcReceiver) Ping(from *structs.EntryInfo, reply *structs.EntryInfo) error {
	r.e.peers.heard(*from)
	*reply = r.e.self
	return nil
}

// Closed takes in the last word of a peer that ends gracefully.
func (r *rpcReceiver) Closed(report *structs.ClosedReport, taken *bool) error {
	r.e.mail.post(coordinator.HomeClosed{Report: *report})
	*taken = true
	return nil
}

// Forward runs a caller's request that a peer took in. It is never forwarded
// again.
func (r *rpcReceiver) Forward(req *structs.ForwardRequest, reply *structs.ForwardReply) error {
	if req.ID.Home != r.e.self.Incarnation {
		reply.Error = structs.Errorf(structs.CodeStaleIncarnation, structs.MayHaveRun,
			"another run of entry %s answers here", r.e.self.Name)
		return nil
	}
	job := &jobRequest{op: req.Op, id: req.ID, spec: req.Spec, wait: req.Wait}
	reply.Answer, reply.Error = r.e.doAnywhere(r.conn, job)
	return nil
}
