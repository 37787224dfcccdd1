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

// TestSubmitSettles drives Submit through an entry's answers to one job.
func TestSubmitSettles(t *testing.T) {
	const (
		none  = structs.ErrorCode("")
		block = 3 // ids are numbered; a change of id shows
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
		name    string
		script  []step
		code    structs.ErrorCode // none: the job completes
		verdict structs.Verdict
		seen    []string
	}{
		{"complete", []step{complete}, none, 0, []string{"PUT 1"}},
		{"polls a running job", []step{running, running, complete}, none, 0, []string{"PUT 1", "GET 1", "GET 1"}},
		{"lost answer", []step{lost, complete}, none, 0, []string{"PUT 1", "PUT 1"}},
		{"deaf entry", []step{deaf, complete}, none, 0, []string{"PUT 1", "PUT 1"}},
		{"lost poll", []step{running, lost, complete}, none, 0, []string{"PUT 1", "GET 1", "GET 1"}},
		{"balancer's error page", []step{html(502), html(504), complete}, none, 0, []string{"PUT 1", "PUT 1", "PUT 1"}},
		{"another job's answer", []step{func(w http.ResponseWriter, id structs.JobID) {
			id.Seq += 100
			complete(w, id)
		}, complete}, none, 0, []string{"PUT 1", "PUT 1"}},
		{"partial answer", []step{func(w http.ResponseWriter, id structs.JobID) {
			writeJSON(w, http.StatusOK, structs.JobAnswer{ID: id, State: structs.JobComplete, Total: 1})
		}, complete}, none, 0, []string{"PUT 1", "PUT 1"}},
		{"refused, then taken", []step{overloaded, complete}, none, 0, []string{"PUT 1", "PUT 2"}},
		{"refused throughout", []step{overloaded}, structs.CodeOverloaded, notRun,
			[]string{"PUT 1", "PUT 2", "PUT 3", "PUT 4", "PUT 5"}},
		{"refused after a lost answer", []step{lost, overloaded, complete}, none, 0, []string{"PUT 1", "PUT 1", "PUT 2"}},
		{"refused for good", []step{refuse(422, structs.CodeRejected, notRun)}, structs.CodeRejected, notRun, []string{"PUT 1"}},
		{"conflict", []step{refuse(409, structs.CodeConflict, mayHaveRun)}, structs.CodeConflict, mayHaveRun, []string{"PUT 1"}},
		{"failed", []step{failed(ran)}, structs.CodeBackend, ran, []string{"PUT 1"}},
		{"lost throughout", []step{lost}, structs.CodeUnavailable, mayHaveRun,
			[]string{"PUT 1", "PUT 1", "PUT 1", "PUT 1", "PUT 1"}},
		{"expired, never sent before", []step{expired, complete}, none, 0, []string{"PUT 1", "PUT 4"}},
		{"expired after a lost answer", []step{lost, expired}, structs.CodeExpired, mayHaveRun, []string{"PUT 1", "PUT 1"}},
		{"home gone before anything ran", []step{refuse(502, structs.CodeHomeLost, notRun), complete}, none, 0,
			[]string{"PUT 1", "PUT 4"}},
		{"home leaving", []step{refuse(503, structs.CodeLeaving, notRun), complete}, none, 0, []string{"PUT 1", "PUT 4"}},
		{"home lost", []step{homeLost}, structs.CodeHomeLost, mayHaveRun, []string{"PUT 1", "PUT 1", "PUT 1"}},
		{"expired after the home was lost", []step{homeLost, expired}, structs.CodeExpired, mayHaveRun, []string{"PUT 1", "PUT 1"}},
		{"home lost, then not asked", []step{homeLost, notForwarded}, structs.CodeHomeLost, mayHaveRun,
			[]string{"PUT 1", "PUT 1", "PUT 1"}},
		{"home lost, found by another entry", []step{homeLost, complete}, none, 0, []string{"PUT 1", "PUT 1"}},
		{"home lost, later proved not run", []step{lost, refuse(502, structs.CodeHomeLost, notRun), complete}, none, 0,
			[]string{"PUT 1", "PUT 1", "PUT 4"}},
		{"home unknown to the first entry asked", []step{notForwarded, complete}, none, 0, []string{"PUT 1", "PUT 4"}},
		{"home found dead by the agents, nothing ran", []step{recovered(notRun, false), complete}, none, 0, []string{"PUT 1", "PUT 4"}},
		{"home found dead by the agents, nothing known", []step{recovered(mayHaveRun, false), complete},
			structs.CodeHomeLost, mayHaveRun, []string{"PUT 1"}},
		{"home found dead before it got anything", []step{recovered(mayHaveRun, true), complete}, none, 0, []string{"PUT 1", "PUT 4"}},
		{"home found dead after a lost answer", []step{lost, recovered(mayHaveRun, true), complete},
			structs.CodeHomeLost, mayHaveRun, []string{"PUT 1", "PUT 1"}},
		{"home unknown after a lost answer", []step{lost, notForwarded}, structs.CodeHomeLost, mayHaveRun,
			[]string{"PUT 1", "PUT 1", "PUT 1", "PUT 1"}},
		{"malformed for an entry of another version", []step{lost, refuse(400, structs.CodeInvalid, notRun)},
			structs.CodeInvalid, mayHaveRun, []string{"PUT 1", "PUT 1"}},
		{"never reserved", []step{notFound}, structs.CodeNotFound, notRun, []string{"PUT 1"}},
		{"refused poll", []step{running, overloaded, complete}, none, 0, []string{"PUT 1", "GET 1", "GET 1"}},
		{"polls refused throughout", []step{running, overloaded}, structs.CodeOverloaded, mayHaveRun,
			[]string{"PUT 1", "GET 1", "GET 1", "GET 1", "GET 1", "GET 1"}},
		{"running job's home proved dead before it started anything",
			[]step{running, refuse(502, structs.CodeHomeLost, notRun), complete}, none, 0, []string{"PUT 1", "GET 1", "PUT 4"}},
		{"unknown refusal", []step{html(404)}, structs.CodeUnavailable, mayHaveRun, []string{"PUT 1"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFakeEntry(t, tc.script...)
			c := newClient(g, func(o *client.Options) { o.ReserveBlock = block }, f.URL)
			a, err := c.Submit(t.Context(), job(1))
			g.Expect(f.seen()).To(Equal(tc.seen))
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

func TestSubmitNeverReached(t *testing.T) {
	g := NewWithT(t)
	c := newClient(g, nil, deadURL())
	_, err := c.Submit(t.Context(), job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))

	id := structs.JobID{Home: home, Seq: 1}
	_, err = c.Submit(t.Context(), job(1), client.WithID(id))
	g.Expect(client.Verdict(err)).To(Equal(structs.MayHaveRun), "an earlier process may have sent it")
	g.Expect(jobError(g, err).ID).To(Equal(id))
}

// TestSubmitHomeGone keeps ids of an entry that is gone by the time of the next
// job.
func TestSubmitHomeGone(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, complete)
	c := newClient(g, nil, f.URL)
	_, err := c.Submit(t.Context(), job(1))
	g.Expect(err).NotTo(HaveOccurred())
	c.Close()
	f.Close()
	_, err = c.Submit(t.Context(), job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun), "%v", err)
	g.Expect(f.seen()).To(HaveLen(1))
}

func TestSubmitPinnedIDIsNeverChanged(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, lost, refuse(http.StatusServiceUnavailable, structs.CodeOverloaded, structs.NotRun))
	id := structs.JobID{Home: home, Seq: 9}
	_, err := newClient(g, nil, f.URL).Submit(t.Context(), job(1), client.WithID(id))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
	g.Expect(f.seen()).To(Equal([]string{"PUT 9", "PUT 9"}))
}

func TestSubmitWithKey(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, lost, running, complete)
	a, err := newClient(g, nil, f.URL).Submit(t.Context(), job(1), client.WithKey("k"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.ID.Seq).To(Equal(uint64(keyedSeq)))
	g.Expect(f.seen()).To(Equal([]string{"POST k 0", "POST k 0", "GET 77"}))

	f = newFakeEntry(t, refuse(http.StatusServiceUnavailable, structs.CodeOverloaded, structs.NotRun))
	_, err = newClient(g, nil, f.URL).Submit(t.Context(), job(1), client.WithKey("k"))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
	g.Expect(f.seen()).To(HaveLen(1), "the key's job is refused for good")
}

func TestSubmitFailsOver(t *testing.T) {
	g := NewWithT(t)
	first := newFakeEntry(t, lost)
	second := newFakeEntry(t, complete)
	c := newClient(g, nil, first.URL, second.URL, deadURL())
	for range 6 {
		_, err := c.Submit(t.Context(), job(1))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(len(first.seen())).To(BeNumerically("<=", 2), "an endpoint that failed is passed over for a while")
}

func TestSubmitKeepsRetryAfter(t *testing.T) {
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
	g.Expect(f.seen()).To(HaveLen(1), "it does not come back before the time, nor wait past its deadline")
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
}

// TestSubmitAsksEachEntryForLostHome has three entries of which only one knows
// that the home never took the job.
func TestSubmitAsksEachEntryForLostHome(t *testing.T) {
	g := NewWithT(t)
	unknown := func(w http.ResponseWriter, _ structs.JobID) {
		writeJSON(w, http.StatusBadGateway,
			structs.Errorf(structs.CodeHomeLost, structs.MayHaveRun, "not known here").WithRetryAfter(time.Hour))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	knows := newFakeEntry(t, refuse(http.StatusGone, structs.CodeExpired, structs.NotRun), complete)
	entries := []*fakeEntry{newFakeEntry(t, unknown, complete), newFakeEntry(t, unknown, complete), knows}
	_, err := newClient(g, nil, entries[0].URL, entries[1].URL, entries[2].URL).Submit(ctx, job(1))
	g.Expect(err).NotTo(HaveOccurred())

	entries = []*fakeEntry{newFakeEntry(t, unknown), newFakeEntry(t, unknown), newFakeEntry(t, unknown)}
	_, err = newClient(g, nil, entries[0].URL, entries[1].URL, entries[2].URL).Submit(ctx, job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.MayHaveRun))
	for _, f := range entries {
		g.Expect(f.seen()).To(HaveLen(1), "each entry is asked")
	}
}

// TestSubmitHomeLostThenDown has an entry that may have passed the job on to a
// home that is lost, and no other that listens: nothing proves that it did not
// run.
func TestSubmitHomeLostThenDown(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, refuse(http.StatusBadGateway, structs.CodeHomeLost, structs.MayHaveRun), complete)
	_, err := newClient(g, func(o *client.Options) { o.MaxRetries = 1 }, f.URL, deadURL()).Submit(t.Context(), job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.MayHaveRun), "%v", err)
	g.Expect(f.seen()).To(Equal([]string{"PUT 1"}), "never under another id")
}

// TestSubmitMovesOn has one entry that leaves and asks to come back later; the
// other can take the job now. Only a second refusal is waited for.
func TestSubmitMovesOn(t *testing.T) {
	g := NewWithT(t)
	later := func(w http.ResponseWriter, _ structs.JobID) {
		writeJSON(w, http.StatusServiceUnavailable,
			structs.Errorf(structs.CodeLeaving, structs.NotRun, "leaving").WithRetryAfter(time.Hour))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	first, second := newFakeEntry(t, later), newFakeEntry(t, complete)
	_, err := newClient(g, nil, first.URL, second.URL).Submit(ctx, job(1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.seen()).To(HaveLen(1))

	second = newFakeEntry(t, later)
	_, err = newClient(g, nil, first.URL, second.URL).Submit(ctx, job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
	g.Expect(second.seen()).To(HaveLen(1))
}

func TestSubmitStaysInBudget(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, refuse(http.StatusServiceUnavailable, structs.CodeOverloaded, structs.NotRun))
	c := newClient(g, func(o *client.Options) { o.BudgetRatio, o.BudgetBurst = 0.1, 1 }, f.URL)
	const jobs = 50
	for range jobs {
		_, err := c.Submit(t.Context(), job(1))
		g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
	}
	retries := len(f.seen()) - jobs
	// Each job earns a tenth of a retry, and so does each reservation.
	g.Expect(retries).To(BeNumerically("<=", 1+(jobs+jobs/16+1)/10))
}

func TestSubmitCanceledContext(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	f := newFakeEntry(t, func(w http.ResponseWriter, id structs.JobID) {
		cancel()
		deaf(w, id)
	})
	_, err := newClient(g, nil, f.URL).Submit(ctx, job(1))
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue())
	g.Expect(client.Verdict(err)).To(Equal(structs.MayHaveRun))
	g.Expect(f.seen()).To(Equal([]string{"PUT 1"}), "the job is left alone")

	_, err = newClient(g, nil, f.URL).Submit(ctx, job(1))
	g.Expect(client.Verdict(err)).To(Equal(structs.NotRun), "it was never sent")
}

func TestSubmitRefusesOversizedLocally(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, complete)
	c := newClient(g, nil, f.URL)
	big := job(2)
	big.Tasks[1].Payload = make([]byte, structs.MaxPayloadBytes+1)
	heavy := job(structs.MaxJobBytes/structs.MaxPayloadBytes + 1)
	for i := range heavy.Tasks {
		heavy.Tasks[i].Payload = make([]byte, structs.MaxPayloadBytes)
	}
	for _, spec := range []*structs.JobSpec{job(0), job(structs.MaxTasksPerJob + 1), big, heavy} {
		_, err := c.Submit(t.Context(), spec)
		g.Expect(client.Verdict(err)).To(Equal(structs.NotRun))
	}
	g.Expect(f.seen()).To(BeEmpty())
}

func TestSubmitBoundsAnswer(t *testing.T) {
	g := NewWithT(t)
	f := newFakeEntry(t, func(w http.ResponseWriter, id structs.JobID) {
		writeJSON(w, http.StatusOK, structs.JobAnswer{ID: id, State: structs.JobComplete, Total: 1,
			Results: []structs.TaskResult{{Body: make([]byte, 4096)}}})
	})
	c := newClient(g, func(o *client.Options) { o.MaxAnswerBytes = 1024 }, f.URL)
	_, err := c.Submit(t.Context(), job(1))
	g.Expect(jobError(g, err).Reason.Code).To(Equal(structs.CodeTooLarge))
	g.Expect(client.Verdict(err)).To(Equal(structs.MayHaveRun))
	g.Expect(f.seen()).To(HaveLen(1), "the answer would not shrink")
}

func TestSubmitReportsProgress(t *testing.T) {
	g := NewWithT(t)
	c := newClient(g, nil, newFakeEntry(t, running, running, complete).URL)
	calls := 0
	_, err := c.Submit(t.Context(), job(1), client.WithProgress(func(*structs.JobAnswer) { calls++ }))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(calls).To(Equal(2))
}
