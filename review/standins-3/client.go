package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a caller got.
type answer struct {
	code int
	body string
	err  error
	at   time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("%d %s", a.code, strings.TrimSpace(a.body))
}

func (a answer) accepted() bool { return a.err == nil && a.code/100 == 2 }

// callerDeadline is how long callers wait for an answer.
const callerDeadline = 1500 * time.Millisecond

// request makes one request over a connection of its own.
func (s *system) request(p *process, method, job, body string, wait time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.jobsAddr+s.texts.Prefix+job, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	req.Host = s.texts.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(s.texts.DeadlineHeader, strconv.FormatInt(wait.Milliseconds(), 10))
	s.note("caller sends %s %s to %s", method, job, p.name)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	a := answer{err: err}
	if err == nil {
		var text []byte
		text, a.err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.code, a.body = resp.StatusCode, string(text)
	}
	a.at = time.Now()
	s.note("caller of %s %s at %s gets %v", method, job, p.name, a)
	return a
}

// submit submits a job of one task that runs for ms milliseconds.
func (s *system) submit(p *process, job string, ms int, wait time.Duration) answer {
	body := strings.NewReplacer("SPEC", strconv.Itoa(ms), "111222333", strconv.Itoa(ms)).Replace(string(s.texts.Job))
	return s.request(p, http.MethodPost, job, body, wait)
}

// cancel cancels a job.
func (s *system) cancel(p *process, job string) answer {
	return s.request(p, http.MethodDelete, job, "", callerDeadline)
}
