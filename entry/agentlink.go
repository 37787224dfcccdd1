package entry

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Timeouts towards agents.
const (
	dialTimeout    = time.Second
	controlTimeout = time.Second // heartbeats, settling, documents
)

// linkQueue is how many messages may wait to be written to one agent.
const linkQueue = 4096

// agentLink carries the messages of this entry to one agent run. It keeps one
// connection, made when there is something to send and again after it breaks.
type agentLink struct {
	info  structs.AgentInfo
	post  func(coordinator.Event)
	count func(method string)
	queue chan *linkCall
	quit  chan struct{}
	stop  sync.Once
	conn  lazyClient
}

// linkCall is one message. Exactly one of notSent, broken and replied is
// called.
type linkCall struct {
	method  string
	args    any
	reply   any
	timeout time.Duration // zero: none

	notSent func()
	broken  func()
	replied func()
}

func newAgentLink(info structs.AgentInfo, post func(coordinator.Event), count func(string)) *agentLink {
	l := &agentLink{
		info:  info,
		post:  post,
		count: count,
		queue: make(chan *linkCall, linkQueue),
		quit:  make(chan struct{}),
		conn:  lazyClient{addr: info.RPCAddr},
	}
	go l.run()
	return l
}

// send queues a message; it never blocks.
func (l *agentLink) send(c *linkCall) {
	select {
	case l.queue <- c:
	default:
		c.notSent()
	}
}

// run writes queued messages, one after the other.
func (l *agentLink) run() {
	for {
		select {
		case <-l.quit:
			return
		case c := <-l.queue:
			l.write(c)
		}
	}
}

func (l *agentLink) write(c *linkCall) {
	client, err := l.conn.get()
	if err != nil {
		c.notSent()
		return
	}
	l.count(c.method)
	var timer *time.Timer
	if c.timeout > 0 {
		// A peer that leaves control messages unanswered has lost the
		// connection or is frozen: either way a new one is needed.
		timer = time.AfterFunc(c.timeout, func() { l.conn.drop(client) })
	}
	call := client.Go(l.service(c.method), c.args, c.reply, make(chan *rpc.Call, 1))
	go l.await(client, call, c, timer)
}

func (l *agentLink) service(method string) string { return structs.AgentService + "." + method }

func (l *agentLink) await(client *rpc.Client, call *rpc.Call, c *linkCall, timer *time.Timer) {
	<-call.Done
	if timer != nil {
		timer.Stop()
	}
	if call.Error == nil {
		c.replied()
		return
	}
	if _, ofServer := call.Error.(rpc.ServerError); !ofServer {
		l.conn.drop(client)
	}
	c.broken()
}

// close ends the link for good.
func (l *agentLink) close() {
	l.conn.close()
	l.stop.Do(func() { close(l.quit) })
}

// sendRun sends Agent.Run.
func (l *agentLink) sendRun(req *structs.RunRequest) {
	ref := structs.TaskRef{Task: req.Task, Attempt: req.Attempt}
	c := l.outcomeCall("Run", req, ref)
	c.notSent = func() { l.post(coordinator.RunNotSent{Agent: l.info.Incarnation, Ref: ref}) }
	l.send(c)
}

// sendAwait sends Agent.Await.
func (l *agentLink) sendAwait(ref structs.TaskRef) {
	req := &structs.AwaitRequest{Agent: l.info.Incarnation, Task: ref.Task, Attempt: ref.Attempt}
	l.send(l.outcomeCall("Await", req, ref))
}

// outcomeCall is a call whose reply is a task's outcome.
func (l *agentLink) outcomeCall(method string, args any, ref structs.TaskRef) *linkCall {
	agent := l.info.Incarnation
	reply := new(structs.RunReply)
	broken := func() { l.post(coordinator.RunInDoubt{Agent: agent, Ref: ref}) }
	return &linkCall{
		method:  method,
		args:    args,
		reply:   reply,
		notSent: broken,
		broken:  broken,
		replied: func() { l.post(coordinator.RunReplied{Agent: agent, Ref: ref, Reply: *reply}) },
	}
}

// sendSettle sends Agent.Settle.
func (l *agentLink) sendSettle(req *structs.SettleRequest) {
	agent := l.info.Incarnation
	reply := new(structs.SettleReply)
	failed := func() { l.post(coordinator.SettleFailed{Agent: agent, Tasks: req.Tasks}) }
	l.send(&linkCall{
		method:  "Settle",
		args:    req,
		reply:   reply,
		timeout: controlTimeout,
		notSent: failed,
		broken:  failed,
		replied: func() {
			l.post(coordinator.SettleReplied{Agent: agent, Tasks: req.Tasks, Reply: *reply})
		},
	})
}

// sendQuery sends Agent.Fence.
func (l *agentLink) sendQuery(q coordinator.Query) {
	reply := new(structs.SettleReply)
	failed := func() { l.post(coordinator.QueryFailed{Call: q.Call, Agent: q.Agent}) }
	l.send(&linkCall{
		method:  "Fence",
		args:    &q.Request,
		reply:   reply,
		timeout: controlTimeout,
		notSent: failed,
		broken:  failed,
		replied: func() {
			l.post(coordinator.QueryReplied{Call: q.Call, Agent: q.Agent, Reply: *reply})
		},
	})
}

// sendQueryAwait sends Agent.Await for another home's task.
func (l *agentLink) sendQueryAwait(q coordinator.QueryAwait) {
	reply := new(structs.RunReply)
	failed := func() { l.post(coordinator.QueryFailed(q)) }
	l.send(&linkCall{
		method:  "Await",
		args:    &structs.AwaitRequest{Agent: q.Agent, Task: q.Ref.Task, Attempt: q.Ref.Attempt},
		reply:   reply,
		notSent: failed,
		broken:  failed,
		replied: func() {
			l.post(coordinator.QueryAwaited{Call: q.Call, Agent: q.Agent, Ref: q.Ref, Reply: *reply})
		},
	})
}

// sendHeartbeat sends Agent.Heartbeat.
func (l *agentLink) sendHeartbeat(req *structs.HeartbeatRequest) {
	agent := l.info.Incarnation
	reply := new(structs.HeartbeatReply)
	failed := func() { l.post(coordinator.HeartbeatFailed{Agent: agent}) }
	l.send(&linkCall{
		method:  "Heartbeat",
		args:    req,
		reply:   reply,
		timeout: controlTimeout,
		notSent: failed,
		broken:  failed,
		replied: func() { l.post(coordinator.AgentStateReceived{Agent: agent, State: reply.State}) },
	})
}

// sendDocument sends Agent.PutDocument or Agent.GetDocument; got is called with
// the record the agent holds.
func (l *agentLink) sendDocument(method string, args any, got func(structs.DocumentRecord)) {
	agent := l.info.Incarnation
	reply := new(structs.DocumentReply)
	l.send(&linkCall{
		method:  method,
		args:    args,
		reply:   reply,
		timeout: controlTimeout,
		notSent: func() {},
		broken:  func() {},
		replied: func() {
			got(reply.Record)
			l.post(coordinator.AgentStateReceived{Agent: agent, State: reply.State})
		},
	})
}
