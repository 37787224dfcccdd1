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

// forward runs a request at the job's home. homeDead reports evidence that the
// home's process has ended.
func (t *peerTable) forward(ctx context.Context, f coordinator.Forward, wait time.Duration) (a *structs.JobAnswer, err *structs.Error, homeDead bool) {
	deadline := time.Now().Add(wait)
	req := &structs.ForwardRequest{Op: f.Op, ID: f.ID, Spec: f.Spec}
	failures := 0
	for ctx.Err() == nil {
		req.Wait = min(max(time.Until(deadline), 0), forwardRound)
		var reply structs.ForwardReply
		callErr := t.forwardOnce(f.Home.Incarnation, req, &reply)
		switch {
		case callErr != nil && gone(callErr):
			return nil, homeLost(f.ID, callErr.Error()), true
		case callErr != nil:
			failures++
			if failures == forwardAttempts {
				return nil, homeLost(f.ID, callErr.Error()), false
			}
			time.Sleep(forwardPause)
			continue
		case reply.Error != nil && reply.Error.Code == structs.CodeStaleIncarnation:
			t.remove(f.Home.Incarnation)
			return nil, homeLost(f.ID, reply.Error.Message), true
		case reply.Error != nil:
			return nil, reply.Error, false
		case reply.Answer == nil:
			return nil, structs.Errorf(structs.CodeInternal, structs.MayHaveRun, "empty answer of the home"), false
		}
		failures = 0
		if reply.Answer.State.Final() || !time.Now().Before(deadline) {
			return reply.Answer, nil, false
		}
		req = &structs.ForwardRequest{Op: structs.OpGet, ID: f.ID}
	}
	return nil, homeLost(f.ID, "the caller went"), false
}

func (t *peerTable) forwardOnce(home structs.Incarnation, req *structs.ForwardRequest, reply *structs.ForwardReply) error {
	p, ok := t.get(home)
	if !ok {
		return errPeerSilent
	}
	return p.link.call("Forward", req, reply, req.Wait+forwardSlack)
}

// gone reports whether err shows that no process listens at the address.
func gone(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func homeLost(id structs.JobID, why string) *structs.Error {
	return structs.Errorf(structs.CodeHomeLost, structs.MayHaveRun,
		"the entry that owns job %s cannot be reached: %s", id, why)
}
