package client_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// TestSubmitOutcomes checks the requests and the outcome of Submit for sequences
// of answers to one job.
func TestSubmitOutcomes(t *testing.T) {
	const (
		none  = structs.ErrorCode("")
		block = 3 // reserved ids; their sequence shows in the recorded requests
	)
	notRun, mayHaveRun, ran := structs.NotRun, structs.MayHaveRun, structs.Ran
	overloaded := refuse(http.StatusServiceUnavailable, structs.CodeOverloaded, notRun)
	homeLost := refuse(http.StatusBadGateway, structs.CodeHomeLost, mayHaveRun)
	expired := refuse(http.StatusGone, structs.CodeExpired, mayHaveRun)
	notFound := refuse(http.StatusNotFound, structs.CodeNotFound, notRun)
	notForwarded := func(w http.ResponseWriter, _ structs.JobID) {
		writeJSON(w, http.StatusBadGateway, structs.Error{Code: structs.CodeHomeLost, NotForwarded: true})
	}
	recovered := func(v structs.Verdict, notForwarded bool) step {
		return func(w http.ResponseWriter, id structs.JobID) {
			writeJSON(w, http.StatusOK, structs.JobAnswer{ID: id, State: structs.JobFailed, Total: 1,
				Results: []structs.TaskResult{{Verdict: v}},
				Error:   &structs.Error{Code: structs.CodeHomeLost, Verdict: v, NotForwarded: notForwarded}})
		}
	}
	cases := []struct {
		name     string
		script   []step
		code     structs.ErrorCode // none if the job completes
		verdict  structs.Verdict
		requests []string
	}{
		{"complete", []step{complete}, none, 0, []string{"PUT 1"}},
		{"polls a running job", []step{running, running, complete}, none, 0, []string{"PUT 1", "GET 1", "GET 1"}},
		{"response lost", []step{dropConnection, complete}, none, 0, []string{"PUT 1", "PUT 1"}},
		{"response too late", []step{answerTooLate, complete}, none, 0, []string{"PUT 1", "PUT 1"}},
		{"poll response lost", []step{running, dropConnection, complete}, none, 0, []string{"PUT 1", "GET 1", "GET 1"}},
		{"load balancer error pages", []step{htmlPage(502), htmlPage(504), complete}, none, 0, []string{"PUT 1", "PUT 1", "PUT 1"}},
		{"another job's answer", []step{func(w http.ResponseWriter, id structs.JobID) {
			id.Seq += 100
			complete(w, id)
		}, complete}, none, 0, []string{"PUT 1", "PUT 1"}},
		{"incomplete answer", []step{func(w http.ResponseWriter, id structs.JobID) {
			writeJSON(w, http.StatusOK, structs.JobAnswer{ID: id, State: structs.JobComplete, Total: 1})
		}, complete}, none, 0, []string{"PUT 1", "PUT 1"}},
		{"refused, then admitted under a new id", []step{overloaded, complete}, none, 0, []string{"PUT 1", "PUT 2"}},
		{"every attempt refused", []step{overloaded}, structs.CodeOverloaded, notRun,
			[]string{"PUT 1", "PUT 2", "PUT 3", "PUT 4", "PUT 5"}},
		{"refused after a lost response", []step{dropConnection, overloaded, complete}, none, 0, []string{"PUT 1", "PUT 1", "PUT 2"}},
		{"refused finally", []step{refuse(422, structs.CodeRejected, notRun)}, structs.CodeRejected, notRun, []string{"PUT 1"}},
		{"conflict", []step{refuse(409, structs.CodeConflict, mayHaveRun)}, structs.CodeConflict, mayHaveRun, []string{"PUT 1"}},
		{"failed", []step{failed(ran)}, structs.CodeBackend, ran, []string{"PUT 1"}},
		{"every response lost", []step{dropConnection}, structs.CodeUnavailable, mayHaveRun,
			[]string{"PUT 1", "PUT 1", "PUT 1", "PUT 1", "PUT 1"}},
		{"id expired before the first request", []step{expired, complete}, none, 0, []string{"PUT 1", "PUT 4"}},
		{"id expired after a lost response", []step{dropConnection, expired}, structs.CodeExpired, mayHaveRun, []string{"PUT 1", "PUT 1"}},
		{"home lost, proved not run", []step{refuse(502, structs.CodeHomeLost, notRun), complete}, none, 0,
			[]string{"PUT 1", "PUT 4"}},
		{"home leaving", []step{refuse(503, structs.CodeLeaving, notRun), complete}, none, 0, []string{"PUT 1", "PUT 4"}},
		{"home lost", []step{homeLost}, structs.CodeHomeLost, mayHaveRun, []string{"PUT 1", "PUT 1", "PUT 1"}},
		{"id expired after home_lost", []step{homeLost, expired}, structs.CodeExpired, mayHaveRun, []string{"PUT 1", "PUT 1"}},
		{"home_lost, then not forwarded", []step{homeLost, notForwarded}, structs.CodeHomeLost, mayHaveRun,
			[]string{"PUT 1", "PUT 1", "PUT 1"}},
		{"home_lost, then complete", []step{homeLost, complete}, none, 0, []string{"PUT 1", "PUT 1"}},
		{"response lost, then home lost and proved not run", []step{dropConnection, refuse(502, structs.CodeHomeLost, notRun), complete}, none, 0,
			[]string{"PUT 1", "PUT 1", "PUT 4"}},
		{"not forwarded on the first attempt", []step{notForwarded, complete}, none, 0, []string{"PUT 1", "PUT 4"}},
		{"job failed by recovery, proved not run", []step{recovered(notRun, false), complete}, none, 0, []string{"PUT 1", "PUT 4"}},
		{"job failed by recovery, in doubt", []step{recovered(mayHaveRun, false), complete},
			structs.CodeHomeLost, mayHaveRun, []string{"PUT 1"}},
		{"job failed by recovery, not forwarded", []step{recovered(mayHaveRun, true), complete}, none, 0, []string{"PUT 1", "PUT 4"}},
		{"job failed by recovery after a lost response", []step{dropConnection, recovered(mayHaveRun, true), complete},
			structs.CodeHomeLost, mayHaveRun, []string{"PUT 1", "PUT 1"}},
		{"not forwarded after a lost response", []step{dropConnection, notForwarded}, structs.CodeHomeLost, mayHaveRun,
			[]string{"PUT 1", "PUT 1", "PUT 1", "PUT 1"}},
		{"rejected as invalid by another version after a lost response", []step{dropConnection, refuse(400, structs.CodeInvalid, notRun)},
			structs.CodeInvalid, mayHaveRun, []string{"PUT 1", "PUT 1"}},
		{"id never reserved", []step{notFound}, structs.CodeNotFound, notRun, []string{"PUT 1"}},
		{"poll refused", []step{running, overloaded, complete}, none, 0, []string{"PUT 1", "GET 1", "GET 1"}},
		{"every poll refused", []step{running, overloaded}, structs.CodeOverloaded, mayHaveRun,
			[]string{"PUT 1", "GET 1", "GET 1", "GET 1", "GET 1", "GET 1"}},
		{"home of a running job lost, proved not run",
			[]step{running, refuse(502, structs.CodeHomeLost, notRun), complete}, none, 0, []string{"PUT 1", "GET 1", "PUT 4"}},
		{"error status without a JSON body", []step{htmlPage(404)}, structs.CodeUnavailable, mayHaveRun, []string{"PUT 1"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFakeEntry(t, tc.script...)
			c := newClient(g, func(o *client.Options) { o.ReserveBlock = block }, f.URL)
			a, err := c.Submit(t.Context(), job(1))
			g.Expect(f.received()).To(Equal(tc.requests))
			if tc.code == none {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(a.State).To(Equal(structs.JobComplete))
				return
			}
			je := jobError(g, err)
			g.Expect(je.Reason.Code).To(Equal(tc.code), "%v", err)
			g.Expect(je.Reason.Verdict).To(Equal(tc.verdict), "%v", err)
			g.Expect(client.Verdict(err)).To(Equal(tc.verdict))
		})
	}
}

func TestSubmitFailedCarriesAnswer(t *testing.T) {
	g := NewWithT(t)
	c := newClient(g, nil, newFakeEntry(t, failed(structs.Ran)).URL)
	a, err := c.Submit(t.Context(), job(1))
	g.Expect(jobError(g, err).Answer).To(BeIdenticalTo(a))
	g.Expect(a.Results[0].Verdict).To(Equal(structs.Ran))
}

func TestSubmitToUnreachableEntry(t *testing.T) {
	g := NewWithT(t)
	c := newClient(g, nil, unreachableURL())
	_, err := c.Submit(t.Context(), job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))

	id := structs.JobID{Home: home, Seq: 1}
	_, err = c.Submit(t.Context(), job(1), client.WithID(id))
	g.Expect(client.Verdict(err)).To(Equal(structs.MayHaveRun), "an earlier process may have sent the job")
	g.Expect(jobError(g, err).ID).To(Equal(id))
}

// TestSubmitAfterHomeStopped submits a job under an id reserved at an entry that
// has stopped since.
func TestSubmitAfterHomeStopped(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, complete)
	c := newClient(g, nil, f.URL)
	_, err := c.Submit(t.Context(), job(1))
	g.Expect(err).NotTo(HaveOccurred())
	c.Close()
	f.Close()
	_, err = c.Submit(t.Context(), job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun), "%v", err)
	g.Expect(f.received()).To(HaveLen(1))
}

func TestSubmitKeepsCallersID(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, dropConnection, refuse(http.StatusServiceUnavailable, structs.CodeOverloaded, structs.NotRun))
	id := structs.JobID{Home: home, Seq: 9}
	_, err := newClient(g, nil, f.URL).Submit(t.Context(), job(1), client.WithID(id))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
	g.Expect(f.received()).To(Equal([]string{"PUT 9", "PUT 9"}))
}

func TestSubmitWithKey(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, dropConnection, running, complete)
	a, err := newClient(g, nil, f.URL).Submit(t.Context(), job(1), client.WithKey("k"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.ID.Seq).To(Equal(uint64(keyedSeq)))
	g.Expect(f.received()).To(Equal([]string{"POST k 0", "POST k 0", "GET 77"}))

	f = newFakeEntry(t, refuse(http.StatusServiceUnavailable, structs.CodeOverloaded, structs.NotRun))
	_, err = newClient(g, nil, f.URL).Submit(t.Context(), job(1), client.WithKey("k"))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
	g.Expect(f.received()).To(HaveLen(1), "a refusal is final for the key")
}

func TestSubmitFailsOver(t *testing.T) {
	g := NewWithT(t)
	first := newFakeEntry(t, dropConnection)
	second := newFakeEntry(t, complete)
	c := newClient(g, nil, first.URL, second.URL, unreachableURL())
	for range 6 {
		_, err := c.Submit(t.Context(), job(1))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(len(first.received())).To(BeNumerically("<=", 2), "an endpoint that failed is skipped for a while")
}

func TestSubmitHonorsRetryAfter(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, func(w http.ResponseWriter, _ structs.JobID) {
		w.Header().Set("Retry-After", "60")
		writeJSON(w, http.StatusTooManyRequests, structs.Errorf(structs.CodeQuota, structs.NotRun, "over quota"))
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := newClient(g, nil, f.URL).Submit(ctx, job(1))
	je := jobError(g, err)
	g.Expect(je.Reason.RetryAfter).To(Equal(time.Minute))
	g.Expect(je.Reason.Verdict).To(Equal(structs.NotRun))
	g.Expect(f.received()).To(HaveLen(1), "no retry before Retry-After, and no wait past the deadline")
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
}

// TestSubmitAsksEveryEntryAboutLostHome checks that after home_lost responses the
// client asks every entry: of three, only one knows that the home never admitted
// the job.
func TestSubmitAsksEveryEntryAboutLostHome(t *testing.T) {
	g := NewWithT(t)
	homeLost := func(w http.ResponseWriter, _ structs.JobID) {
		writeJSON(w, http.StatusBadGateway,
			structs.Errorf(structs.CodeHomeLost, structs.MayHaveRun, "home not known to this entry").WithRetryAfter(time.Hour))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	authoritative := newFakeEntry(t, refuse(http.StatusGone, structs.CodeExpired, structs.NotRun), complete)
	entries := []*fakeEntry{newFakeEntry(t, homeLost, complete), newFakeEntry(t, homeLost, complete), authoritative}
	_, err := newClient(g, nil, entries[0].URL, entries[1].URL, entries[2].URL).Submit(ctx, job(1))
	g.Expect(err).NotTo(HaveOccurred())

	entries = []*fakeEntry{newFakeEntry(t, homeLost), newFakeEntry(t, homeLost), newFakeEntry(t, homeLost)}
	_, err = newClient(g, nil, entries[0].URL, entries[1].URL, entries[2].URL).Submit(ctx, job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.MayHaveRun))
	for _, f := range entries {
		g.Expect(f.received()).To(HaveLen(1), "each entry is asked once")
	}
}

// TestSubmitHomeLostThenUnreachable guards against reporting "not run" without
// proof: an entry may have forwarded the job to a home that is lost, and the only
// other endpoint refuses connections.
func TestSubmitHomeLostThenUnreachable(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, refuse(http.StatusBadGateway, structs.CodeHomeLost, structs.MayHaveRun), complete)
	_, err := newClient(g, func(o *client.Options) { o.MaxRetries = 1 }, f.URL, unreachableURL()).Submit(t.Context(), job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.MayHaveRun), "%v", err)
	g.Expect(f.received()).To(Equal([]string{"PUT 1"}), "the job is not sent under another id")
}

// TestSubmitFailsOverFromLeavingEntry checks that the Retry-After of the first
// refusal as leaving is ignored, because the other entry may admit the job now. That
// of a second refusal is observed.
func TestSubmitFailsOverFromLeavingEntry(t *testing.T) {
	g := NewWithT(t)
	leaving := func(w http.ResponseWriter, _ structs.JobID) {
		writeJSON(w, http.StatusServiceUnavailable,
			structs.Errorf(structs.CodeLeaving, structs.NotRun, "leaving").WithRetryAfter(time.Hour))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	first, second := newFakeEntry(t, leaving), newFakeEntry(t, complete)
	_, err := newClient(g, nil, first.URL, second.URL).Submit(ctx, job(1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.received()).To(HaveLen(1))

	second = newFakeEntry(t, leaving)
	_, err = newClient(g, nil, first.URL, second.URL).Submit(ctx, job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
	g.Expect(second.received()).To(HaveLen(1))
}

func TestSubmitRespectsRetryBudget(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, refuse(http.StatusServiceUnavailable, structs.CodeOverloaded, structs.NotRun))
	c := newClient(g, func(o *client.Options) { o.BudgetRatio, o.BudgetBurst = 0.1, 1 }, f.URL)
	const jobs = 50
	for range jobs {
		_, err := c.Submit(t.Context(), job(1))
		g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
	}
	retries := len(f.received()) - jobs
	// Each job and each reservation adds a tenth of a retry to the budget.
	g.Expect(retries).To(BeNumerically("<=", 1+(jobs+jobs/16+1)/10))
}

func TestSubmitCanceledContext(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	f := newFakeEntry(t, func(w http.ResponseWriter, id structs.JobID) {
		cancel()
		answerTooLate(w, id)
	})
	_, err := newClient(g, nil, f.URL).Submit(ctx, job(1))
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue())
	g.Expect(client.Verdict(err)).To(Equal(structs.MayHaveRun))
	g.Expect(f.received()).To(Equal([]string{"PUT 1"}), "the job is not canceled")

	_, err = newClient(g, nil, f.URL).Submit(ctx, job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun), "the second job was never sent")
}

func TestSubmitRejectsOversizedJobLocally(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, complete)
	c := newClient(g, nil, f.URL)
	largeTask := job(2)
	largeTask.Tasks[1].Payload = make([]byte, structs.MaxPayloadBytes+1)
	largeJob := job(structs.MaxJobBytes/structs.MaxPayloadBytes + 1)
	for i := range largeJob.Tasks {
		largeJob.Tasks[i].Payload = make([]byte, structs.MaxPayloadBytes)
	}
	for _, spec := range []*structs.JobSpec{job(0), job(structs.MaxTasksPerJob + 1), largeTask, largeJob} {
		_, err := c.Submit(t.Context(), spec)
		g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
	}
	g.Expect(f.received()).To(BeEmpty())
}

func TestSubmitLimitsAnswerSize(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, func(w http.ResponseWriter, id structs.JobID) {
		writeJSON(w, http.StatusOK, structs.JobAnswer{ID: id, State: structs.JobComplete, Total: 1,
			Results: []structs.TaskResult{{Body: make([]byte, 4096)}}})
	})
	c := newClient(g, func(o *client.Options) { o.MaxAnswerBytes = 1024 }, f.URL)
	_, err := c.Submit(t.Context(), job(1))
	g.Expect(jobError(g, err).Reason.Code).To(Equal(structs.CodeTooLarge))
	g.Expect(client.Verdict(err)).To(Equal(structs.MayHaveRun))
	g.Expect(f.received()).To(HaveLen(1), "no retry: the answer would be as large again")
}

func TestSubmitReportsProgress(t *testing.T) {
	g := NewWithT(t)
	c := newClient(g, nil, newFakeEntry(t, running, running, complete).URL)
	calls := 0
	_, err := c.Submit(t.Context(), job(1), client.WithProgress(func(*structs.JobAnswer) { calls++ }))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(calls).To(Equal(2))
}
