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

// fate is what becomes of one request on its way.
type fate string

const (
	fateUnsent     fate = "connection refused"
	fateDropped    fate = "sent and dropped"
	fateLate       fate = "sent and delivered after everything else"
	fateAnswerLost fate = "delivered, answer lost"
	fateAnswered   fate = "delivered and answered"
	fateHomeLost   fate = "home_lost, perhaps delivered"
	fateHomeKilled fate = "home killed, then delivered"
	fateHomeLeft   fate = "home left, then delivered"
	fatePollShed   fate = "poll refused by a busy entry"
)

var (
	fates = []fate{fateUnsent, fateDropped, fateLate, fateAnswerLost, fateAnswered,
		fateHomeLost, fateHomeKilled, fateHomeLeft}
	pollFates = append([]fate{fatePollShed}, fates...)
)

var errBroken = errors.New("broken connection")

// modelHome is one home of job ids: open, killed, or left with a last word.
type modelHome struct {
	killed, left bool
	jobs         map[uint64]string // state by sequence; absent: reserved
}

// States of a job at its home.
const (
	stateRefused = "refused"
	stateRunning = "running"
)

// model is the entries behind a client, as an http.RoundTripper whose answers
// are drawn. It counts the starts of the one job that is submitted.
type model struct {
	t      *rapid.T
	homes  []*modelHome
	seq    uint64
	late   []func()
	starts int
}

func (m *model) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/reservations") {
		return m.reserve()
	}
	id, err := structs.ParseJobID(strings.TrimPrefix(r.URL.Path, "/v1/jobs/"))
	if err != nil {
		return nil, err
	}
	drawn := fates
	if r.Method == http.MethodGet {
		drawn = pollFates
	}
	f := rapid.SampledFrom(drawn).Draw(m.t, r.Method+" "+id.String())
	if f == fateUnsent {
		return nil, errBroken
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	return m.meet(f, id, r.Method)
}

func (m *model) meet(f fate, id structs.JobID, method string) (*http.Response, error) {
	home := m.homes[id.Home-1]
	switch f {
	case fateDropped:
		return nil, errBroken
	case fateLate:
		m.late = append(m.late, func() { m.deliver(home, id, method) })
		return nil, errBroken
	case fateAnswerLost:
		m.deliver(home, id, method)
		return nil, errBroken
	case fateHomeLost:
		if rapid.Bool().Draw(m.t, "delivered") {
			m.deliver(home, id, method)
		}
		return refusal(http.StatusBadGateway, structs.CodeHomeLost, structs.MayHaveRun)
	case fatePollShed:
		return refusal(http.StatusServiceUnavailable, structs.CodeOverloaded, structs.NotRun)
	case fateHomeKilled:
		home.killed = true
	case fateHomeLeft:
		home.left = !home.killed
	}
	return m.deliver(home, id, method)
}

// reserve reserves at a home that lives.
func (m *model) reserve() (*http.Response, error) {
	last := len(m.homes) - 1
	if last < 0 || m.homes[last].killed || m.homes[last].left {
		m.homes = append(m.homes, &modelHome{jobs: make(map[uint64]string)})
		last++
	}
	m.seq++
	ids := []structs.JobID{{Home: structs.Incarnation(last + 1), Seq: m.seq}, {Home: structs.Incarnation(last + 1), Seq: m.seq + 1}}
	m.seq++
	return response(http.StatusOK, map[string]any{"ids": ids})
}

// deliver is a request's arrival at its home, or at an entry that knows the
// home's last word.
func (m *model) deliver(home *modelHome, id structs.JobID, method string) (*http.Response, error) {
	state, submitted := home.jobs[id.Seq]
	switch {
	case home.killed:
		return refusal(http.StatusBadGateway, structs.CodeHomeLost, structs.MayHaveRun)
	case !submitted && home.left:
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

// TestSubmitIsHonest submits one job through drawn faults. It starts at most
// once under all its ids together, a complete answer means one start, and "not
// run" means none, late copies included.
func TestSubmitIsHonest(t *testing.T) {
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
		for _, deliver := range m.late {
			deliver()
		}
		if m.starts > 1 {
			t.Fatalf("started %d times", m.starts)
		}
		if err == nil && m.starts != 1 {
			t.Fatalf("complete without a start")
		}
		if err != nil && client.Verdict(err) == structs.NotRun && m.starts != 0 {
			t.Fatalf("said not run, and it started: %v", err)
		}
	})
}
