package entry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/internal/ctxsleep"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Limits of a forwarded request. A long wait is split into several calls to the
// home, so that a home that does not reply is detected early. A call may be
// repeated, because the home treats a repeated request as the same one.
const (
	forwardCallWait    = 2 * time.Second // longest wait at the home in one call
	forwardCallMargin  = time.Second     // added to the wait for the timeout of the call
	maxForwardFailures = 3               // consecutive calls without a reply
	forwardRetryDelay  = 100 * time.Millisecond
)

// forwardResult is the result of a forwarded request.
type forwardResult struct {
	answer *structs.JobAnswer
	err    *structs.Error
	// homeDead is set if there is evidence that the home's process has ended.
	homeDead bool
	// sent is set if the home may have received the request.
	sent bool
}

// forward sends a request to the job's home and waits up to wait for a final state
// of the job.
func (t *peerTable) forward(ctx context.Context, f coordinator.Forward, wait time.Duration) forwardResult {
	deadline := time.Now().Add(wait)
	req := &structs.ForwardRequest{Op: f.Op, ID: f.ID, Spec: f.Spec}
	out := forwardResult{}
	for failures := 0; ctx.Err() == nil; {
		req.Wait = min(max(time.Until(deadline), 0), forwardCallWait)
		var reply structs.ForwardReply
		callErr := t.forwardOnce(f.Home.Incarnation, req, &reply)
		out.sent = out.sent || !notSent(callErr)
		if callErr != nil {
			failures++
			out.homeDead = connectionRefused(callErr)
			out.err = homeLostError(f.ID, callErr.Error())
			if out.homeDead || failures == maxForwardFailures {
				return out
			}
			ctxsleep.For(ctx, forwardRetryDelay)
			continue
		}
		failures = 0
		if t.handleForwardReply(&out, f, &reply) || !time.Now().Before(deadline) {
			return out
		}
		req = &structs.ForwardRequest{Op: structs.OpGet, ID: f.ID}
	}
	out.err = homeLostError(f.ID, "the caller disconnected")
	return out
}

// handleForwardReply stores the reply of the process at the home's address in out.
// It reports whether the reply is final.
func (t *peerTable) handleForwardReply(out *forwardResult, f coordinator.Forward, reply *structs.ForwardReply) bool {
	out.answer, out.err = reply.Answer, reply.Error
	switch {
	case reply.Error != nil && reply.Error.Code == structs.CodeStaleIncarnation:
		t.remove(f.Home.Incarnation)
		out.err = homeLostError(f.ID, reply.Error.Message)
		out.homeDead = true
		return true
	case reply.Error != nil:
		return true
	case reply.Answer == nil:
		out.err = structs.Errorf(structs.CodeInternal, structs.MayHaveRun, "the reply of the home has neither an answer nor an error")
		return true
	}
	return reply.Answer.State.Final()
}

func (t *peerTable) forwardOnce(home structs.Incarnation, req *structs.ForwardRequest, reply *structs.ForwardReply) error {
	p, ok := t.get(home)
	if !ok {
		return &connectError{errPeerRemoved}
	}
	return p.link.call("Forward", req, reply, req.Wait+forwardCallMargin)
}

// connectionRefused reports whether err shows that no process listens at the
// address.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func homeLostError(id structs.JobID, why string) *structs.Error {
	return structs.Errorf(structs.CodeHomeLost, structs.MayHaveRun,
		"the entry that owns job %s cannot be reached: %s", id, why)
}
