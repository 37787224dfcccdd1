// Package evacuations_test plays entries and agents whose paths to the operators' topic, and
// to each other, are cut and healed at any moment. The time is virtual and there is no
// network; the decisions and the readers of the topic are those of the product.
package evacuations_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/evacuation"
	"github.com/chestnuthollow/chestnuthollow/evacuationlog"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

const (
	zone           = "zone-a"
	keyPrefix      = "evacuate/"
	tick           = 50 * time.Millisecond // resolution of the model
	serverRun      = 7000
	renewalLatency = 5 * time.Millisecond
)

// topic is the operators' topic.
type topic struct {
	mu      sync.Mutex
	records []keyedlog.Record
	changed chan struct{} // closed and replaced when a record is written
}

func (t *topic) put(key string, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, keyedlog.Record{Key: key, Value: value, Offset: int64(len(t.records))})
	close(t.changed)
	t.changed = make(chan struct{})
}

// from returns the records from an offset on, and a channel that is closed when there are more.
func (t *topic) from(offset int64) ([]keyedlog.Record, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[offset:], t.changed
}

// path is what a process can reach of the topic, or of another process. It implements
// keyedlog.Store. A call whose reply is due during a cut gets none.
type path struct {
	topic *topic

	mu    sync.Mutex
	cut   bool
	since time.Time // of the last change
	calls int
}

func newPath(t *topic) *path { return &path{topic: t, since: time.Now()} }

func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != cut {
		p.cut, p.since = cut, time.Now()
	}
}

func (p *path) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// wholeFor reports whether the path has been whole for the time.
func (p *path) wholeFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cut && time.Since(p.since) >= d
}

func (p *path) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *path) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
}

// Newest implements keyedlog.Store. The records come with those that have been replaced.
func (p *path) Newest(ctx context.Context, _ string, idle time.Duration) (keyedlog.Batch, error) {
	return p.Read(ctx, "", 0, 0, idle)
}

// Read implements keyedlog.Store.
func (p *path) Read(ctx context.Context, _ string, from int64, wait, idle time.Duration) (keyedlog.Batch, error) {
	p.count()
	ctx, cancel := context.WithTimeout(ctx, wait+idle)
	defer cancel()
	records, changed := p.topic.from(from)
	if len(records) == 0 && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		records, _ = p.topic.from(from)
	}
	if p.isCut() {
		<-ctx.Done()
		return keyedlog.Batch{}, ctx.Err()
	}
	return keyedlog.Batch{Records: records, Next: from + int64(len(records))}, ctx.Err()
}

// Append implements keyedlog.Store.
func (p *path) Append(context.Context, string, keyedlog.Record) error {
	return errors.New("readonly")
}

// entry reads the topic and keeps the state of the evacuations.
type entry struct {
	name  string
	id    structs.Incarnation
	store *path

	mu    sync.Mutex
	state evacuation.State
}

// HandleBatch implements keyedlog.Handler.
func (e *entry) HandleBatch(b keyedlog.Batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Apply(time.Now(), evacuationlog.Decode(keyPrefix, b))
}

// StoreUnavailable implements keyedlog.Handler.
func (*entry) StoreUnavailable(error) {}

// StoreAvailable implements keyedlog.Handler.
func (*entry) StoreAvailable() {}

func (e *entry) update(ev session.Evacuation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Update(time.Now(), ev)
}

func (e *entry) view() (session.Evacuation, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Current(), e.state.Unheard(time.Now())
}

// link is the connection of an entry to an agent.
type link struct {
	*path
	entry   *entry
	session uint64 // zero if none is open
	pending bool   // a call has no reply yet
	echo    session.ClockReading
	sent    int64 // version of the evacuations sent last
}

// agent steps a runner and carries out its effects.
type agent struct {
	ctx     context.Context
	store   *path
	links   []*link
	started time.Time

	mu       sync.Mutex
	runner   *taskrunner.Runner
	lastCall uint64
	unwatch  context.CancelFunc
	watches  int
}

func newAgent(ctx context.Context, t *topic, entries []*entry) *agent {
	a := &agent{ctx: ctx, store: newPath(t), started: time.Now(), runner: taskrunner.New(taskrunner.Options{
		Agent: "agent", Incarnation: 1, Zone: zone, Service: "booking", Token: 100,
		Lease: taskrunner.DefaultLease, SessionTTL: taskrunner.DefaultSessionTTL, RenewalWait: taskrunner.DefaultRenewalWait,
		PollWait: taskrunner.DefaultPollWait, StopTimeout: 50 * time.Millisecond,
	})}
	for _, e := range entries {
		a.links = append(a.links, &link{path: newPath(t), entry: e})
	}
	return a
}

// step applies an event. The caller holds a.mu.
func (a *agent) step(ev taskrunner.Event) {
	for _, ef := range a.runner.Step(time.Now(), ev) {
		switch ef := ef.(type) {
		case taskrunner.RenewLease:
			go a.answerRenewal(ef.ID)
		case taskrunner.ReplyHello:
			a.replied(uint64(ef.Call), ef.Reply.State.Stamp, ef.Reply.Evacuation)
		case taskrunner.ReplyPoll:
			a.replied(uint64(ef.Call), ef.Reply.State.Stamp, ef.Reply.Evacuation)
		case taskrunner.CloseSession:
			for _, l := range a.links {
				if l.session == ef.Session {
					l.session, l.pending = 0, false
				}
			}
		case taskrunner.WatchTopic:
			var ctx context.Context
			ctx, a.unwatch = context.WithCancel(a.ctx)
			a.watches++
			go keyedlog.FollowSparingly(ctx, a.store, "", ef.From, a)
		case taskrunner.UnwatchTopic:
			a.unwatch()
		}
	}
}

// locked steps the runner from another goroutine.
func (a *agent) locked(ev taskrunner.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() == nil {
		a.step(ev)
	}
}

func (a *agent) answerRenewal(id uint64) {
	time.Sleep(renewalLatency)
	a.locked(taskrunner.RenewReplied{ID: id, OK: true, ServerIncarnation: serverRun, Clock: time.Since(a.started) + time.Hour})
}

// HandleBatch implements keyedlog.Handler.
func (a *agent) HandleBatch(b keyedlog.Batch) {
	a.locked(taskrunner.TopicRead{Batch: evacuationlog.Decode(keyPrefix, b)})
}

// StoreUnavailable implements keyedlog.Handler.
func (*agent) StoreUnavailable(error) {}

// StoreAvailable implements keyedlog.Handler.
func (*agent) StoreAvailable() {}

// replied delivers a reply to the entry. The ID of a call contains the index of its link.
func (a *agent) replied(call uint64, reading session.ClockReading, ev session.Evacuation) {
	l := a.links[call%uint64(len(a.links))]
	l.pending = false
	if l.isCut() {
		return
	}
	l.echo = reading
	l.entry.update(ev)
}

// tick makes the calls of the entries that are due.
func (a *agent) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.step(taskrunner.Ticked{})
	for i, l := range a.links {
		if l.isCut() || l.pending {
			continue
		}
		view, unheard := l.entry.view()
		a.lastCall++
		call := taskrunner.CallID(a.lastCall*uint64(len(a.links)) + uint64(i))
		l.pending = true
		if l.session == 0 {
			l.session, l.sent = uint64(call), view.Version
			a.step(taskrunner.HelloCalled{Call: call, Session: l.session, Request: session.HelloRequest{
				Entry: l.entry.name, Incarnation: l.entry.id, Evacuation: view, TopicUnheard: unheard,
			}})
			continue
		}
		if view.Version <= l.sent {
			view = session.Evacuation{}
		} else {
			l.sent = view.Version
		}
		a.step(taskrunner.PollCalled{Call: call, Session: l.session, Request: session.PollRequest{Echo: l.echo, Evacuation: view, TopicUnheard: unheard}})
	}
}

// mayStart reports whether the agent starts what an entry orders.
func (a *agent) mayStart() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runner.Active() && a.runner.OpenSessions() > 0
}

// zoneEvacuated reports whether the agent takes its zone for evacuated.
func (a *agent) zoneEvacuated() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runner.Dump(time.Now()).Evacuated
}

func (a *agent) watchCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watches
}

// inTouch reports whether the agent, or an entry that reaches it, has had a path to the topic
// for the time.
func (a *agent) inTouch(d time.Duration) bool {
	if a.store.wholeFor(d) {
		return true
	}
	for _, l := range a.links {
		if l.wholeFor(d) && l.entry.store.wholeFor(d) {
			return true
		}
	}
	return false
}

// model is a system of entries and agents in one availability zone.
type model struct {
	topic   *topic
	entries []*entry
	agents  []*agent
}

func newModel(ctx context.Context, entries, agents int) *model {
	m := &model{topic: &topic{changed: make(chan struct{})}}
	m.topic.put("config", []byte("{}"))
	for i := range entries {
		e := &entry{name: fmt.Sprintf("entry-%d", i), id: structs.Incarnation(i + 1), store: newPath(m.topic), state: evacuation.New(time.Now())}
		m.entries = append(m.entries, e)
		go keyedlog.Follow(ctx, e.store, "", 0, e)
	}
	for range agents {
		a := newAgent(ctx, m.topic, m.entries)
		m.agents = append(m.agents, a)
		a.locked(taskrunner.Ticked{})
		a.locked(taskrunner.ServerReported{Info: taskrunner.ServerInfo{ID: "server", Incarnation: serverRun, Seq: 1, Service: "booking", CPU: 20_000, MemMB: 1000}})
	}
	return m
}

// play ticks all agents for the time and calls check after each tick.
func (m *model) play(d time.Duration, check func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		for _, a := range m.agents {
			a.tick()
		}
		check()
	}
}

func (m *model) evacuate(evacuated bool) {
	var value []byte
	if evacuated {
		value = []byte("{}")
	}
	m.topic.put(keyPrefix+zone, value)
}
