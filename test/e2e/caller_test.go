package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// caller sends HTTP requests to chosen entries and records the replies.
type caller struct {
	c       *cluster
	history *history
	http    http.Client
}

func newCaller(c *cluster, h *history) *caller {
	return &caller{c: c, history: h, http: http.Client{Timeout: waitTimeout}}
}

// do sends one request. Status 0 means that no valid reply arrived.
func (k *caller) do(method, url string, body, reply any) (int, *structs.Error) {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		in = bytes.NewReader(text)
	}
	req, err := http.NewRequest(method, url, in)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := k.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	if resp.StatusCode < 300 {
		if json.Unmarshal(text, reply) != nil {
			return 0, nil
		}
		return resp.StatusCode, nil
	}
	var refusal structs.Error
	if json.Unmarshal(text, &refusal) != nil {
		return 0, nil
	}
	return resp.StatusCode, &refusal
}

// reserve reserves a job id; ok is false if that failed.
func (k *caller) reserve(e *daemon) (structs.JobID, bool) {
	var reply struct {
		IDs []structs.JobID `json:"ids"`
	}
	status, _ := k.do(http.MethodPost, e.url()+"/v1/reservations", map[string]int{"count": 1}, &reply)
	if status != http.StatusOK || len(reply.IDs) != 1 {
		return structs.JobID{}, false
	}
	return reply.IDs[0], true
}

// requestJob sends one request about a job and records the reply. It returns
// nil if no valid reply arrived.
func (k *caller) requestJob(method string, e *daemon, s *submission, wait time.Duration) *observation {
	url := fmt.Sprintf("%s/v1/jobs/%s", e.url(), s.id)
	if method != http.MethodDelete {
		url += "?wait=" + wait.String()
	}
	var body any
	if method == http.MethodPut {
		body = &s.spec
	}
	o := observation{submitted: s, call: time.Now().UnixNano()}
	var answer structs.JobAnswer
	status, refusal := k.do(method, url, body, &answer)
	o.ret = time.Now().UnixNano()
	switch {
	case refusal != nil:
		o.err = refusal
	case status == 0:
		return nil
	default:
		o.answer = &answer
	}
	k.history.add(o)
	return &o
}

func (k *caller) submit(e *daemon, s *submission, wait time.Duration) *observation {
	return k.requestJob(http.MethodPut, e, s, wait)
}

func (k *caller) cancel(e *daemon, s *submission) *observation {
	return k.requestJob(http.MethodDelete, e, s, 0)
}
