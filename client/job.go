package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Get returns the current answer of a job. If that is not final, it waits up to
// wait for the final one.
func (c *Client) Get(ctx context.Context, id structs.JobID, wait time.Duration) (*structs.JobAnswer, error) {
	deadline := time.Now().Add(wait)
	for {
		remaining := max(0, min(time.Until(deadline), c.opts.PollWait))
		a, err := c.requestJob(ctx, request{method: http.MethodGet, path: jobPath(id, remaining), wait: remaining}, id)
		if err != nil || a.State.Final() || !time.Now().Before(deadline) {
			return a, err
		}
	}
}

// Cancel cancels a job and returns its final answer. The job may still complete
// if it finishes before the cancellation takes effect.
func (c *Client) Cancel(ctx context.Context, id structs.JobID) (*structs.JobAnswer, error) {
	for {
		a, err := c.requestJob(ctx, cancelRequest(id, c.opts.PollWait), id)
		if err != nil || a.State.Final() {
			return a, err
		}
	}
}

func cancelRequest(id structs.JobID, wait time.Duration) request {
	return request{method: http.MethodDelete, path: jobPath(id, wait), wait: wait}
}

func (c *Client) requestJob(ctx context.Context, r request, id structs.JobID) (*structs.JobAnswer, error) {
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

// answer returns the job's answer in a reply, or the reason why there is none. An
// incomplete answer, or that of another job, is treated as a lost response.
func (rep *reply) answer(id structs.JobID, total int) (*structs.JobAnswer, *structs.Error) {
	if rep.err == nil && !rep.ok() {
		return nil, rep.refusal()
	}
	if rep.err == nil {
		a, err := decodeAnswer(rep.body, id)
		if err == nil {
			err = checkResults(a, total)
		}
		if err == nil {
			return a, nil
		}
		rep.err = err
	}
	if rep.unsent {
		return nil, noResponse(rep.err, structs.NotRun)
	}
	return nil, noResponse(rep.err, structs.MayHaveRun)
}

// decodeAnswer decodes the answer of a job. A zero id accepts any job's answer.
func decodeAnswer(body []byte, id structs.JobID) (*structs.JobAnswer, error) {
	var a structs.JobAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, fmt.Errorf("client: malformed job answer: %w", err)
	}
	if id != (structs.JobID{}) && a.ID != id {
		return nil, fmt.Errorf("client: requested job %s, got the answer of job %s", id, a.ID)
	}
	if a.State != structs.JobRunning && !a.State.Final() {
		return nil, fmt.Errorf("client: job %s has unknown state %q", id, a.State)
	}
	return &a, nil
}

// checkResults checks that the answer of a complete job has the results of all
// tasks in order.
func checkResults(a *structs.JobAnswer, total int) error {
	if a.State != structs.JobComplete {
		return nil
	}
	if len(a.Results) != total {
		return fmt.Errorf("client: job is complete, but its answer has %d of %d results", len(a.Results), total)
	}
	for i := range a.Results {
		if a.Results[i].Index != i {
			return fmt.Errorf("client: result with index %d is at position %d", a.Results[i].Index, i)
		}
	}
	return nil
}
