package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Get returns a job's answer as it is, or waits up to wait for the final one.
func (c *Client) Get(ctx context.Context, id structs.JobID, wait time.Duration) (*structs.JobAnswer, error) {
	deadline := time.Now().Add(wait)
	for {
		left := max(0, min(time.Until(deadline), c.opts.PollWait))
		a, err := c.ask(ctx, request{method: http.MethodGet, path: jobPath(id, left), wait: left}, id)
		if err != nil || a.State.Final() || !time.Now().Before(deadline) {
			return a, err
		}
	}
}

// Cancel cancels a job and returns its final answer, which may be complete all
// the same.
func (c *Client) Cancel(ctx context.Context, id structs.JobID) (*structs.JobAnswer, error) {
	for {
		a, err := c.ask(ctx, cancelRequest(id, c.opts.PollWait), id)
		if err != nil || a.State.Final() {
			return a, err
		}
	}
}

func cancelRequest(id structs.JobID, wait time.Duration) request {
	return request{method: http.MethodDelete, path: jobPath(id, wait), wait: wait}
}

func (c *Client) ask(ctx context.Context, r request, id structs.JobID) (*structs.JobAnswer, error) {
	var raw json.RawMessage
	if _, err := c.call(ctx, r, &raw); err != nil {
		return nil, err
	}
	a, err := decodeAnswer(raw, id)
	if err != nil {
		return nil, structs.Errorf(structs.CodeInternal, structs.MayHaveRun, "%s", err)
	}
	return a, nil
}

// answer returns the job's answer in a reply, or why there is none. An answer
// that is not whole, or that is another job's, counts as lost.
func (rep *reply) answer(id structs.JobID, total int) (*structs.JobAnswer, *structs.Error) {
	if rep.err == nil && !rep.ok() {
		return nil, rep.refusal()
	}
	if rep.err == nil {
		a, err := decodeAnswer(rep.body, id)
		if err == nil {
			err = checkWhole(a, total)
		}
		if err == nil {
			return a, nil
		}
		rep.err = err
	}
	if rep.unsent {
		return nil, noAnswer(rep.err, structs.NotRun)
	}
	return nil, noAnswer(rep.err, structs.MayHaveRun)
}

// decodeAnswer decodes the answer of a job; a zero id takes any.
func decodeAnswer(body []byte, id structs.JobID) (*structs.JobAnswer, error) {
	var a structs.JobAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, fmt.Errorf("client: unknown answer: %w", err)
	}
	if id != (structs.JobID{}) && a.ID != id {
		return nil, fmt.Errorf("client: asked for job %s and got %s", id, a.ID)
	}
	if a.State != structs.JobRunning && !a.State.Final() {
		return nil, fmt.Errorf("client: job %s is in the unknown state %q", id, a.State)
	}
	return &a, nil
}

// checkWhole checks that a complete answer has every result in order.
func checkWhole(a *structs.JobAnswer, total int) error {
	if a.State != structs.JobComplete {
		return nil
	}
	if len(a.Results) != total {
		return fmt.Errorf("client: complete answer with %d results of %d", len(a.Results), total)
	}
	for i := range a.Results {
		if a.Results[i].Index != i {
			return fmt.Errorf("client: result %d stands at position %d", a.Results[i].Index, i)
		}
	}
	return nil
}
