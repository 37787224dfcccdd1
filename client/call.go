package client

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// call sends an idempotent request, with retries, until an entry accepts it or
// a retry is pointless, and decodes the response body into out. It returns the
// endpoint that responded, or a *structs.Error.
func (c *Client) call(ctx context.Context, r request, out any) (*endpoint, error) {
	retry := c.newRetrier()
	reached, responseLost := false, false
	for {
		to := c.endpoints.pick(time.Now(), nil)
		rep := c.send(ctx, to, r)
		err := rep.decode(out)
		if err == nil {
			return to, nil
		}
		reached = reached || !rep.unsent
		responseLost = responseLost || (rep.err != nil && !rep.unsent)
		if !rep.mayResend(err) {
			return nil, err
		}
		if retry.wait(ctx, err.RetryAfter) != nil {
			return nil, withVerdict(err, r.verdict(err, reached, responseLost))
		}
	}
}

// verdict returns what is known about the effect of a request that was abandoned
// with err. A change that reached no entry had no effect. A request whose
// response was lost may have taken effect, whatever a later refusal says.
func (r request) verdict(err *structs.Error, reached, responseLost bool) structs.Verdict {
	changes := r.method == http.MethodPut || r.method == http.MethodPost
	switch {
	case changes && !reached:
		return structs.NotRun
	case responseLost:
		return structs.MayHaveRun
	}
	return err.Verdict
}

func withVerdict(err *structs.Error, v structs.Verdict) *structs.Error {
	e := *err
	e.Verdict = v
	return &e
}

// decode returns the error of a failed reply, or decodes the body into out.
func (rep reply) decode(out any) *structs.Error {
	if rep.err != nil {
		return noResponse(rep.err, structs.MayHaveRun)
	}
	if !rep.ok() {
		return rep.refusal()
	}
	if err := json.Unmarshal(rep.body, out); err != nil {
		return structs.Errorf(structs.CodeInternal, structs.MayHaveRun, "malformed response: %s", err)
	}
	return nil
}

// mayResend reports whether a request that failed with this reply and error may
// be sent again.
func (rep reply) mayResend(err *structs.Error) bool {
	if rep.err != nil && !rep.rejected() {
		return err.Code != structs.CodeTooLarge
	}
	return rep.retryable()
}
