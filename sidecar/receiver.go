package sidecar

import (
	"context"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// receiver is the net/rpc receiver for one connection of an entry, which carries one
// session.
type receiver struct {
	sidecar *Sidecar
	connCtx context.Context
	id      uint64 // of the session
}

// receiverFor returns the receiver of a new connection.
func (s *Sidecar) receiverFor(connCtx context.Context) any {
	s.mu.Lock()
	s.lastSession++
	r := &receiver{sidecar: s, connCtx: connCtx, id: s.lastSession}
	s.conns[r.id] = connCtx
	s.mu.Unlock()
	context.AfterFunc(connCtx, func() {
		s.mu.Lock()
		delete(s.conns, r.id)
		s.mu.Unlock()
		s.step(taskrunner.SessionClosed{Session: r.id})
	})
	return r
}

// Hello opens the session.
func (r *receiver) Hello(req *session.HelloRequest, reply *session.HelloReply) error {
	return call(r, reply, func(id taskrunner.CallID) taskrunner.Event {
		return taskrunner.HelloCalled{Call: id, Session: r.id, Request: *req}
	})
}

// Order starts and stops tasks.
func (r *receiver) Order(req *session.OrderRequest, reply *session.OrderReply) error {
	return call(r, reply, func(id taskrunner.CallID) taskrunner.Event {
		return taskrunner.OrderCalled{Call: id, Session: r.id, Request: *req}
	})
}

// Poll returns the reports of the session, after a short wait if there are none.
func (r *receiver) Poll(req *session.PollRequest, reply *session.PollReply) error {
	return call(r, reply, func(id taskrunner.CallID) taskrunner.Event {
		return taskrunner.PollCalled{Call: id, Session: r.id, Request: *req}
	})
}

// Config returns the agent's version of the configuration.
func (r *receiver) Config(req *session.ConfigRequest, reply *session.ConfigReply) error {
	r.sidecar.mu.Lock()
	reply.Config = r.sidecar.runner.Config()
	r.sidecar.mu.Unlock()
	if !req.AcceptGzip {
		return nil
	}
	var err error
	reply.Config, err = r.sidecar.compressor.Compress(reply.Config)
	return err
}

// call passes an entry's call to the runner and waits for the reply, or until the
// connection is closed.
func call[T any](r *receiver, reply *T, event func(taskrunner.CallID) taskrunner.Event) error {
	s := r.sidecar
	ch := make(chan any, 1)
	s.mu.Lock()
	s.lastCall++
	id := s.lastCall
	s.calls[id] = ch
	s.mu.Unlock()
	s.step(event(id))
	select {
	case message := <-ch:
		if err, ok := message.(callError); ok {
			return err
		}
		*reply = *message.(*T)
		return nil
	case <-r.connCtx.Done():
	}
	s.mu.Lock()
	delete(s.calls, id)
	s.mu.Unlock()
	return r.connCtx.Err()
}
