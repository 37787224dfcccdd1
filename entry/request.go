package entry

import (
	"context"
	"time"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// jobRequest is a caller's request about one job, come in by HTTP or forwarded
// by a peer.
type jobRequest struct {
	op   structs.JobOp
	id   structs.JobID // zero: submit under a new id
	spec *structs.JobSpec
	wait time.Duration // how long to wait for a final state
	// lost asks the agents in place of the job's home, and homeDead says that
	// the home's process has ended.
	lost     bool
	homeDead bool
}

func (r *jobRequest) event(call coordinator.CallID) coordinator.Event {
	if r.lost {
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

// do runs a job request. The reply is a coordinator.Reply or Forward, or nil if
// ctx ended first. When the wait is over, the answer is the one of that moment.
func (e *Entry) do(ctx context.Context, r *jobRequest) coordinator.Effect {
	call, reply := e.calls.open()
	e.mail.post(r.event(call))
	timer := time.NewTimer(max(r.wait, 0))
	defer timer.Stop()
	expired := timer.C
	if r.wait <= 0 {
		expired = nil
	}
	for {
		select {
		case eff := <-reply:
			return eff
		case <-expired:
			e.mail.post(coordinator.CallClosed{Call: call, Answer: true})
			expired = nil
		case <-ctx.Done():
			e.calls.forget(call)
			e.mail.post(coordinator.CallClosed{Call: call})
			return nil
		case <-e.stopped:
			e.calls.forget(call)
			return nil
		}
	}
}

// minRecoveryWait is how long agents are asked at least in place of a lost home.
const minRecoveryWait = 2 * time.Second

// doAnywhere runs a job request here or, through a peer, at the job's home. If
// the home cannot be reached, the agents are asked.
func (e *Entry) doAnywhere(ctx context.Context, r *jobRequest) (*structs.JobAnswer, *structs.Error) {
	start := time.Now()
	eff := e.do(ctx, r)
	sent := false
	if f, ok := eff.(coordinator.Forward); ok {
		out := e.peers.forward(ctx, f, r.wait)
		if out.err == nil || out.err.Code != structs.CodeHomeLost || ctx.Err() != nil {
			return out.answer, out.err
		}
		sent = out.sent
		rest := max(r.wait-time.Since(start), minRecoveryWait)
		eff = e.do(ctx, &jobRequest{op: r.op, id: r.id, spec: r.spec, wait: rest, lost: true, homeDead: out.homeDead})
	}
	if f, ok := eff.(coordinator.Reply); ok {
		return f.Answer, withNotForwarded(f.Error, sent)
	}
	return nil, structs.Errorf(structs.CodeUnavailable, structs.MayHaveRun, "the entry stopped or the caller went")
}

// withNotForwarded adds to a home_lost error that this request reached no home.
func withNotForwarded(err *structs.Error, sent bool) *structs.Error {
	if err == nil || err.Code != structs.CodeHomeLost || sent {
		return err
	}
	c := *err
	c.NotForwarded = true
	return &c
}

// reserve reserves job ids.
func (e *Entry) reserve(ctx context.Context, count int) ([]structs.JobID, *structs.Error) {
	call, reply := e.calls.open()
	e.mail.post(coordinator.ReserveCalled{Call: call, Count: count})
	select {
	case eff := <-reply:
		f := eff.(coordinator.ReplyIDs)
		return f.IDs, f.Error
	case <-ctx.Done():
	case <-e.stopped:
	}
	e.calls.forget(call)
	return nil, structs.Errorf(structs.CodeUnavailable, structs.NotRun, "the entry stopped or the caller went")
}
