package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// maxHomeLost is how many home_lost responses a job needs before the loss of its
// home is final. Every endpoint must have given one as well, because another entry
// may still reach the home or know the outcome of the job.
const maxHomeLost = 3

// submission is the state of one call of Submit.
type submission struct {
	c        *Client
	retry    *retrier
	body     []byte
	total    int // number of tasks
	progress func(*structs.JobAnswer)

	id        structs.JobID
	key       string    // idempotency key; empty for a reserved id
	pinned    bool      // the caller chose the id or key, so it is never replaced
	preferred *endpoint // endpoint for the next request, unless it is down
	next      *endpoint // endpoint for the next request, even if it is down
	// skipRetryAfter is set if next is up and has not asked for a delay, so that the
	// last Retry-After does not apply to it.
	skipRetryAfter bool
	// detached is set if the caller does not wait for the final answer.
	detached bool

	attempts      int
	accepted      bool               // an entry has reported the job as running
	inDoubt       bool               // an earlier request under this id may have started the job
	homeLostCount int                // number of home_lost responses under this id
	homeLostFrom  map[*endpoint]bool // endpoints that gave those responses
	failedOver    bool               // has switched entries after a refusal that concerned one entry only
	lastEndpoint  *endpoint
}

// run sends requests until the job is final or the client stops retrying.
func (s *submission) run(ctx context.Context) (*structs.JobAnswer, error) {
	for {
		if err := s.ensureID(ctx); err != nil {
			return nil, s.jobError(err, ctx.Err())
		}
		answer, refused, rep := s.attempt(ctx)
		if answer != nil && answer.State.Final() {
			homeLost := s.homeLostBeforeStart(answer)
			if homeLost == nil || s.retry.wait(ctx, homeLost.RetryAfter) != nil {
				return s.finish(answer)
			}
			s.discardID(homeLost)
			continue
		}
		if answer != nil && s.detached {
			return answer, nil
		}
		if answer != nil {
			s.recordRunning(answer)
			if err := sleep(ctx, s.c.opts.MinBackoff); err != nil {
				return nil, s.jobError(noResponse(err, structs.MayHaveRun), err)
			}
			continue
		}
		if s.isFinal(rep, refused) {
			return nil, s.jobError(refused, nil)
		}
		if err := s.retry.wait(ctx, s.retryAfter(refused)); err != nil {
			return nil, s.jobError(refused, err)
		}
		s.discardID(refused)
	}
}

// ensureID assigns a reserved id if the job has none. A job under a key gets its
// id from the first answer.
func (s *submission) ensureID(ctx context.Context) *structs.Error {
	if s.key != "" || s.id != (structs.JobID{}) {
		return nil
	}
	r, err := s.c.reserve(ctx)
	if err != nil {
		var e *structs.Error
		errors.As(err, &e)
		return e
	}
	s.id, s.preferred = r.id, r.from
	return nil
}

// attempt submits the job, or requests its answer once an entry has reported it
// as running. It returns either an answer or the reason why there is none.
func (s *submission) attempt(ctx context.Context) (answer *structs.JobAnswer, refused *structs.Error, rep reply) {
	to := s.next
	if to == nil {
		to = s.c.endpoints.pick(time.Now(), s.preferred)
	}
	s.preferred, s.next, s.lastEndpoint = nil, nil, to
	s.attempts++
	rep = s.c.send(ctx, to, s.request())
	answer, refused = rep.answer(s.id, s.total)
	if answer == nil {
		refused = withVerdict(refused, s.verdict(rep, refused))
		s.inDoubt = s.inDoubt || refused.Verdict != structs.NotRun
		return nil, refused, rep
	}
	s.preferred = to
	s.id = answer.ID
	return answer, nil, rep
}

func (s *submission) request() request {
	wait := s.c.opts.PollWait
	if s.detached {
		wait = 0
	}
	switch {
	case s.accepted:
		return request{method: http.MethodGet, path: jobPath(s.id, wait), wait: wait}
	case s.key != "":
		return request{method: http.MethodPost, path: keyedJobPath(wait), body: s.body, wait: wait, key: s.key}
	}
	return request{method: http.MethodPut, path: jobPath(s.id, wait), body: s.body, wait: wait}
}

const jobsPath = "/v1/jobs"

func jobPath(id structs.JobID, wait time.Duration) string {
	return jobsPath + "/" + id.String() + waitQuery(wait)
}

func keyedJobPath(wait time.Duration) string { return jobsPath + waitQuery(wait) }

func waitQuery(wait time.Duration) string { return "?wait=" + url.QueryEscape(wait.String()) }

func (s *submission) recordRunning(a *structs.JobAnswer) {
	s.accepted = true
	s.inDoubt = true
	s.homeLostCount = 0
	clear(s.homeLostFrom)
	s.retry.reset()
	if s.progress != nil {
		s.progress(a)
	}
}

// verdict returns what a reply without an answer proves about the job. NotRun from
// an entry covers every request under the id, because the entry has closed the
// id. A request that could not be sent proves nothing about earlier ones.
func (s *submission) verdict(rep reply, refused *structs.Error) structs.Verdict {
	if s.inDoubt {
		return s.verdictInDoubt(rep, refused)
	}
	if rep.unsent || refused.NotForwarded || refused.Code == structs.CodeExpired {
		return structs.NotRun // no earlier request is in doubt, and this one started nothing
	}
	return refused.Verdict
}

// verdictInDoubt is verdict for a job that an earlier request may have started.
func (s *submission) verdictInDoubt(rep reply, refused *structs.Error) structs.Verdict {
	if rep.err != nil {
		return structs.MayHaveRun
	}
	if s.accepted && refused.Code != structs.CodeHomeLost {
		return structs.MayHaveRun // the poll was refused, not the job
	}
	switch refused.Code {
	case structs.CodeInvalid, structs.CodeTooLarge:
		// An entry returns these codes before it looks at the id; an entry of
		// another version may have admitted the same request.
		return structs.MayHaveRun
	}
	return refused.Verdict
}

// isFinal reports whether a refusal ends the submission without a retry.
func (s *submission) isFinal(rep reply, refused *structs.Error) bool {
	if refused.Verdict == structs.NotRun && !rep.unsent {
		return s.pinned || !(rep.mayResend(refused) || closesID(refused.Code))
	}
	if refused.Code == structs.CodeHomeLost {
		return s.recordHomeLost()
	}
	return !rep.mayResend(refused)
}

// recordHomeLost records a home_lost response and selects an endpoint that has not
// given one yet; the Retry-After of this response is ignored unless that endpoint
// is down. It reports whether the loss of the home is final.
func (s *submission) recordHomeLost() bool {
	s.homeLostCount++
	s.homeLostFrom[s.lastEndpoint] = true
	to, down := s.c.endpoints.nextNotIn(time.Now(), s.homeLostFrom)
	s.next, s.skipRetryAfter = to, to != nil && !down
	return to == nil && s.homeLostCount >= maxHomeLost
}

// closesID reports whether a refusal with this code is taken to mean that the
// job's home admits no more jobs under the ids that it has issued.
func closesID(code structs.ErrorCode) bool {
	switch code {
	case structs.CodeExpired, structs.CodeHomeLost, structs.CodeLeaving, structs.CodeUnavailable:
		return true
	}
	return false
}

// retryAfter returns the Retry-After of a refusal, or zero if another entry is
// tried next, to which it does not apply; the ordinary backoff is used then.
// That an entry is leaving, knows no backend server for the job or cannot reach the
// job's home says nothing about the other entries. For the first two reasons, a
// submission switches entries only once.
func (s *submission) retryAfter(refused *structs.Error) time.Duration {
	if s.skipRetryAfter {
		s.skipRetryAfter = false
		return 0
	}
	onlyThisEntry := refused.Code == structs.CodeLeaving || refused.Code == structs.CodeUnavailable
	if !onlyThisEntry || refused.Verdict != structs.NotRun || s.failedOver {
		return refused.RetryAfter
	}
	s.failedOver = true
	s.c.endpoints.markDown(time.Now(), s.lastEndpoint)
	return 0
}

// discardID drops the id if the job certainly never runs under it. A refusal is
// final for its id, so the job has to be resubmitted under another one.
func (s *submission) discardID(refused *structs.Error) {
	if s.pinned || refused.Verdict != structs.NotRun {
		return
	}
	if closesID(refused.Code) {
		s.c.ids.removeHome(s.id.Home)
	}
	s.id = structs.JobID{}
	s.preferred, s.next = nil, nil
	s.inDoubt, s.accepted, s.homeLostCount = false, false, 0
	clear(s.homeLostFrom)
}

// homeLostBeforeStart returns the error of a job that failed because its home was
// lost before any task ran, so that the job can be submitted again. It returns nil
// for any other answer.
func (s *submission) homeLostBeforeStart(a *structs.JobAnswer) *structs.Error {
	if s.pinned || a.State != structs.JobFailed || a.Error == nil || a.Error.Code != structs.CodeHomeLost {
		return nil
	}
	homeLost := withVerdict(a.Error, s.verdict(reply{}, a.Error))
	if homeLost.Verdict != structs.NotRun {
		return nil
	}
	return homeLost
}

// finish returns a final answer, with a *JobError unless the job is complete.
func (s *submission) finish(a *structs.JobAnswer) (*structs.JobAnswer, error) {
	if a.State == structs.JobComplete {
		return a, nil
	}
	reason := a.Error
	if reason == nil {
		reason = structs.Errorf(structs.CodeInternal, tasksVerdict(a), "the job failed without a reason")
	}
	err := s.jobError(reason, nil)
	err.Answer = a
	return a, err
}

// tasksVerdict combines the verdicts of an answer's tasks.
func tasksVerdict(a *structs.JobAnswer) structs.Verdict {
	if len(a.Results) == 0 {
		return structs.MayHaveRun
	}
	v := structs.NotRun
	for i := range a.Results {
		v = v.Combine(a.Results[i].Verdict)
	}
	return v
}

func (s *submission) jobError(reason *structs.Error, cause error) *JobError {
	return &JobError{ID: s.id, Attempts: s.attempts, Reason: reason, Cause: cause}
}
