package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// FuzzHTTP sends requests to the HTTP interface of an entry without services. Each
// request must be answered, and each error must have a code and must not have the
// verdict ran.
func FuzzHTTP(f *testing.F) {
	const id = "00000000000000e1-1"
	f.Add("POST", "/v1/reservations", `{"count": 2}`)
	f.Add("POST", "/v1/reservations", `{"count": -1}`)
	f.Add("POST", "/v1/jobs", `{"service": "faq", "team": "t", "tasks": [{"payload": "aGk="}]}`)
	f.Add("PUT", "/v1/jobs/"+id, `{"service": "faq", "team": "t", "tasks": [{}], "timeout_ns": -1}`)
	f.Add("PUT", "/v1/jobs/"+id+"?wait=-1s", `{}`)
	f.Add("GET", "/v1/jobs/"+id+"?wait=x", "")
	f.Add("DELETE", "/v1/jobs/../..", "")
	f.Add("PUT", "/v1/services/faq", `{"edit_id": "a", "base": 18446744073709551615, "text": "service = 1"}`)
	f.Add("GET", "/v1/services/%00/history", "")
	f.Add("PATCH", "/nowhere", strings.Repeat("[", 10_000))
	handler := newFuzzHandler(f)
	f.Fuzz(func(t *testing.T, method, target, body string) {
		req, err := http.NewRequest(method, "http://127.0.0.1"+target, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(target, "/") {
			t.Skip()
		}
		rec := httptest.NewRecorder()
		handler.ServeHTTP(rec, req)
		checkRefusal(t, method, rec)
	})
}

func newFuzzHandler(f *testing.F) http.Handler {
	opts := DefaultOptions()
	opts.Name, opts.Zone, opts.Region = "entry-1", "az1", "r1"
	opts.HTTPAddr, opts.RPCAddr = "127.0.0.1:0", "127.0.0.1:0"
	opts.LogURL = "http://127.0.0.1:1" // nothing listens there
	opts.MaxWait, opts.PublishTimeout = 1, 1
	e, err := New(opts, log.NewNopLogger())
	if err != nil {
		f.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go e.loop(ctx)
	f.Cleanup(func() {
		cancel()
		<-e.stopped
		e.closeListeners()
	})
	return e.routes()
}

func checkRefusal(t *testing.T, method string, rec *httptest.ResponseRecorder) {
	if rec.Code < http.StatusBadRequest || method == http.MethodHead {
		return
	}
	var refusal structs.Error
	if err := json.Unmarshal(rec.Body.Bytes(), &refusal); err != nil {
		t.Fatalf("status %d: %v: %q", rec.Code, err, rec.Body)
	}
	// Only the error of the readiness probe has no code.
	if refusal.Code == "" && !strings.Contains(rec.Body.String(), "not ready") {
		t.Fatalf("status %d without a code: %q", rec.Code, rec.Body)
	}
	if refusal.Verdict == structs.Ran {
		t.Fatalf("status %d with the verdict ran: %q", rec.Code, rec.Body)
	}
}
