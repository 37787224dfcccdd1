package agent

import (
	"context"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// receiver is the net/rpc receiver for one connection of an entry.
type receiver struct {
	agent   *Agent
	connCtx context.Context // ends when the connection is closed
}

// call passes an entry's call to the executor and copies the reply.
func call[T any](r *receiver, reply *T, event func(executor.CallID) executor.Event) error {
	message, err := r.agent.call(r.connCtx, event)
	if err != nil {
		return err
	}
	*reply = *message.(*T)
	return nil
}

// Run runs a task and replies with its outcome.
func (r *receiver) Run(req *structs.RunRequest, reply *structs.RunReply) error {
	return call(r, reply, func(id executor.CallID) executor.Event {
		return executor.RunCalled{Call: id, Request: *req}
	})
}

// Await replies with the outcome of a task that the agent has accepted.
func (r *receiver) Await(req *structs.AwaitRequest, reply *structs.RunReply) error {
	return call(r, reply, func(id executor.CallID) executor.Event {
		return executor.AwaitCalled{Call: id, Request: *req}
	})
}

// Settle replies with the statuses of tasks, after it has recalled or stopped them if
// the request asks for that.
func (r *receiver) Settle(req *structs.SettleRequest, reply *structs.SettleReply) error {
	return call(r, reply, func(id executor.CallID) executor.Event {
		return executor.SettleCalled{Call: id, Request: *req}
	})
}

// Fence replies with the statuses of another home's tasks. If the request has Close
// set, it first fences that home.
func (r *receiver) Fence(req *structs.FenceRequest, reply *structs.SettleReply) error {
	return call(r, reply, func(id executor.CallID) executor.Event {
		return executor.FenceCalled{Call: id, Request: *req}
	})
}

// Heartbeat records the heartbeat of the entry and replies with the agent's state.
func (r *receiver) Heartbeat(req *structs.HeartbeatRequest, reply *structs.HeartbeatReply) error {
	r.agent.announcer.recordHeartbeat(req.Entry)
	return call(r, reply, func(id executor.CallID) executor.Event {
		return executor.HeartbeatCalled{Call: id, Request: *req}
	})
}

// PutDocument delivers a document revision to the agent and replies with the newest
// one that the agent holds.
func (r *receiver) PutDocument(rec *structs.DocumentRecord, reply *structs.DocumentReply) error {
	return call(r, reply, func(id executor.CallID) executor.Event {
		return executor.DocumentCalled{Call: id, Record: *rec}
	})
}

// GetDocument replies with the newest document revision that the agent holds. The
// requested service name is ignored, because an agent belongs to one service.
func (r *receiver) GetDocument(_ *string, reply *structs.DocumentReply) error {
	return call(r, reply, func(id executor.CallID) executor.Event {
		return executor.DocumentCalled{Call: id}
	})
}
