package command_test

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	reservePath = "POST /v1/reservations"
	jobID       = "00000000000000ab-1"
	putPath     = "PUT /v1/jobs/" + jobID
	getPath     = "GET /v1/jobs/" + jobID
	deletePath  = "DELETE /v1/jobs/" + jobID
)

var submitFlags = []string{"job", "submit", "--service", "booking", "--team", "desk", "--task", "x"}

// answer returns the answer of a job with one task.
func answer(state structs.JobState, v structs.Verdict) structs.JobAnswer {
	id, _ := structs.ParseJobID(jobID)
	a := structs.JobAnswer{ID: id, State: state, Total: 1, Results: []structs.TaskResult{{Verdict: v, Body: []byte("ok")}}}
	if state == structs.JobFailed {
		a.Error = structs.Errorf(structs.CodeBackend, v, "broken")
	}
	return a
}

func TestJobExitStatus(t *testing.T) {
	refusal := func(code structs.ErrorCode, v structs.Verdict) *structs.Error {
		return structs.Errorf(code, v, "refused")
	}
	cases := []struct {
		name    string
		args    []string
		path    string
		answer  any
		code    int // HTTP status
		status  int // exit status
		errText string
	}{
		{"complete", submitFlags, putPath, answer(structs.JobComplete, structs.Ran), 200, 0, ""},
		{"failed", submitFlags, putPath, answer(structs.JobFailed, structs.Ran), 200, 5, "broken"},
		{"failed, not run", submitFlags, putPath, answer(structs.JobFailed, structs.NotRun), 200, 3, "not_run"},
		{"failed, may have run", submitFlags, putPath, answer(structs.JobFailed, structs.MayHaveRun), 200, 4, "may_have_run"},
		{"rejected", submitFlags, putPath, refusal(structs.CodeRejected, structs.NotRun), 422, 3, "rejected"},
		{"conflict", submitFlags, putPath, refusal(structs.CodeConflict, structs.MayHaveRun), 409, 4, "conflict"},
		{"unrecognized response", submitFlags, putPath, "?", 418, 4, "unrecognized response"},
		{"detached", append(submitFlags, "--detach"), putPath, answer(structs.JobRunning, structs.MayHaveRun), 202, 0, ""},
		{"get complete", []string{"job", "get", jobID}, getPath, answer(structs.JobComplete, structs.Ran), 200, 0, ""},
		{"get running", []string{"job", "get", jobID}, getPath, answer(structs.JobRunning, structs.MayHaveRun), 202, 0, ""},
		{"get failed", []string{"job", "get", "--wait", jobID}, getPath, answer(structs.JobFailed, structs.Ran), 200, 5, "broken"},
		{"get expired", []string{"job", "get", jobID}, getPath, refusal(structs.CodeExpired, structs.MayHaveRun), 410, 4, "expired"},
		{"cancel", []string{"job", "cancel", jobID}, deletePath, answer(structs.JobFailed, structs.NotRun), 200, 3, "not_run"},
		{"reserve", []string{"job", "reserve"}, reservePath, map[string][]string{"ids": {jobID}}, 200, 0, ""},
		{"reserve refused", []string{"job", "reserve"}, reservePath, refusal(structs.CodeInvalid, structs.NotRun), 400, 3, "invalid"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			answers := map[string]any{reservePath: map[string][]string{"ids": {jobID}}}
			answers[tc.path] = tc.answer
			url := fakeEntry(t, answers, map[string]int{tc.path: tc.code})
			r := run(t, append([]string{"--entry", url}, tc.args...)...)
			g.Expect(r.status).To(Equal(tc.status), "%s%s", r.out, r.errOut)
			g.Expect(r.errOut).To(ContainSubstring(tc.errText))
			g.Expect(r.errOut == "").To(Equal(tc.status == 0), "standard error is empty exactly on success")

			r = run(t, append([]string{"--json", "--entry", url}, tc.args...)...)
			g.Expect(r.status).To(Equal(tc.status))
			var v any
			r.decode(g, &v)
		})
	}
}

func TestJobWithUnreachableEntry(t *testing.T) {
	g := NewWithT(t)
	r := run(t, append([]string{"--entry", "http://127.0.0.1:1", "--timeout", "1s"}, submitFlags...)...)
	g.Expect(r.status).To(Equal(3), r.errOut)
}

func TestUsageErrors(t *testing.T) {
	url := fakeEntry(t, nil, nil)
	for _, args := range []string{
		"",
		"nope",
		"job",
		"job nope",
		"job get",
		"job get a b",
		"job get not-an-id",
		"job submit",
		"job submit --service s --team t",
		"job submit --service s --team t --task x --count 891",
		"job submit --service s /nonexistent",
		"job submit /nonexistent",
		"job submit --service s --team t --task x --id nope",
		"job submit --bogus",
		"job submit --service s --team t --task x --id 00000000000000ab-1 --key k",
		"service",
		"service get",
		"service apply",
		"service apply /nonexistent",
		"service rollback s nope",
		"service diff s nope",
		"check",
		"check /nonexistent",
		"check --kind nope x",
	} {
		r := run(t, append([]string{"--entry", url}, strings.Fields(args)...)...)
		g := NewWithT(t)
		g.Expect(r.status).To(Equal(2), "%q: %s", args, r.errOut)
		g.Expect(r.errOut).NotTo(BeEmpty())
	}
	g := NewWithT(t)
	g.Expect(run(t, "status").status).To(Equal(2), "no entry")
	g.Expect(run(t, "--entry", "nope", "status").status).To(Equal(2))
}

// TestReadCommandsExitStatus checks that a command whose read of the system fails
// exits with status 1, not with a status for the outcome of a change.
func TestReadCommandsExitStatus(t *testing.T) {
	url := fakeEntry(t, map[string]any{
		"GET /v1/services/s":         structs.Errorf(structs.CodeNotFound, structs.NotRun, "no such service"),
		"GET /v1/services/s/history": structs.Errorf(structs.CodeNotFound, structs.NotRun, "no such service"),
	}, map[string]int{"GET /v1/services/s": http.StatusNotFound, "GET /v1/services/s/history": http.StatusNotFound})
	for _, args := range []string{"status", "dump", "service list", "service get s", "service history s",
		"service get --revision 2 s", "service rollback s 1", "service drain s"} {
		r := run(t, append([]string{"--entry", url}, strings.Fields(args)...)...)
		NewWithT(t).Expect(r.status).To(Equal(1), "%q: %s", args, r.errOut)
	}
}
