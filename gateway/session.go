package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
	"github.com/chestnuthollow/chestnuthollow/internal/ctxsleep"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// dialTimeout bounds connecting to an agent in any availability zone of the
	// region, some ms. It is short because an instance without power does not
	// refuse the connection, and the kernel repeats a lost packet only after a
	// second.
	dialTimeout = 200 * time.Millisecond
	// helloTimeout bounds opening a session. The agent may first have to wait for
	// the end of tasks of an earlier session, which takes up to the duration of a
	// lease, at most a second.
	helloTimeout = 1500 * time.Millisecond
	// pollTimeout is how long to wait for the reply to a poll before the session is
	// closed. It covers the longest time that an agent delays the reply, and the
	// loss of one packet in either direction.
	pollTimeout = 550 * time.Millisecond
	// connectRetryMax bounds the delay between attempts to open a session. An agent
	// that has restarted is in session again after about this time.
	connectRetryMax = 300 * time.Millisecond
	// reopenBurst and reopenPerSecond bound how often sessions that were lost are opened
	// again, all agents together. An entry short of processor time loses more sessions by
	// opening many. The burst covers the loss of all sessions of a subset at once.
	reopenBurst     = 64
	reopenPerSecond = 8
	// roundTripWeight is the divisor by which a longer round trip raises the least one. At five
	// polls a second it is followed within half a minute.
	roundTripWeight = 64
	// orderQueueSize bounds the orders queued for one agent, and the replies not
	// yet processed.
	orderQueueSize = 1024
)

var errNoReply = errors.New("timed out waiting for the reply")

// agentConnector maintains a session with the agent at an address.
type agentConnector struct {
	gateway   *Gateway
	addr      string
	redial    chan struct{} // signals that the agent has announced itself: dial without delay
	cancel    context.CancelFunc
	abortDial atomic.Pointer[context.CancelFunc] // of the dial in progress; nil if there is none
	sessionID atomic.Uint64                      // of the open session; zero if there is none

	// unusableSince is since when the agent could not be reached or was not ready,
	// in Unix nanoseconds; zero while it is usable or has not been tried.
	unusableSince atomic.Int64
}

// setUsable records whether the agent is in session and ready.
func (c *agentConnector) setUsable(now time.Time, usable bool) {
	if usable {
		c.unusableSince.Store(0)
	} else {
		c.unusableSince.CompareAndSwap(0, now.UnixNano())
	}
}

// unusableFor reports whether the agent has been unusable for the given time.
func (c *agentConnector) unusableFor(now time.Time, d time.Duration) bool {
	since := c.unusableSince.Load()
	return since != 0 && now.UnixNano()-since >= int64(d)
}

// agentSession is an open session with an agent.
type agentSession struct {
	connector    *agentConnector
	agent        string // name
	id           dispatch.SessionID
	client       *rpc.Client
	clockReading atomic.Pointer[session.ClockReading] // of the reply to Hello or to the last poll; echoed in each request
	readingsMu   sync.Mutex
	readings     []receivedReading // earlier ones and the newest, oldest first
	// evacuationSent is the version of the evacuations that the agent was sent last.
	evacuationSent atomic.Int64
	orders         chan *queuedOrder
	replies        chan *rpc.Call
	closed         chan struct{}
	roundTrip      time.Duration // least one of the session's polls; zero before the first
}

// redialAgent makes the connector of the address dial without delay if it has no
// open session. A dial in progress is aborted: its packets may have been sent while
// the instance had no power.
func (g *Gateway) redialAgent(addr string) {
	g.connectorsMu.Lock()
	c := g.connectors[addr]
	g.connectorsMu.Unlock()
	if c == nil || c.sessionID.Load() != 0 {
		return
	}
	select {
	case c.redial <- struct{}{}:
	default:
	}
	if abort := c.abortDial.Load(); abort != nil {
		(*abort)()
	}
}

// dial connects to the agent.
func (c *agentConnector) dial(ctx context.Context) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c.abortDial.Store(&cancel)
	defer c.abortDial.Store(nil)
	return rpcconn.DialContext(ctx, c.addr)
}

// run opens one session after another until ctx ends, because the process stops or
// the agent has left the subset, or the agent has been removed from the membership.
func (c *agentConnector) run(ctx context.Context) {
	backoff := platformlog.Backoff{Base: 50 * time.Millisecond, Max: connectRetryMax}
	for ctx.Err() == nil {
		opened, err := c.runSession(ctx)
		if opened && ctx.Err() == nil {
			c.awaitReopening(ctx)
		}
		c.setUsable(time.Now(), false)
		if opened {
			backoff.Reset()
		} else if c.gateway.members.MarkUnreachable(time.Now(), c.addr) {
			level.Info(c.gateway.logger).Log("event", "agent_forgotten", "addr", c.addr, "reason", err)
			c.gateway.removeConnector(c)
			return
		}
		timer := time.NewTimer(backoff.Next())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-c.redial:
		}
		timer.Stop()
	}
	c.gateway.removeConnector(c)
}

// awaitReopening waits until a session that was lost may be opened again. The agent does not
// count as unusable meanwhile, as the sessions that would take its place are work too.
func (c *agentConnector) awaitReopening(ctx context.Context) {
	delay := c.gateway.reserveReopening(time.Now())
	if delay <= 0 {
		return
	}
	c.gateway.metrics.reopeningsDelayed.Inc(1)
	level.Info(c.gateway.logger).Log("event", "reopening_delayed", "addr", c.addr, "delay_ms", delay.Milliseconds())
	ctxsleep.For(ctx, delay)
}

// reserveReopening returns how long to wait before a lost session is opened again. First
// sessions with an agent and attempts that fail are not counted, so that a start of the process
// and the return of an availability zone connect all agents at once.
func (g *Gateway) reserveReopening(now time.Time) time.Duration {
	return g.reopenings.ReserveN(now, 1).DelayFrom(now)
}

// removeConnector removes a connector that has ended.
func (g *Gateway) removeConnector(c *agentConnector) {
	c.cancel()
	g.connectorsMu.Lock()
	defer g.connectorsMu.Unlock()
	if g.connectors[c.addr] == c {
		delete(g.connectors, c.addr)
	}
}

// runSession opens a session and polls until it fails. It reports whether the
// session was opened.
func (c *agentConnector) runSession(ctx context.Context) (bool, error) {
	g := c.gateway
	client, err := c.dial(ctx)
	if err != nil {
		return false, err
	}
	defer client.Close()
	req := session.HelloRequest{Entry: g.opts.Name, Incarnation: g.self.Incarnation, ConfigVersion: g.config.raw().Version, OmitConfig: true, Evacuation: g.evacuation(), TopicUnheard: g.topicUnheard()}
	var hello session.HelloReply
	sentAt := boottime.Now()
	if err := callWithTimeout(client, structs.AgentService+".Hello", &req, &hello, helloTimeout); err != nil {
		return false, err
	}
	lastHeard := boottime.Now()
	g.members.MarkReachable(time.Now(), c.addr)
	g.updateEvacuation(hello.Evacuation, "agent "+hello.Agent)
	g.updateConfig(hello.Config, "agent "+hello.Agent)
	if hello.ConfigVersion > req.ConfigVersion {
		go g.fetchConfigFromAgent(c.addr, hello.Agent, hello.ConfigVersion)
	}
	s := &agentSession{
		connector: c, agent: hello.Agent, client: client,
		orders: make(chan *queuedOrder, orderQueueSize), replies: make(chan *rpc.Call, orderQueueSize), closed: make(chan struct{}),
	}
	s.storeReading(lastHeard, hello.State.Stamp)
	s.evacuationSent.Store(req.Evacuation.Version)
	g.addSession(s, &hello, stateTime(sentAt, hello.Held))
	c.sessionID.Store(uint64(s.id))
	c.setUsable(time.Now(), hello.State.Ready)
	go s.writeOrders()
	go s.readReplies()
	lastHeard, err = s.poll(ctx, lastHeard)
	c.sessionID.Store(0)
	close(s.closed)
	g.mu.Lock()
	delete(g.sessions, s.id)
	g.mu.Unlock()
	g.step(dispatch.SessionEnded{ID: s.id, LastHeard: lastHeard, Reason: err.Error()})
	return true, err
}

func (g *Gateway) addSession(s *agentSession, hello *session.HelloReply, asOf time.Time) {
	g.mu.Lock()
	g.lastSession++
	s.id = g.lastSession
	g.sessions[s.id] = s
	g.mu.Unlock()
	g.step(dispatch.SessionOpened{ID: s.id, Agent: hello.Agent, Zone: hello.Zone, State: hello.State, AsOf: asOf, Cancels: hello.Cancels})
}

// stateTime returns a time that the state in a reply is not older than: the agent has held
// the request, which was sent at sentAt, for the given time before it wrote the state. It
// returns zero for agents of earlier builds, which do not report that.
func stateTime(sentAt time.Time, held time.Duration) time.Time {
	if held <= 0 {
		return time.Time{}
	}
	return sentAt.Add(held)
}

// messageDelay returns by how much the reply to a poll that was under way for the given time
// was handled late. The least such time of the session is taken for the round trip, and follows
// longer ones slowly, which may be those of another route.
func (s *agentSession) messageDelay(underWay time.Duration) time.Duration {
	if s.roundTrip == 0 || underWay < s.roundTrip {
		s.roundTrip = max(underWay, time.Nanosecond)
		return 0
	}
	delay := underWay - s.roundTrip
	s.roundTrip += delay / roundTripWeight
	return delay
}

// observeMessageDelay records by how much a message of a session was handled late.
func (g *Gateway) observeMessageDelay(now time.Time, delay time.Duration) {
	g.metrics.messageDelay.Update(delay.Microseconds())
	g.turns.observeMessage(now, delay)
}

func callWithTimeout(client *rpc.Client, method string, req, reply any, timeout time.Duration) error {
	call := client.Go(method, req, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return call.Error
	case <-timer.C:
		return fmt.Errorf("%s: %w", method, errNoReply)
	}
}

// poll polls the agent until the session fails. It returns when the last reply to
// a poll was received, or lastHeard if there was none.
func (s *agentSession) poll(ctx context.Context, lastHeard time.Time) (time.Time, error) {
	var seen uint64
	for {
		if ctx.Err() != nil {
			return lastHeard, ctx.Err()
		}
		req := session.PollRequest{Echo: *s.clockReading.Load(), Seen: seen, Evacuation: s.unsentEvacuation(), TopicUnheard: s.connector.gateway.topicUnheard()}
		var reply session.PollReply
		sentAt := boottime.Now()
		if err := callWithTimeout(s.client, structs.AgentService+".Poll", &req, &reply, pollTimeout); err != nil {
			return lastHeard, err
		}
		lastHeard = boottime.Now()
		now := time.Now()
		s.storeReading(lastHeard, reply.State.Stamp)
		s.connector.setUsable(now, reply.State.Ready)
		if reply.Evacuation.Version > 0 {
			s.connector.gateway.updateEvacuation(reply.Evacuation, "agent "+s.agent)
		}
		if n := len(reply.Reports); n > 0 {
			seen = reply.Reports[n-1].Seq
		}
		if reply.Held > 0 {
			s.connector.gateway.observeMessageDelay(now, s.messageDelay(lastHeard.Sub(sentAt)-reply.Held))
		}
		s.connector.gateway.step(dispatch.PollReplied{ID: s.id, Reply: reply, AsOf: stateTime(sentAt, reply.Held)})
	}
}

// receivedReading is a clock reading with the time when its message was received.
type receivedReading struct {
	reading session.ClockReading
	at      time.Time
}

const (
	// readingSpacing is the least time between the readings that are kept, and maxReadings their number:
	// they cover the time for which a session lasts without a message, and more.
	readingSpacing = 100 * time.Millisecond
	maxReadings    = 12
)

// storeReading records the clock reading of a message.
func (s *agentSession) storeReading(now time.Time, r session.ClockReading) {
	s.readingsMu.Lock()
	defer s.readingsMu.Unlock()
	if n := len(s.readings); n >= 2 && now.Sub(s.readings[n-2].at) < readingSpacing {
		s.readings = s.readings[:n-1]
	}
	s.readings = append(s.readings, receivedReading{reading: r, at: now})
	if len(s.readings) > maxReadings {
		s.readings = slices.Delete(s.readings, 0, 1)
	}
	s.clockReading.Store(&r)
}

// echo returns the newest clock reading that was received before the given time, or the newest of all if that is
// zero. If all that are kept are newer, it returns the oldest.
func (s *agentSession) echo(before time.Time) session.ClockReading {
	if before.IsZero() {
		return *s.clockReading.Load()
	}
	s.readingsMu.Lock()
	defer s.readingsMu.Unlock()
	for _, r := range slices.Backward(s.readings) {
		if !r.at.After(before) {
			return r.reading
		}
	}
	return s.readings[0].reading
}

// queuedOrder is an order with the clock reading that it echoes. The time in which a stopped
// run has to be over counts from that reading, so that it is the newest when the order was
// given and not when it is written.
type queuedOrder struct {
	dispatch.Order
	echo session.ClockReading
}

// enqueue adds an order to the queue of the session and never blocks. If the queue
// is full, it closes the connection, and the agent stops the session's tasks.
func (s *agentSession) enqueue(o dispatch.Order) {
	select {
	case s.orders <- &queuedOrder{Order: o, echo: s.echo(o.EchoBefore)}:
	default:
		s.client.Close()
	}
}

// writeOrders sends the queued orders in sequence without waiting for replies.
func (s *agentSession) writeOrders() {
	for {
		select {
		case <-s.closed:
			return
		case o := <-s.orders:
			req := &session.OrderRequest{Echo: o.echo, Start: o.Start, Stop: o.Stop, Recall: o.Recall, Evacuation: s.unsentEvacuation(), Cancels: o.Cancels}
			s.client.Go(structs.AgentService+".Order", req, &orderReply{number: o.Number, sentAt: boottime.Now()}, s.replies)
		}
	}
}

// orderReply is the reply to an order. It also keeps the number of the order and when it
// was sent, which are unexported and therefore not encoded.
type orderReply struct {
	State   session.State
	Cancels int
	number  uint64
	sentAt  time.Time
}

func (s *agentSession) readReplies() {
	for {
		select {
		case <-s.closed:
			return
		case call := <-s.replies:
			if call.Error != nil {
				s.client.Close()
				continue
			}
			r := call.Reply.(*orderReply)
			s.connector.gateway.step(dispatch.OrderReplied{ID: s.id, Number: r.number, State: r.State, AsOf: r.sentAt, Cancels: r.Cancels})
		}
	}
}
