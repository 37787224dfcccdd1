package agent

import (
	"context"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// receiver is the net/rpc service "Agent" on one connection.
type receiver struct {
	agent *Agent
	conn  context.Context // ends when the peer has gone
}

// request does one RPC: it feeds the event and copies the reply.
func request[T any](r *receiver, reply *T, event func(executor.CallID) executor.Event) error {
	message, err := r.agent.call(r.conn, event)
	if err != nil {
		return err
	}
	*reply = *message.(*T)
	return nil
}

// Run runs one task and replies with its outcome.
func (r *receiver) Run(req *structs.RunRequest, reply *structs.RunReply) error {
	return request(r, reply, func(id executor.CallID) executor.Event {
		return executor.RunCalled{Call: id, Request: *req}
	})
}

// Await replies with the outcome of a task that the agent has accepted.
func (r *receiver) Await(req *structs.AwaitRequest, reply *structs.RunReply) error {
	return request(r, reply, func(id executor.CallID) executor.Event {
		return executor.AwaitCalled{Call: id, Request: *req}
	})
}

// Settle replies with the state of tasks.
func (r *receiver) Settle(req *structs.SettleRequest, reply *structs.SettleReply) error {
	return request(r, reply, func(id executor.CallID) executor.Event {
		return executor.SettleCalled{Call: id, Request: *req}
	})
}

// Fence closes a home.
func (r *receiver) Fence(req *structs.FenceRequest, reply *structs.SettleReply) error {
	return request(r, reply, func(id executor.CallID) executor.Event {
		return executor.FenceCalled{Call: id, Request: *req}
	})
}

// Heartbeat replies with the agent's state and remembers the entry.
func (r *receiver) Heartbeat(req *structs.HeartbeatRequest, reply *structs.HeartbeatReply) error {
	r.agent.entries.heard(req.Entry)
	return request(r, reply, func(id executor.CallID) executor.Event {
		return executor.HeartbeatCalled{Call: id, Request: *req}
	})
}

// PutDocument hands the agent a revision and replies with its newest.
func (r *receiver) PutDocument(rec *structs.DocumentRecord, reply *structs.DocumentReply) error {
	return request(r, reply, func(id executor.CallID) executor.Event {
		return executor.DocumentCalled{Call: id, Record: *rec}
	})
}

// GetDocument replies with the newest revision the agent holds. It guards one
// service, whose document it returns whatever name is asked.
func (r *receiver) GetDocument(_ *string, reply *structs.DocumentReply) error {
	return request(r, reply, func(id executor.CallID) executor.Event {
		return executor.DocumentCalled{Call: id}
	})
}
