package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
)

const (
	reportInterval = 1500 * time.Millisecond
	clockTick      = 2 * time.Millisecond
)

// executorOptions describe a stand-in of a backend server and what watches it.
type executorOptions struct {
	name      string // of its machine
	zone      string
	addr      string
	agentAddr string // where its reports go
	rack      string
	cpu       int
	rec       *record
	onStart   func(e *executor, task string)
	onEnd     func(e *executor, task, outcome string)
}

// executor is a backend server on the machine of an agent. Its boots follow one another at
// the same address.
type executor struct {
	executorOptions

	mu       sync.Mutex
	id, kind string
	boots    int
	server   *leaseserver.Server
	born     time.Time
	base     time.Duration
	seq      int64
	changed  chan struct{} // closed when a task ends
	gone     chan struct{} // closed when the boot has crashed
	up       bool
	http     *http.Server
	closed   chan struct{}
	// crashAtStart makes the server crash for that long when it has carried out the next start
	// and has not answered it.
	crashAtStart time.Duration
}

func newExecutor(o executorOptions, kind string) *executor {
	e := &executor{executorOptions: o, closed: make(chan struct{})}
	e.mu.Lock()
	e.boot(kind, "")
	e.mu.Unlock()
	e.listen()
	go e.run()
	return e
}

// boot starts a new life without tasks, under the given id or a new one. The caller holds
// e.mu.
func (e *executor) boot(kind, id string) {
	e.boots++
	if id == "" {
		id = fmt.Sprintf("i-%s-%d", e.name, e.boots)
	}
	e.id, e.kind, e.up, e.seq = id, kind, true, 0
	e.born = time.Now()
	e.base = time.Duration(rand.IntN(1_000_000)) * time.Millisecond
	e.server = leaseserver.New(e.born.UnixMilli(), e.base)
	e.changed, e.gone = make(chan struct{}), make(chan struct{})
	e.server.OnStart = func(t leaseserver.TaskRun) {
		e.rec.log("run    start %s#%d at %s kind=%s", t.Name, t.Number, e.id, e.kind)
		e.onStart(e, t.Name)
	}
	e.server.OnEnd = func(t leaseserver.TaskRun, outcome string) {
		e.rec.log("run    %s %s#%d at %s", outcome, t.Name, t.Number, e.id)
		if e.onEnd != nil {
			e.onEnd(e, t.Name, outcome)
		}
		close(e.changed)
		e.changed = make(chan struct{})
	}
	e.rec.log("server %s starts kind=%s born=%d", e.id, e.kind, e.born.UnixMilli())
}

func (e *executor) listen() {
	for {
		l, err := net.Listen("tcp", e.addr)
		if err == nil {
			s := &http.Server{Handler: e.handler()}
			e.mu.Lock()
			e.http = s
			e.mu.Unlock()
			go s.Serve(l)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (e *executor) run() {
	ticker := time.NewTicker(clockTick)
	defer ticker.Stop()
	var reported time.Time
	for {
		select {
		case <-e.closed:
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		if e.up {
			e.advance()
			if e.seq == 0 || time.Since(reported) >= reportInterval {
				reported = time.Now()
				e.seq++
				go e.report(e.id, e.seq, e.born.UnixMilli(), e.kind)
			}
		}
		e.mu.Unlock()
	}
}

// advance advances the clock. The caller holds e.mu.
func (e *executor) advance() { e.server.Advance(e.base + time.Since(e.born)) }

func (e *executor) report(id string, seq, born int64, kind string) {
	body, err := json.Marshal(map[string]any{
		"service": "booking", "address": e.addr, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "coldMs": 0, "seq": seq, "born": born,
		"capacity": map[string]int{"cpu": e.cpu, wire.Memory: 131072, "gpu": 0}, "labels": []string{kind, e.rack},
	})
	if err != nil {
		return
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+e.agentAddr+wire.ReportPath+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		e.rec.log("report %s seq=%d failed", id, seq)
		return
	}
	resp.Body.Close()
	e.rec.log("report %s seq=%d kind=%s status=%d", id, seq, kind, resp.StatusCode)
}

// crashLocked ends the boot with all its tasks. The caller holds e.mu.
func (e *executor) crashLocked() {
	e.advance()
	e.up = false
	for _, r := range e.server.Running() {
		e.rec.log("run    crashed %s#%d at %s", r.Name, r.Number, e.id)
		if e.onEnd != nil {
			e.onEnd(e, r.Name, "crashed")
		}
	}
	e.server.OnEnd, e.server.OnStart = func(leaseserver.TaskRun, string) {}, func(leaseserver.TaskRun) {}
}

// crashDark ends the boot. Its address stays silent for the given time: connections are
// accepted by the kernel, and nothing is answered. Then a boot of another kind follows.
func (e *executor) crashDark(d time.Duration, kind string) {
	e.mu.Lock()
	e.rec.log("fault  %s crashes and is silent for %v", e.id, d)
	e.crashLocked()
	e.mu.Unlock()
	time.Sleep(d)
	e.mu.Lock()
	close(e.gone) // resets the connections of the boot that has crashed
	e.boot(kind, "")
	e.mu.Unlock()
}

// crashRefusing ends the boot. Its address refuses connections for the given time. Then a
// boot with the same id and kind follows.
func (e *executor) crashRefusing(d time.Duration) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.rec.log("fault  %s crashes for %v", e.id, d)
	e.crashLocked()
	s, id, kind := e.http, e.id, e.kind
	close(e.gone)
	e.mu.Unlock()
	s.Close()
	time.Sleep(d)
	e.mu.Lock()
	e.boot(kind, id)
	e.mu.Unlock()
	e.listen()
}

// crashAtNextStart arms a crash for the given time.
func (e *executor) crashAtNextStart(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashAtStart = d
}

func (e *executor) close() {
	close(e.closed)
	e.mu.Lock()
	s := e.http
	e.mu.Unlock()
	s.Close()
}

type fields map[string]any

func (f fields) number(name string) int64 {
	v, _ := f[name].(float64)
	return int64(v)
}

func (f fields) text(name string) string {
	v, _ := f[name].(string)
	return v
}

func (e *executor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.StartPath, e.start)
	mux.HandleFunc("POST "+wire.StopPath, e.stop)
	mux.HandleFunc("POST "+wire.RenewPath, e.renew)
	return mux
}

// begin decodes a call to the boot that is up, and locks e.mu if it reports true. A call to
// a boot that has crashed gets no answer, and its connection is closed when the next boot
// is up.
func (e *executor) begin(w http.ResponseWriter, r *http.Request) (fields, bool) {
	var f fields
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	e.mu.Lock()
	if !e.up {
		gone := e.gone
		e.mu.Unlock()
		select {
		case <-gone:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	if to := r.Header.Get(wire.ServerHeader); to != "" && to != e.id {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil, false
	}
	e.advance()
	return f, true
}

func (e *executor) reply(w http.ResponseWriter, code int, f fields) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(f)
}

// stamp adds what every reply holds. The caller holds e.mu.
func (e *executor) stamp(f fields) fields {
	f[wire.Clock], f["born"] = e.server.Clock().Milliseconds(), e.born.UnixMilli()
	return f
}

func (e *executor) start(w http.ResponseWriter, r *http.Request) {
	f, ok := e.begin(w, r)
	if !ok {
		return
	}
	ms, _ := strconv.Atoi(f.text("spec"))
	until := time.Duration(f.number(wire.LeaseEnd)) * time.Millisecond
	reason := e.server.Start(leaseserver.TaskRun{Name: f.text("task"), Number: int(f.number("run"))},
		leaseserver.Behavior{Duration: time.Duration(ms) * time.Millisecond}, until, f.number(wire.Token))
	if d := e.crashAtStart; d > 0 && reason == "" {
		e.crashAtStart = 0
		e.mu.Unlock()
		go e.crashRefusing(d)
		<-r.Context().Done()
		return
	}
	code, out := http.StatusOK, e.stamp(fields{})
	if reason != "" {
		code = http.StatusConflict
		out["reason"] = reason
	}
	e.mu.Unlock()
	e.reply(w, code, out)
}

func (e *executor) stop(w http.ResponseWriter, r *http.Request) {
	f, ok := e.begin(w, r)
	if !ok {
		return
	}
	code, out := http.StatusOK, fields{}
	if !e.server.Stop(leaseserver.TaskRun{Name: f.text("task"), Number: int(f.number("run"))}, f.number(wire.Token)) {
		code, out["reason"] = http.StatusConflict, leaseserver.ReasonFenced
	}
	e.stamp(out)
	e.mu.Unlock()
	e.reply(w, code, out)
}

func (e *executor) renew(w http.ResponseWriter, r *http.Request) {
	f, ok := e.begin(w, r)
	if !ok {
		return
	}
	server := e.server
	until := time.Duration(f.number(wire.LeaseEnd)) * time.Millisecond
	timer := time.NewTimer(time.Duration(f.number(wire.Wait)) * time.Millisecond)
	defer timer.Stop()
	waited := f.number(wire.Wait) == 0
	for {
		ended, ok := server.RenewLease(until, f.number(wire.Token), f.number(wire.Processed))
		if !ok {
			out := e.stamp(fields{"reason": leaseserver.ReasonFenced})
			e.mu.Unlock()
			e.reply(w, http.StatusConflict, out)
			return
		}
		if len(ended) > 0 || waited {
			out := e.lists(ended)
			e.mu.Unlock()
			e.reply(w, http.StatusOK, out)
			return
		}
		changed, gone := e.changed, e.gone
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return
		case <-gone:
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		if !e.up || e.server != server {
			gone := e.gone
			same := e.server == server
			e.mu.Unlock()
			if same {
				<-gone
			}
			panic(http.ErrAbortHandler)
		}
		e.advance()
	}
}

// lists returns the running and the ended tasks. The caller holds e.mu.
func (e *executor) lists(ended []leaseserver.EndedTask) fields {
	running, finished := [][]any{}, [][]any{}
	for _, r := range e.server.Running() {
		running = append(running, []any{r.Name, r.Number, "", r.Percent(e.server.Clock()), 0})
	}
	for _, t := range ended {
		finished = append(finished, []any{t.Index, t.Name, t.Number, t.Outcome, ""})
	}
	return e.stamp(fields{"running": running, "finished": finished})
}
