package client_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// outcome says whether a request is delivered and its answer received.
type outcome string

const (
	outcomeUnsent       outcome = "connection refused"
	outcomeRequestLost  outcome = "sent, but not delivered"
	outcomeDelayed      outcome = "sent, delivered after all other requests"
	outcomeAnswerLost   outcome = "delivered, response lost"
	outcomeAnswered     outcome = "delivered and answered"
	outcomeHomeLost     outcome = "home_lost response, possibly delivered"
	outcomeHomeKilled   outcome = "home killed, then delivered"
	outcomeHomeDeparted outcome = "home departed, then delivered"
	outcomePollRefused  outcome = "poll refused by an overloaded entry"
)

var (
	outcomes = []outcome{outcomeUnsent, outcomeRequestLost, outcomeDelayed, outcomeAnswerLost, outcomeAnswered,
		outcomeHomeLost, outcomeHomeKilled, outcomeHomeDeparted}
	pollOutcomes = append([]outcome{outcomePollRefused}, outcomes...)
)

var errConnection = errors.New("connection failed")

// modelHome is the home of some job ids. It is open, killed, or has departed
// gracefully, in which case other entries know that its unused ids are closed.
type modelHome struct {
	killed, departed bool
	jobs             map[uint64]string // state by sequence; none if only reserved
}

// States of a job at its home.
const (
	stateRefused = "refused"
	stateRunning = "running"
)

// model simulates the entries as an http.RoundTripper with random answers. It
// counts the starts of the only job that is submitted.
type model struct {
	t       *rapid.T
	homes   []*modelHome
	seq     uint64
	delayed []func()
	starts  int
}

func (m *model) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/reservations") {
		return m.reserve()
	}
	id, err := structs.ParseJobID(strings.TrimPrefix(r.URL.Path, "/v1/jobs/"))
	if err != nil {
		return nil, err
	}
	possible := outcomes
	if r.Method == http.MethodGet {
		possible = pollOutcomes
	}
	f := rapid.SampledFrom(possible).Draw(m.t, r.Method+" "+id.String())
	if f == outcomeUnsent {
		return nil, errConnection
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	return m.apply(f, id, r.Method)
}

func (m *model) apply(f outcome, id structs.JobID, method string) (*http.Response, error) {
	home := m.homes[id.Home-1]
	switch f {
	case outcomeRequestLost:
		return nil, errConnection
	case outcomeDelayed:
		m.delayed = append(m.delayed, func() { m.deliver(home, id, method) })
		return nil, errConnection
	case outcomeAnswerLost:
		m.deliver(home, id, method)
		return nil, errConnection
	case outcomeHomeLost:
		if rapid.Bool().Draw(m.t, "delivered") {
			m.deliver(home, id, method)
		}
		return refusal(http.StatusBadGateway, structs.CodeHomeLost, structs.MayHaveRun)
	case outcomePollRefused:
		return refusal(http.StatusServiceUnavailable, structs.CodeOverloaded, structs.NotRun)
	case outcomeHomeKilled:
		home.killed = true
	case outcomeHomeDeparted:
		home.departed = !home.killed
	}
	return m.deliver(home, id, method)
}

// reserve reserves ids at an open home.
func (m *model) reserve() (*http.Response, error) {
	last := len(m.homes) - 1
	if last < 0 || m.homes[last].killed || m.homes[last].departed {
		m.homes = append(m.homes, &modelHome{jobs: make(map[uint64]string)})
		last++
	}
	m.seq++
	ids := []structs.JobID{{Home: structs.Incarnation(last + 1), Seq: m.seq}, {Home: structs.Incarnation(last + 1), Seq: m.seq + 1}}
	m.seq++
	return response(http.StatusOK, map[string]any{"ids": ids})
}

// deliver processes a request at the home of its id or, if that has departed, at an
// entry that has been notified of it.
func (m *model) deliver(home *modelHome, id structs.JobID, method string) (*http.Response, error) {
	state, submitted := home.jobs[id.Seq]
	switch {
	case home.killed:
		return refusal(http.StatusBadGateway, structs.CodeHomeLost, structs.MayHaveRun)
	case !submitted && home.departed:
		return refusal(http.StatusGone, structs.CodeExpired, structs.NotRun)
	case !submitted && method == http.MethodGet:
		return refusal(http.StatusNotFound, structs.CodeNotFound, structs.NotRun)
	case !submitted && rapid.Bool().Draw(m.t, "refused"):
		home.jobs[id.Seq] = stateRefused
		return refusal(http.StatusServiceUnavailable, structs.CodeOverloaded, structs.NotRun)
	case state == stateRefused:
		return refusal(http.StatusServiceUnavailable, structs.CodeOverloaded, structs.NotRun)
	case !submitted:
		home.jobs[id.Seq] = stateRunning
		m.starts++
	}
	a := structs.JobAnswer{ID: id, State: structs.JobRunning, Total: 1}
	if rapid.Bool().Draw(m.t, "running") {
		return response(http.StatusAccepted, a)
	}
	a.State, a.Results = structs.JobComplete, []structs.TaskResult{{Verdict: structs.Ran}}
	return response(http.StatusOK, a)
}

func refusal(status int, code structs.ErrorCode, v structs.Verdict) (*http.Response, error) {
	return response(status, structs.Errorf(code, v, "refused"))
}

func response(status int, v any) (*http.Response, error) {
	body, err := json.Marshal(v)
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}, err
}

// TestSubmitStartsAtMostOnce submits one job under random faults. Under all its ids
// together the job starts at most once. A complete answer implies exactly one
// start; the verdict "not run" implies none, even if delayed requests arrive
// afterwards.
func TestSubmitStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t}
		c, err := client.New(client.Options{
			Entries:    []string{"http://a", "http://b"},
			HTTP:       &http.Client{Transport: m},
			PollWait:   time.Minute,
			MaxRetries: 8,
			MinBackoff: 1,
			MaxBackoff: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		_, err = c.Submit(context.Background(), job(1))
		for _, deliver := range m.delayed {
			deliver()
		}
		if m.starts > 1 {
			t.Fatalf("job started %d times, want at most once", m.starts)
		}
		if err == nil && m.starts != 1 {
			t.Fatalf("job reported complete, but it never started")
		}
		if err != nil && client.Verdict(err) == structs.NotRun && m.starts != 0 {
			t.Fatalf("verdict is not run, but the job started: %v", err)
		}
	})
}
