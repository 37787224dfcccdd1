package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// dialTimeout bounds connecting to an agent in any zone of the region.
	dialTimeout = 500 * time.Millisecond
	// helloTimeout bounds opening a session: the agent may first have to end
	// what an earlier one left, which its lease bounds to a second.
	helloTimeout = 1500 * time.Millisecond
	// pollTimeout is when a session without an answer is given up: the longest
	// that an agent holds a poll back, and one lost packet either way.
	pollTimeout = 550 * time.Millisecond
	// linkBackoffMax bounds the pause between attempts to reach an agent.
	linkBackoffMax = time.Second
	// orderQueue bounds the orders that wait to be written to one agent.
	orderQueue = 1024
)

var errNoAnswer = errors.New("no answer in time")

// link keeps a session with the agent at an address.
type link struct {
	gateway *Gateway
	addr    string
	kick    chan struct{} // the agent was heard of: dial at once
	up      atomic.Bool
}

// agentSession is one open session.
type agentSession struct {
	link    *link
	id      dispatch.AgentID
	client  *rpc.Client
	echo    atomic.Pointer[session.ClockReading]
	orders  chan dispatch.Order
	replies chan *rpc.Call
	quit    chan struct{}
}

// ensureLinks makes a link to each agent of the roster that has none.
func (g *Gateway) ensureLinks() {
	g.linksMu.Lock()
	defer g.linksMu.Unlock()
	for _, p := range g.roster.List(session.RoleAgent) {
		if g.links[p.Addr] == nil {
			l := &link{gateway: g, addr: p.Addr, kick: make(chan struct{}, 1)}
			g.links[p.Addr] = l
			go l.run(g.background)
		}
	}
}

// kickLink has the link to an agent dial at once if it is down.
func (g *Gateway) kickLink(addr string) {
	g.linksMu.Lock()
	l := g.links[addr]
	g.linksMu.Unlock()
	if l == nil || l.up.Load() {
		return
	}
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// run opens one session after the other until the agent is forgotten.
func (l *link) run(ctx context.Context) {
	backoff := platformlog.Backoff{Base: 50 * time.Millisecond, Max: linkBackoffMax}
	for ctx.Err() == nil {
		opened, err := l.hold(ctx)
		if opened {
			backoff.Reset()
		} else if l.gateway.roster.MarkUnreachable(time.Now(), l.addr) {
			level.Info(l.gateway.logger).Log("event", "agent_forgotten", "addr", l.addr, "reason", err)
			l.gateway.linksMu.Lock()
			delete(l.gateway.links, l.addr)
			l.gateway.linksMu.Unlock()
			return
		}
		timer := time.NewTimer(backoff.Next())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.kick:
		}
		timer.Stop()
	}
}

// hold opens a session and holds it until it breaks. It reports whether it was
// opened.
func (l *link) hold(ctx context.Context) (bool, error) {
	g := l.gateway
	client, err := rpcconn.Dial(l.addr, dialTimeout)
	if err != nil {
		return false, err
	}
	defer client.Close()
	req := session.HelloRequest{Entry: g.opts.Name, Incarnation: g.self.Incarnation, Config: g.config.raw()}
	var hello session.HelloReply
	if err := callWithin(client, "Hello", &req, &hello, helloTimeout); err != nil {
		return false, err
	}
	heard := time.Now()
	g.roster.MarkReachable(heard, l.addr)
	g.takeConfig(hello.Config, "agent "+hello.Agent)
	s := &agentSession{
		link: l, client: client,
		orders: make(chan dispatch.Order, orderQueue), replies: make(chan *rpc.Call, orderQueue), quit: make(chan struct{}),
	}
	s.echo.Store(&hello.State.Stamp)
	g.open(s, &hello)
	l.up.Store(true)
	go s.write()
	go s.readReplies()
	heard, err = s.poll(ctx, heard)
	l.up.Store(false)
	close(s.quit)
	g.mu.Lock()
	delete(g.sessions, s.id)
	g.mu.Unlock()
	g.step(dispatch.AgentDown{ID: s.id, LastHeard: heard, Reason: err.Error()})
	return true, err
}

func (g *Gateway) open(s *agentSession, hello *session.HelloReply) {
	g.mu.Lock()
	g.nextAgent++
	s.id = g.nextAgent
	g.sessions[s.id] = s
	g.mu.Unlock()
	g.step(dispatch.AgentUp{ID: s.id, Agent: hello.Agent, Zone: hello.Zone, State: hello.State})
}

func callWithin(client *rpc.Client, method string, req, reply any, timeout time.Duration) error {
	call := client.Go(structs.AgentService+"."+method, req, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return call.Error
	case <-timer.C:
		return fmt.Errorf("%s: %w", method, errNoAnswer)
	}
}

// poll polls until the session breaks, and returns when the agent was heard
// last.
func (s *agentSession) poll(ctx context.Context, heard time.Time) (time.Time, error) {
	var seen uint64
	for {
		if ctx.Err() != nil {
			return heard, ctx.Err()
		}
		req := session.PollRequest{Echo: *s.echo.Load(), Seen: seen}
		var reply session.PollReply
		if err := callWithin(s.client, "Poll", &req, &reply, pollTimeout); err != nil {
			return heard, err
		}
		heard = time.Now()
		s.echo.Store(&reply.State.Stamp)
		if n := len(reply.Reports); n > 0 {
			seen = reply.Reports[n-1].Seq
		}
		s.link.gateway.step(dispatch.Polled{ID: s.id, Reply: reply})
	}
}

// send queues an order; it never blocks. An order that finds the queue full
// breaks the session, which ends its tasks.
func (s *agentSession) send(o dispatch.Order) {
	select {
	case s.orders <- o:
	default:
		s.client.Close()
	}
}

// write sends the queued orders one after the other.
func (s *agentSession) write() {
	for {
		select {
		case <-s.quit:
			return
		case o := <-s.orders:
			req := &session.OrderRequest{Echo: *s.echo.Load(), Start: o.Start, Stop: o.Stop}
			s.client.Go(structs.AgentService+".Order", req, &orderReply{number: o.Number}, s.replies)
		}
	}
}

// orderReply is the reply to an order with the order's number, which is not
// sent.
type orderReply struct {
	State  session.State
	number uint64
}

func (s *agentSession) readReplies() {
	for {
		select {
		case <-s.quit:
			return
		case call := <-s.replies:
			if call.Error != nil {
				s.client.Close()
				continue
			}
			r := call.Reply.(*orderReply)
			s.link.gateway.step(dispatch.OrderReplied{ID: s.id, Number: r.number, State: r.State})
		}
	}
}
