package sidecar

import (
	"context"

	"github.com/chestnuthollow/chestnuthollow/guard"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// receiver serves one entry's connection, which is one session.
type receiver struct {
	sidecar *Sidecar
	conn    context.Context
	id      uint64
}

// receiverFor makes the receiver of a new connection.
func (s *Sidecar) receiverFor(conn context.Context) any {
	s.mu.Lock()
	s.lastConn++
	r := &receiver{sidecar: s, conn: conn, id: s.lastConn}
	s.conns[r.id] = conn
	s.mu.Unlock()
	context.AfterFunc(conn, func() {
		s.mu.Lock()
		delete(s.conns, r.id)
		s.mu.Unlock()
		s.step(guard.SessionClosed{Session: r.id})
	})
	return r
}

// Hello opens the session.
func (r *receiver) Hello(req *session.HelloRequest, reply *session.HelloReply) error {
	return call(r, reply, func(id guard.CallID) guard.Event {
		return guard.HelloCalled{Call: id, Session: r.id, Request: *req}
	})
}

// Order starts and stops tasks.
func (r *receiver) Order(req *session.OrderRequest, reply *session.OrderReply) error {
	return call(r, reply, func(id guard.CallID) guard.Event {
		return guard.OrderCalled{Call: id, Session: r.id, Request: *req}
	})
}

// Poll waits for reports.
func (r *receiver) Poll(req *session.PollRequest, reply *session.PollReply) error {
	return call(r, reply, func(id guard.CallID) guard.Event {
		return guard.PollCalled{Call: id, Session: r.id, Request: *req}
	})
}

// call feeds the guard an entry's call and waits for its reply, or for the
// entry to go.
func call[T any](r *receiver, reply *T, event func(guard.CallID) guard.Event) error {
	s := r.sidecar
	ch := make(chan any, 1)
	s.mu.Lock()
	s.nextCall++
	id := s.nextCall
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
	case <-r.conn.Done():
	}
	s.mu.Lock()
	delete(s.calls, id)
	s.mu.Unlock()
	return r.conn.Err()
}
