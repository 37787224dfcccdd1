package gateway

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/cancels"
	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// peerCallTimeout bounds one call to another entry, below dispatch.PeerCancelTimeout.
	peerCallTimeout = 250 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to another entry is kept.
	peerIdleTimeout = 30 * time.Second
	// peerQueueSize bounds the cancels that wait for one entry, and maxCancelBatch those in
	// one call.
	peerQueueSize  = 1024
	maxCancelBatch = 256
)

var errShortReply = errors.New("the reply has fewer results than the request has cancels")

// tell is a cancel on its way to one entry.
type tell struct {
	cancel session.Cancel
	at     time.Time
	result chan<- tellResult // buffered
}

type tellResult struct {
	known bool
	err   error
}

// peerLink sends cancels and questions to the entry at an address, one call at a time.
type peerLink struct {
	gateway *Gateway
	addr    string
	queue   chan tell
	// questions are announcements of jobs that wait.
	questions chan jobsQuestion
	client    *rpc.Client // nil while there is no connection
}

// Cancel cancels a job at all entries.
func (g *Gateway) Cancel(ctx context.Context, queue, name string) dispatch.CancelResult {
	ch := make(chan dispatch.CancelResult, 1)
	g.mu.Lock()
	g.lastCall++
	call := g.lastCall
	g.cancelCalls[call] = ch
	g.mu.Unlock()
	g.step(dispatch.CancelCalled{Call: call, Queue: queue, Name: name})
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(g.cancelCalls, call)
	g.mu.Unlock()
	return dispatch.CancelUnconfirmed
}

// deliverCancel passes the result to a pending Cancel. The caller holds g.mu.
func (g *Gateway) deliverCancel(r dispatch.CancelReplied) {
	if ch := g.cancelCalls[r.Call]; ch != nil {
		delete(g.cancelCalls, r.Call)
		ch <- r.Result
	}
}

// notifyPeers notifies all other entries of a cancel and waits for their replies.
func (g *Gateway) notifyPeers(e dispatch.NotifyPeers) {
	peers := g.members.List(session.RoleEntry)
	results := make(chan tellResult, len(peers))
	t := tell{cancel: e.Cancel, at: time.Now(), result: results}
	for _, p := range peers {
		g.enqueueTell(p.Addr, t)
	}
	told := dispatch.PeersNotified{Call: e.Call}
	timer := time.NewTimer(dispatch.PeerCancelTimeout)
	defer timer.Stop()
	for missing := len(peers); missing > 0; missing-- {
		select {
		case r := <-results:
			told.Known = told.Known || r.known
			if r.err != nil {
				told.Missed++
			}
		case <-timer.C:
			told.Missed += missing
			missing = 1
		}
	}
	g.step(told)
}

// enqueueTell hands a cancel to the link of an entry, which it creates if there is none.
func (g *Gateway) enqueueTell(addr string, t tell) {
	g.peersMu.Lock()
	defer g.peersMu.Unlock()
	l := g.peers[addr]
	if l == nil {
		l = g.newPeerLink(addr)
	}
	select {
	case l.queue <- t:
	default:
		t.result <- tellResult{err: errors.New("too many cancels wait for the entry")}
	}
}

// newPeerLink adds a link to the entry at an address. The caller holds g.peersMu.
func (g *Gateway) newPeerLink(addr string) *peerLink {
	l := &peerLink{gateway: g, addr: addr, queue: make(chan tell, peerQueueSize), questions: make(chan jobsQuestion, peerQueueSize)}
	g.peers[addr] = l
	go l.run()
	return l
}

func (l *peerLink) run() {
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.gateway.background.Done():
			l.close()
			return
		case t := <-l.queue:
			l.send(l.batch(t))
			idle.Reset(peerIdleTimeout)
		case q := <-l.questions:
			l.ask(q)
			idle.Reset(peerIdleTimeout)
		case <-idle.C:
			if l.remove() {
				l.close()
				return
			}
			idle.Reset(peerIdleTimeout)
		}
	}
}

// remove removes the link from the gateway unless cancels or questions wait in it.
func (l *peerLink) remove() bool {
	l.gateway.peersMu.Lock()
	defer l.gateway.peersMu.Unlock()
	if len(l.queue)+len(l.questions) > 0 {
		return false
	}
	delete(l.gateway.peers, l.addr)
	return true
}

// batch returns the cancels that wait, the first included.
func (l *peerLink) batch(first tell) []tell {
	list := []tell{first}
	for len(list) < maxCancelBatch {
		select {
		case t := <-l.queue:
			list = append(list, t)
		default:
			return list
		}
	}
	return list
}

func (l *peerLink) send(list []tell) {
	known, err := l.call(list)
	if err != nil {
		level.Warn(l.gateway.logger).Log("event", "entry_not_told", "addr", l.addr, "cancels", len(list), "reason", err)
	}
	for i, t := range list {
		r := tellResult{err: err}
		if err == nil {
			r.known = known[i]
		}
		t.result <- r
	}
}

// call sends the cancels. A connection that the other side has closed meanwhile is opened
// again once.
func (l *peerLink) call(list []tell) ([]bool, error) {
	req := session.CancelRequest{Entry: l.gateway.opts.Name}
	for _, t := range list {
		c := t.cancel
		c.AgoMs += time.Since(t.at).Milliseconds()
		req.Cancels = append(req.Cancels, c)
	}
	reused := l.client != nil
	known, err := l.tryCall(&req)
	if reused && errors.Is(err, rpc.ErrShutdown) {
		known, err = l.tryCall(&req)
	}
	return known, err
}

// connect opens a connection if there is none.
func (l *peerLink) connect() error {
	if l.client != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(l.gateway.background, dialTimeout)
	defer cancel()
	client, err := rpcconn.DialContext(ctx, l.addr)
	if err != nil {
		return err
	}
	l.client = client
	return nil
}

func (l *peerLink) tryCall(req *session.CancelRequest) ([]bool, error) {
	if err := l.connect(); err != nil {
		return nil, err
	}
	var reply session.CancelReply
	err := callWithTimeout(l.client, structs.EntryService+".Cancel", req, &reply, peerCallTimeout)
	if err == nil && len(reply.Known) < len(req.Cancels) {
		err = errShortReply
	}
	if err != nil {
		l.close()
		return nil, err
	}
	return reply.Known, nil
}

func (l *peerLink) close() {
	if l.client != nil {
		l.client.Close()
		l.client = nil
	}
}

// Cancel closes the jobs that were canceled at the sender.
func (r *receiver) Cancel(req *session.CancelRequest, reply *session.CancelReply) error {
	reply.Known = r.gateway.learnCancels(req.Entry, req.Cancels)
	return nil
}

// learnCancels closes the jobs that were canceled at another entry. It reports for each
// whether this entry had it.
func (g *Gateway) learnCancels(from string, list []session.Cancel) []bool {
	if len(list) == 0 {
		return nil
	}
	for _, ef := range g.step(dispatch.CancelsLearned{From: from, Cancels: list}) {
		if r, ok := ef.(dispatch.CancelsRecorded); ok {
			return r.Known
		}
	}
	return nil
}

// knownCancels returns the jobs that were canceled a short time ago.
func (g *Gateway) knownCancels() []session.Cancel {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Cancels(boottime.Now())
}

// wantsCancels reports whether this entry has started so late that others may know of
// cancels that it was not notified of.
func (g *Gateway) wantsCancels() bool { return time.Since(g.startedAt) < cancels.Retention }
