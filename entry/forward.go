package entry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Bounds of a forwarded request. It is sent in rounds, each short enough for a
// silent home to be noticed soon; every round may be repeated, for the home
// treats a repeated request as the same one.
const (
	forwardRound    = 2 * time.Second // waiting at the home
	forwardSlack    = time.Second     // on the way
	forwardAttempts = 3               // in a row without an answer
	forwardPause    = 100 * time.Millisecond
)

// forwarded is how a forwarded request ended.
type forwarded struct {
	answer *structs.JobAnswer
	err    *structs.Error
	// homeDead reports evidence that the home's process has ended.
	homeDead bool
	// sent says that the home may have seen the request.
	sent bool
}

// forward runs a request at the job's home.
func (t *peerTable) forward(ctx context.Context, f coordinator.Forward, wait time.Duration) forwarded {
	deadline := time.Now().Add(wait)
	req := &structs.ForwardRequest{Op: f.Op, ID: f.ID, Spec: f.Spec}
	out := forwarded{}
	for failures := 0; ctx.Err() == nil; {
		req.Wait = min(max(time.Until(deadline), 0), forwardRound)
		var reply structs.ForwardReply
		callErr := t.forwardOnce(f.Home.Incarnation, req, &reply)
		out.sent = out.sent || !notSent(callErr)
		if callErr != nil {
			failures++
			out.homeDead = gone(callErr)
			out.err = homeLost(f.ID, callErr.Error())
			if out.homeDead || failures == forwardAttempts {
				return out
			}
			time.Sleep(forwardPause)
			continue
		}
		failures = 0
		if t.settleForward(&out, f, &reply) || !time.Now().Before(deadline) {
			return out
		}
		req = &structs.ForwardRequest{Op: structs.OpGet, ID: f.ID}
	}
	out.err = homeLost(f.ID, "the caller went")
	return out
}

// settleForward takes in a reply of the process at the home's address, and
// reports whether it is the last word.
func (t *peerTable) settleForward(out *forwarded, f coordinator.Forward, reply *structs.ForwardReply) bool {
	out.answer, out.err = reply.Answer, reply.Error
	switch {
	case reply.Error != nil && reply.Error.Code == structs.CodeStaleIncarnation:
		t.remove(f.Home.Incarnation)
		out.err = homeLost(f.ID, reply.Error.Message)
		out.homeDead = true
		return true
	case reply.Error != nil:
		return true
	case reply.Answer == nil:
		out.err = structs.Errorf(structs.CodeInternal, structs.MayHaveRun, "empty answer of the home")
		return true
	}
	return reply.Answer.State.Final()
}

func (t *peerTable) forwardOnce(home structs.Incarnation, req *structs.ForwardRequest, reply *structs.ForwardReply) error {
	p, ok := t.get(home)
	if !ok {
		return &connectError{errPeerUnknown}
	}
	return p.link.call("Forward", req, reply, req.Wait+forwardSlack)
}

// gone reports whether err shows that no process listens at the address.
func gone(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func homeLost(id structs.JobID, why string) *structs.Error {
	return structs.Errorf(structs.CodeHomeLost, structs.MayHaveRun,
		"the entry that owns job %s cannot be reached: %s", id, why)
}
