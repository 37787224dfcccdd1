package entry

import (
	"context"
	"errors"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// receiver is the net/rpc receiver for one connection of an agent or peer.
type receiver struct {
	entry   *Entry
	connCtx context.Context // ends when the connection is closed
}

// Announce registers an incarnation of an agent.
func (r *receiver) Announce(req *structs.AnnounceRequest, reply *structs.AnnounceReply) error {
	if !r.entry.events.offer(coordinator.AgentAnnounced{Info: req.Info}) {
		return errors.New("too many events wait at this entry: announce again later")
	}
	if req.State.Incarnation != 0 {
		r.entry.events.post(coordinator.AgentStateReceived{Agent: req.Info.Incarnation, State: req.State})
	}
	reply.Entries = r.entry.peers.entries()
	reply.Document = r.entry.docs.record(req.Info.Service)
	return nil
}

// Members returns what a peer needs at start: the entries, the agents, the encoded
// state of the log and the final reports of closed entries.
func (r *receiver) Members(peer *structs.EntryInfo, reply *structs.MembersReply) error {
	r.entry.peers.markReachable(*peer)
	reply.Entries = r.entry.peers.entries()
	reply.Fold = r.entry.docs.encodedState()
	r.entry.inspectLoop(func(c *coordinator.Coordinator) {
		reply.Closed = c.ClosedReports()
		for _, a := range c.Dump().Agents {
			reply.Agents = append(reply.Agents, a.Info)
		}
	})
	return nil
}

// Ping records that the peer is alive and returns the identity of this entry.
func (r *receiver) Ping(peer *structs.EntryInfo, reply *structs.EntryInfo) error {
	r.entry.peers.markReachable(*peer)
	*reply = r.entry.self
	return nil
}

// Closed receives the final report of an entry that shuts down gracefully.
func (r *receiver) Closed(report *structs.ClosedReport, reply *bool) error {
	r.entry.events.post(coordinator.HomeClosed{Report: *report})
	*reply = true
	return nil
}

// Forward runs a caller's request that a peer has received. It is not forwarded
// again, because a request for another home is rejected.
func (r *receiver) Forward(req *structs.ForwardRequest, reply *structs.ForwardReply) error {
	if req.ID.Home != r.entry.self.Incarnation {
		reply.Error = structs.Errorf(structs.CodeStaleIncarnation, structs.MayHaveRun,
			"another incarnation of entry %s runs at this address", r.entry.self.Name)
		return nil
	}
	job := &jobRequest{op: req.Op, id: req.ID, spec: req.Spec, wait: req.Wait}
	reply.Answer, reply.Error = r.entry.serveJob(r.connCtx, job)
	return nil
}
