package client

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// call sends an idempotent request until an entry answers it, and decodes the
// answer into out. It returns the endpoint that answered, and a *structs.Error
// on failure.
func (c *Client) call(ctx context.Context, r request, out any) (*endpoint, error) {
	retry := c.newRetrier()
	reached, lost := false, false
	for {
		to := c.endpoints.pick(time.Now(), nil)
		rep := c.send(ctx, to, r)
		err := rep.decode(out)
		if err == nil {
			return to, nil
		}
		reached = reached || !rep.unsent
		lost = lost || (rep.err != nil && !rep.unsent)
		if !rep.again(err) {
			return nil, err
		}
		if retry.wait(ctx, err.RetryAfter) != nil {
			return nil, withVerdict(err, r.verdict(err, reached, lost))
		}
	}
}

// verdict returns what is known of a request that was given up with err. A
// change that reached no entry certainly had no effect. One whose answer was
// lost may have taken effect, whatever a later refusal says.
func (r request) verdict(err *structs.Error, reached, lost bool) structs.Verdict {
	changes := r.method == http.MethodPut || r.method == http.MethodPost
	switch {
	case changes && !reached:
		return structs.NotRun
	case lost:
		return structs.MayHaveRun
	}
	return err.Verdict
}

func withVerdict(err *structs.Error, v structs.Verdict) *structs.Error {
	e := *err
	e.Verdict = v
	return &e
}

// decode returns the reply's error, or decodes its body into out.
func (rep reply) decode(out any) *structs.Error {
	if rep.err != nil {
		return noAnswer(rep.err, structs.MayHaveRun)
	}
	if !rep.ok() {
		return rep.refusal()
	}
	if err := json.Unmarshal(rep.body, out); err != nil {
		return structs.Errorf(structs.CodeInternal, structs.MayHaveRun, "unknown answer: %s", err)
	}
	return nil
}

// again reports whether the request of a failed reply may be sent once more.
func (rep reply) again(err *structs.Error) bool {
	if rep.err != nil && !rep.refused() {
		return err.Code != structs.CodeTooLarge
	}
	return rep.retryable()
}
