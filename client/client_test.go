package client_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// home is the incarnation of every fake entry.
const home = structs.Incarnation(0xabc)

// keyedSeq is the sequence of the job that an idempotency key is bound to.
const keyedSeq = 77

// step answers one request for a job after its body has been read.
type step func(w http.ResponseWriter, id structs.JobID)

// fakeEntry reserves ids and answers requests for jobs with the steps of a script;
// the last step is repeated. It records requests as "METHOD sequence", or as "METHOD
// key 0" if they carry an idempotency key.
type fakeEntry struct {
	*httptest.Server
	mu       sync.Mutex
	seq      uint64
	requests []string
	script   []step
}

func newFakeEntry(t *testing.T, script ...step) *fakeEntry {
	f := &fakeEntry{script: script}
	f.Server = httptest.NewServer(f)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/reservations" {
		f.reserve(w, r)
		return
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		f.nextStep(r.Method+" "+key, structs.JobID{})(w, structs.JobID{Home: home, Seq: keyedSeq})
		return
	}
	id, err := structs.ParseJobID(strings.TrimPrefix(r.URL.Path, "/v1/jobs/"))
	if err != nil {
		http.NotFound(w, r)
		return
	}
	var spec structs.JobSpec
	_ = json.NewDecoder(r.Body).Decode(&spec)
	f.nextStep(r.Method, id)(w, id)
}

func (f *fakeEntry) reserve(w http.ResponseWriter, r *http.Request) {
	var in struct{ Count int }
	_ = json.NewDecoder(r.Body).Decode(&in)
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []structs.JobID
	for range in.Count {
		f.seq++
		ids = append(ids, structs.JobID{Home: home, Seq: f.seq})
	}
	writeJSON(w, http.StatusOK, map[string]any{"ids": ids})
}

func (f *fakeEntry) nextStep(method string, id structs.JobID) step {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, fmt.Sprintf("%s %d", method, id.Seq))
	s := f.script[0]
	if len(f.script) > 1 {
		f.script = f.script[1:]
	}
	return s
}

func (f *fakeEntry) received() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Steps.

func complete(w http.ResponseWriter, id structs.JobID) {
	writeJSON(w, http.StatusOK, structs.JobAnswer{ID: id, State: structs.JobComplete, Done: 1, Total: 1,
		Results: []structs.TaskResult{{Verdict: structs.Ran, Body: []byte("ok")}}})
}

func running(w http.ResponseWriter, id structs.JobID) {
	writeJSON(w, http.StatusAccepted, structs.JobAnswer{ID: id, State: structs.JobRunning, Total: 1})
}

func failed(v structs.Verdict) step {
	return func(w http.ResponseWriter, id structs.JobID) {
		writeJSON(w, http.StatusOK, structs.JobAnswer{ID: id, State: structs.JobFailed, Total: 1,
			Results: []structs.TaskResult{{Verdict: v}}, Error: structs.Errorf(structs.CodeBackend, v, "broken")})
	}
}

// dropConnection closes the connection without an answer.
func dropConnection(http.ResponseWriter, structs.JobID) { panic(http.ErrAbortHandler) }

// answerTooLate answers only after the tests' request timeout.
func answerTooLate(http.ResponseWriter, structs.JobID) { time.Sleep(time.Second) }

func refuse(status int, code structs.ErrorCode, v structs.Verdict) step {
	return func(w http.ResponseWriter, _ structs.JobID) {
		w.Header().Set("Retry-After", "0")
		writeJSON(w, status, structs.Errorf(code, v, "refused"))
	}
}

func htmlPage(status int) step {
	return func(w http.ResponseWriter, _ structs.JobID) {
		w.WriteHeader(status)
		fmt.Fprint(w, "<h1>load balancer error page</h1>")
	}
}

func newClient(g Gomega, change func(*client.Options), urls ...string) *client.Client {
	opts := client.Options{
		Entries:     urls,
		PollWait:    50 * time.Millisecond,
		AnswerSlack: 200 * time.Millisecond,
		MaxRetries:  4,
		MinBackoff:  time.Millisecond,
		MaxBackoff:  4 * time.Millisecond,
	}
	if change != nil {
		change(&opts)
	}
	c, err := client.New(opts)
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

func job(tasks int) *structs.JobSpec {
	return &structs.JobSpec{Service: "booking", Team: "desk", Tasks: make([]structs.TaskSpec, tasks)}
}

func jobError(g Gomega, err error) *client.JobError {
	var je *client.JobError
	g.Expect(errors.As(err, &je)).To(BeTrue(), "%v", err)
	return je
}

// unreachableURL returns a URL whose port refuses connections.
func unreachableURL() string {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	return s.URL
}

func TestNewChecksEntries(t *testing.T) {
	g := NewWithT(t)
	for _, entries := range [][]string{nil, {"127.0.0.1:80"}, {"ftp://127.0.0.1"}, {"http://"}} {
		_, err := client.New(client.Options{Entries: entries})
		g.Expect(err).To(HaveOccurred(), "%v", entries)
	}
}
