package entry

import (
	"context"
	"time"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// jobRequest is a caller's request about one job, received over HTTP or forwarded
// by a peer.
type jobRequest struct {
	op   structs.JobOp
	id   structs.JobID // zero to submit under a new id
	spec *structs.JobSpec
	wait time.Duration // how long to wait for a final state
	// recovery is set to request the outcome from the agents, because the job's home
	// cannot be reached. homeDead is set if there is evidence that the home's process
	// has ended.
	recovery bool
	homeDead bool
}

func (r *jobRequest) event(call coordinator.CallID) coordinator.Event {
	if r.recovery {
		return coordinator.RecoverCalled{Call: call, ID: r.id, Spec: r.spec, Dead: r.homeDead}
	}
	switch r.op {
	case structs.OpSubmit:
		return coordinator.SubmitCalled{Call: call, ID: r.id, Spec: *r.spec, Wait: r.wait > 0}
	case structs.OpCancel:
		return coordinator.CancelCalled{Call: call, ID: r.id}
	default:
		return coordinator.GetCalled{Call: call, ID: r.id, Wait: r.wait > 0}
	}
}

// startsNew reports whether the request submits a job under a new id, so that no copy of
// it can be admitted.
func (r *jobRequest) startsNew() bool {
	return r.op == structs.OpSubmit && r.id == (structs.JobID{}) && !r.recovery
}

// retryAfterQueueFull is the RetryAfter of a request that the event queue has no space for.
const retryAfterQueueFull = time.Second

// queueFullError is the reply to a request that the event queue has no space for.
func queueFullError(startsNew bool) *structs.Error {
	return overloadedError(startsNew, "too many requests wait at this entry")
}

// overloadedError is the reply to a request that the entry has no resources for. The
// request has no effect, but the id that it names stays open, for a copy of it.
func overloadedError(startsNew bool, message string) *structs.Error {
	if startsNew {
		return structs.Errorf(structs.CodeOverloaded, structs.NotRun, "%s", message).WithRetryAfter(retryAfterQueueFull)
	}
	return structs.Errorf(structs.CodeUnavailable, structs.MayHaveRun, "%s", message).WithRetryAfter(retryAfterQueueFull)
}

// callCoordinator passes a job request to the coordinator and returns its reply, a
// coordinator.Reply or coordinator.Forward. When r.wait has passed, the reply has the
// job's current state. It returns nil if ctx or the loop ended first.
func (e *Entry) callCoordinator(ctx context.Context, r *jobRequest) coordinator.Effect {
	call, reply := e.calls.open()
	if !e.events.offer(r.event(call)) {
		e.calls.remove(call)
		return coordinator.Reply{Call: call, Error: queueFullError(r.startsNew())}
	}
	timer := time.NewTimer(max(r.wait, 0))
	defer timer.Stop()
	expired := timer.C
	if r.wait <= 0 {
		expired = nil
	}
	for {
		select {
		case ef := <-reply:
			return ef
		case <-expired:
			e.events.post(coordinator.CallClosed{Call: call, Answer: true})
			expired = nil
		case <-ctx.Done():
			e.calls.remove(call)
			e.events.post(coordinator.CallClosed{Call: call})
			return nil
		case <-e.stopped:
			e.calls.remove(call)
			return nil
		}
	}
}

// minRecoveryWait is the minimum wait for the agents if the home cannot be reached.
const minRecoveryWait = 2 * time.Second

// serveJob runs a job request at the job's home: at this entry or, by forwarding it,
// at a peer. If the home cannot be reached, it requests the outcome from the agents.
func (e *Entry) serveJob(ctx context.Context, r *jobRequest) (*structs.JobAnswer, *structs.Error) {
	start := time.Now()
	ef := e.callCoordinator(ctx, r)
	sent := false
	if f, ok := ef.(coordinator.Forward); ok {
		out := e.peers.forward(ctx, f, r.wait)
		if out.err == nil || out.err.Code != structs.CodeHomeLost || ctx.Err() != nil {
			return out.answer, out.err
		}
		sent = out.sent
		remaining := max(r.wait-time.Since(start), minRecoveryWait)
		ef = e.callCoordinator(ctx, &jobRequest{op: r.op, id: r.id, spec: r.spec, wait: remaining, recovery: true, homeDead: out.homeDead})
	}
	if f, ok := ef.(coordinator.Reply); ok {
		return f.Answer, withNotForwarded(f.Error, sent)
	}
	return nil, structs.Errorf(structs.CodeUnavailable, structs.MayHaveRun, "the entry stopped or the caller disconnected")
}

// withNotForwarded sets NotForwarded in a home_lost error if the home cannot have
// received the request.
func withNotForwarded(err *structs.Error, sent bool) *structs.Error {
	if err == nil || err.Code != structs.CodeHomeLost || sent {
		return err
	}
	c := *err
	c.NotForwarded = true
	return &c
}

func (e *Entry) reserve(ctx context.Context, count int) ([]structs.JobID, *structs.Error) {
	call, reply := e.calls.open()
	if !e.events.offer(coordinator.ReserveCalled{Call: call, Count: count}) {
		e.calls.remove(call)
		return nil, queueFullError(true)
	}
	select {
	case ef := <-reply:
		f := ef.(coordinator.ReplyIDs)
		return f.IDs, f.Error
	case <-ctx.Done():
	case <-e.stopped:
	}
	e.calls.remove(call)
	return nil, structs.Errorf(structs.CodeUnavailable, structs.NotRun, "the entry stopped or the caller disconnected")
}
