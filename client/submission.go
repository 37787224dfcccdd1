package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// maxHomeLost is how many times entries may say that a job's home is lost
// before that is final, once each entry has said so: another one may still reach
// the home, or know what became of the job.
const maxHomeLost = 3

// submission is one job on its way.
type submission struct {
	c        *Client
	retry    *retrier
	body     []byte
	total    int // tasks
	progress func(*structs.JobAnswer)

	id     structs.JobID
	key    string    // idempotency key; empty for a reserved id
	pinned bool      // the id or key is the caller's
	via    *endpoint // preferred, unless it is down
	turnTo *endpoint // the next to ask, even so
	// turnNow says that turnTo need not be waited for.
	turnNow bool
	// detached says that the caller does not wait for the final answer.
	detached bool

	attempts int
	accepted bool               // an entry has said that the job runs
	lost     bool               // a submission under this id got no usable answer
	homeLost int                // answers under this id that said so
	lostAt   map[*endpoint]bool // endpoints that gave them
	moved    bool               // to another entry after a refusal of one alone
	last     *endpoint
}

// run sends requests until the job is final or the client gives up.
func (s *submission) run(ctx context.Context) (*structs.JobAnswer, error) {
	for {
		if err := s.ensureID(ctx); err != nil {
			return nil, s.failed(err, ctx.Err())
		}
		answer, refused, rep := s.attempt(ctx)
		if answer != nil && answer.State.Final() {
			lost := s.homeGone(answer)
			if lost == nil || s.retry.wait(ctx, lost.RetryAfter) != nil {
				return s.finish(answer)
			}
			s.changeID(lost)
			continue
		}
		if answer != nil && s.detached {
			return answer, nil
		}
		if answer != nil {
			s.noteRunning(answer)
			if err := sleep(ctx, s.c.opts.MinBackoff); err != nil {
				return nil, s.failed(noAnswer(err, structs.MayHaveRun), err)
			}
			continue
		}
		if s.final(rep, refused) {
			return nil, s.failed(refused, nil)
		}
		if err := s.retry.wait(ctx, s.retryAfter(refused)); err != nil {
			return nil, s.failed(refused, err)
		}
		s.changeID(refused)
	}
}

// ensureID takes a reserved id if the job has none. A job under a key learns
// its id from the first answer.
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
	s.id, s.via = r.id, r.from
	return nil
}

// attempt submits the job, or asks for the answer of one that is known to run.
// Either answer or refused is set.
func (s *submission) attempt(ctx context.Context) (answer *structs.JobAnswer, refused *structs.Error, rep reply) {
	to := s.turnTo
	if to == nil {
		to = s.c.endpoints.pick(time.Now(), s.via)
	}
	s.via, s.turnTo, s.last = nil, nil, to
	s.attempts++
	rep = s.c.send(ctx, to, s.request())
	answer, refused = rep.answer(s.id, s.total)
	if answer == nil {
		refused = withVerdict(refused, s.verdict(rep, refused))
		s.lost = s.lost || refused.Verdict != structs.NotRun
		return nil, refused, rep
	}
	s.via = to
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

func (s *submission) noteRunning(a *structs.JobAnswer) {
	s.accepted = true
	s.lost = true
	s.homeLost = 0
	clear(s.lostAt)
	s.retry.progressed()
	if s.progress != nil {
		s.progress(a)
	}
}

// verdict returns what a reply without an answer says of the job. "Not run" by
// an entry covers every request under the id, which is closed by then; a
// request that could not be sent says nothing of earlier ones.
func (s *submission) verdict(rep reply, refused *structs.Error) structs.Verdict {
	if s.lost {
		return s.verdictAfterLost(rep, refused)
	}
	if rep.unsent || refused.NotForwarded || refused.Code == structs.CodeExpired {
		return structs.NotRun // nothing was sent before, and this one started nothing
	}
	return refused.Verdict
}

func (s *submission) verdictAfterLost(rep reply, refused *structs.Error) structs.Verdict {
	if rep.err != nil {
		return structs.MayHaveRun
	}
	if s.accepted && refused.Code != structs.CodeHomeLost {
		return structs.MayHaveRun // the refusal is of the question, not of the job
	}
	switch refused.Code {
	case structs.CodeInvalid, structs.CodeTooLarge:
		// Said before the id is looked at; an entry of another version may have
		// taken the same request.
		return structs.MayHaveRun
	}
	return refused.Verdict
}

// final reports whether a refusal is the entries' last word.
func (s *submission) final(rep reply, refused *structs.Error) bool {
	if refused.Verdict == structs.NotRun && !rep.unsent {
		return s.pinned || !(rep.again(refused) || closesID(refused.Code))
	}
	if refused.Code == structs.CodeHomeLost {
		return s.noteHomeLost()
	}
	return !rep.again(refused)
}

// noteHomeLost turns to an entry that has not said yet that the home is lost, at
// once unless that one is down. It reports whether there is no use in asking any
// more.
func (s *submission) noteHomeLost() bool {
	s.homeLost++
	s.lostAt[s.last] = true
	to, down := s.c.endpoints.other(time.Now(), s.lostAt)
	s.turnTo, s.turnNow = to, to != nil && !down
	return to == nil && s.homeLost >= maxHomeLost
}

// closesID reports whether a code means that the job's home takes no more jobs
// under the ids that it has given.
func closesID(code structs.ErrorCode) bool {
	switch code {
	case structs.CodeExpired, structs.CodeHomeLost, structs.CodeLeaving, structs.CodeUnavailable:
		return true
	}
	return false
}

// retryAfter returns the time that a refusal asks to wait. An entry that leaves,
// knows no backend server, or does not reach a job's home speaks for itself:
// another one is asked without waiting.
func (s *submission) retryAfter(refused *structs.Error) time.Duration {
	if s.turnNow {
		s.turnNow = false
		return 0
	}
	alone := refused.Code == structs.CodeLeaving || refused.Code == structs.CodeUnavailable
	if !alone || refused.Verdict != structs.NotRun || s.moved {
		return refused.RetryAfter
	}
	s.moved = true
	s.c.endpoints.failed(time.Now(), s.last)
	return 0
}

// changeID gives up an id under which the job certainly never runs. A refusal
// is final for its id, so the job has to come back under another one.
func (s *submission) changeID(refused *structs.Error) {
	if s.pinned || refused.Verdict != structs.NotRun {
		return
	}
	if closesID(refused.Code) {
		s.c.ids.drop(s.id.Home)
	}
	s.id = structs.JobID{}
	s.via, s.turnTo = nil, nil
	s.lost, s.accepted, s.homeLost = false, false, 0
	clear(s.lostAt)
}

// homeGone returns why a job failed if that is the loss of its home before
// anything ran, so that the job can be submitted again; nil otherwise.
func (s *submission) homeGone(a *structs.JobAnswer) *structs.Error {
	if s.pinned || a.State != structs.JobFailed || a.Error == nil || a.Error.Code != structs.CodeHomeLost {
		return nil
	}
	lost := withVerdict(a.Error, s.verdict(reply{}, a.Error))
	if lost.Verdict != structs.NotRun {
		return nil
	}
	return lost
}

// finish returns a final answer.
func (s *submission) finish(a *structs.JobAnswer) (*structs.JobAnswer, error) {
	if a.State == structs.JobComplete {
		return a, nil
	}
	reason := a.Error
	if reason == nil {
		reason = structs.Errorf(structs.CodeInternal, tasksVerdict(a), "the job failed without a reason")
	}
	err := s.failed(reason, nil)
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

func (s *submission) failed(reason *structs.Error, cause error) *JobError {
	return &JobError{ID: s.id, Attempts: s.attempts, Reason: reason, Cause: cause}
}
