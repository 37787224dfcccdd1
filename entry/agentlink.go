package entry

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Timeouts of connections and calls to agents and peers.
const (
	dialTimeout    = time.Second
	controlTimeout = time.Second // all calls except Agent.Run, Agent.Await and Entry.Forward
)

// linkQueueSize is the maximum number of messages queued for one agent.
const linkQueueSize = 4096

// agentLink sends this entry's messages to one incarnation of an agent. It uses
// one connection, which is opened for the first message and reopened after a
// failure.
type agentLink struct {
	info     structs.AgentInfo
	post     func(coordinator.Event)
	count    func(method string)
	queue    chan *agentCall
	quit     chan struct{}
	stopOnce sync.Once
	conn     lazyClient
}

// agentCall is one message and its callbacks. One of the callbacks is called,
// unless the link is closed while the message is queued.
type agentCall struct {
	method  string
	args    any
	reply   any
	timeout time.Duration // zero means no timeout

	notSent func() // the message did not leave this process
	failed  func() // no reply arrived, or the agent returned an error
	replied func()
}

func newAgentLink(info structs.AgentInfo, post func(coordinator.Event), count func(string)) *agentLink {
	l := &agentLink{
		info:  info,
		post:  post,
		count: count,
		queue: make(chan *agentCall, linkQueueSize),
		quit:  make(chan struct{}),
		conn:  lazyClient{addr: info.RPCAddr},
	}
	go l.run()
	return l
}

// enqueue adds a message to the queue and never blocks.
func (l *agentLink) enqueue(c *agentCall) {
	select {
	case l.queue <- c:
	default:
		c.notSent()
	}
}

// run sends the queued messages in order, without waiting for replies.
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

func (l *agentLink) write(c *agentCall) {
	client, err := l.conn.get()
	if err != nil {
		c.notSent()
		return
	}
	l.count(c.method)
	var timer *time.Timer
	if c.timeout > 0 {
		// If a control message gets no reply in time, the connection is
		// lost or the agent is frozen. In both cases a new connection is
		// needed.
		timer = time.AfterFunc(c.timeout, func() { l.conn.drop(client) })
	}
	call := client.Go(l.service(c.method), c.args, c.reply, make(chan *rpc.Call, 1))
	go l.awaitReply(client, call, c, timer)
}

func (l *agentLink) service(method string) string { return structs.AgentService + "." + method }

func (l *agentLink) awaitReply(client *rpc.Client, call *rpc.Call, c *agentCall, timer *time.Timer) {
	<-call.Done
	if timer != nil {
		timer.Stop()
	}
	if call.Error == nil {
		c.replied()
		return
	}
	if _, isServerError := call.Error.(rpc.ServerError); !isServerError {
		l.conn.drop(client)
	}
	c.failed()
}

// close closes the link permanently.
func (l *agentLink) close() {
	l.conn.close()
	l.stopOnce.Do(func() { close(l.quit) })
}

func (l *agentLink) sendRun(req *structs.RunRequest) {
	ref := structs.TaskRef{Task: req.Task, Attempt: req.Attempt}
	c := l.outcomeCall("Run", req, ref)
	c.notSent = func() { l.post(coordinator.RunNotSent{Agent: l.info.Incarnation, Ref: ref}) }
	l.enqueue(c)
}

func (l *agentLink) sendAwait(ref structs.TaskRef) {
	req := &structs.AwaitRequest{Agent: l.info.Incarnation, Task: ref.Task, Attempt: ref.Attempt}
	l.enqueue(l.outcomeCall("Await", req, ref))
}

// outcomeCall returns a call whose reply is the outcome of a task.
func (l *agentLink) outcomeCall(method string, args any, ref structs.TaskRef) *agentCall {
	agent := l.info.Incarnation
	reply := new(structs.RunReply)
	failed := func() { l.post(coordinator.RunInDoubt{Agent: agent, Ref: ref}) }
	return &agentCall{
		method:  method,
		args:    args,
		reply:   reply,
		notSent: failed,
		failed:  failed,
		replied: func() { l.post(coordinator.RunReplied{Agent: agent, Ref: ref, Reply: *reply}) },
	}
}

func (l *agentLink) sendSettle(req *structs.SettleRequest) {
	agent := l.info.Incarnation
	reply := new(structs.SettleReply)
	failed := func() { l.post(coordinator.SettleFailed{Agent: agent, Tasks: req.Tasks}) }
	l.enqueue(&agentCall{
		method:  "Settle",
		args:    req,
		reply:   reply,
		timeout: controlTimeout,
		notSent: failed,
		failed:  failed,
		replied: func() {
			l.post(coordinator.SettleReplied{Agent: agent, Tasks: req.Tasks, Reply: *reply})
		},
	})
}

// sendQuery sends Agent.Fence for another home's job.
func (l *agentLink) sendQuery(q coordinator.Query) {
	reply := new(structs.SettleReply)
	failed := func() { l.post(coordinator.QueryFailed{Call: q.Call, Agent: q.Agent}) }
	l.enqueue(&agentCall{
		method:  "Fence",
		args:    &q.Request,
		reply:   reply,
		timeout: controlTimeout,
		notSent: failed,
		failed:  failed,
		replied: func() {
			l.post(coordinator.QueryReplied{Call: q.Call, Agent: q.Agent, Reply: *reply})
		},
	})
}

// sendQueryAwait sends Agent.Await for another home's task.
func (l *agentLink) sendQueryAwait(q coordinator.QueryAwait) {
	reply := new(structs.RunReply)
	failed := func() { l.post(coordinator.QueryFailed(q)) }
	l.enqueue(&agentCall{
		method:  "Await",
		args:    &structs.AwaitRequest{Agent: q.Agent, Task: q.Ref.Task, Attempt: q.Ref.Attempt},
		reply:   reply,
		notSent: failed,
		failed:  failed,
		replied: func() {
			l.post(coordinator.QueryAwaitReplied{Call: q.Call, Agent: q.Agent, Ref: q.Ref, Reply: *reply})
		},
	})
}

func (l *agentLink) sendHeartbeat(req *structs.HeartbeatRequest) {
	agent := l.info.Incarnation
	reply := new(structs.HeartbeatReply)
	failed := func() { l.post(coordinator.HeartbeatFailed{Agent: agent}) }
	l.enqueue(&agentCall{
		method:  "Heartbeat",
		args:    req,
		reply:   reply,
		timeout: controlTimeout,
		notSent: failed,
		failed:  failed,
		replied: func() { l.post(coordinator.AgentStateReceived{Agent: agent, State: reply.State}) },
	})
}

// sendDocument sends Agent.PutDocument or Agent.GetDocument. It calls onRecord
// with the record that the agent holds.
func (l *agentLink) sendDocument(method string, args any, onRecord func(structs.DocumentRecord)) {
	agent := l.info.Incarnation
	reply := new(structs.DocumentReply)
	l.enqueue(&agentCall{
		method:  method,
		args:    args,
		reply:   reply,
		timeout: controlTimeout,
		notSent: func() {},
		failed:  func() {},
		replied: func() {
			onRecord(reply.Record)
			l.post(coordinator.AgentStateReceived{Agent: agent, State: reply.State})
		},
	})
}
