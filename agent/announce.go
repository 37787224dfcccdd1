package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	announcePollInterval = 250 * time.Millisecond
	lookupTimeout        = 2 * time.Second
	maxLookupBytes       = 256 << 10
	maxAnnounceBytes     = 1 << 20
	entriesPath          = "/v1/entries"
	announceMethod       = structs.EntryService + ".Announce"
)

// announcer discovers entries and announces the agent and urgent changes of its
// state to them.
type announcer struct {
	agent    *Agent
	dir      *directory
	wake     chan struct{}
	connLost chan struct{} // receives a value when a connection of an entry has ended
	client   *http.Client
}

func newAnnouncer(a *Agent) *announcer {
	return &announcer{
		agent:    a,
		dir:      newDirectory(time.Duration(a.opts.SilenceTimeout)),
		wake:     make(chan struct{}, 1),
		connLost: make(chan struct{}, 1),
		client:   &http.Client{Timeout: lookupTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (n *announcer) recordHeartbeat(info structs.EntryInfo) { n.dir.recordHeartbeat(info, time.Now()) }

// connectionLost brings the next lookup of entries forward. It does not block.
func (n *announcer) connectionLost() {
	select {
	case n.connLost <- struct{}{}:
	default:
	}
}

// stateChanged causes the agent's current state to be announced to every entry. It
// does not block.
func (n *announcer) stateChanged() {
	n.dir.stateChanged()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run looks up entries and announces the agent to them until ctx ends.
func (n *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announcePollInterval)
	defer ticker.Stop()
	schedule := newLookupSchedule(&n.agent.opts)
	for {
		now := time.Now()
		if schedule.due(now, n.dir.silent(now)) {
			err := n.lookup(ctx)
			schedule.lookupDone(time.Now(), err)
			n.logLookup(err)
		}
		for _, e := range n.dir.due(now) {
			go n.announce(ctx, e)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.wake:
		case <-n.connLost:
			schedule.connectionLost(time.Now())
		}
	}
}

func (n *announcer) logLookup(err error) {
	if err != nil {
		level.Warn(n.agent.logger).Log("event", "entries_lookup_failed", "err", err)
	}
}

// lookup gets the live entries from the balancer.
func (n *announcer) lookup(ctx context.Context) error {
	url := strings.TrimSuffix(n.agent.opts.BalancerURL, "/") + entriesPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	var entries []structs.EntryInfo
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLookupBytes)).Decode(&entries); err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	n.dir.add(entries, time.Now())
	return nil
}

// announce announces the agent to one entry.
func (n *announcer) announce(ctx context.Context, e dueAnnouncement) {
	reply, err := n.callAnnounce(ctx, e.entry.RPCAddr)
	n.dir.recordAnnouncement(e, err == nil, time.Now())
	if err != nil {
		level.Warn(n.agent.logger).Log("event", "announce_failed", "entry", e.entry.Name, "addr", e.entry.RPCAddr, "err", err)
		return
	}
	level.Debug(n.agent.logger).Log("event", "announced", "entry", e.entry.Name, "addr", e.entry.RPCAddr)
	n.dir.add(reply.Entries, time.Now())
	if reply.Document.Revision > 0 {
		n.agent.step(executor.DocumentCalled{Record: reply.Document})
	}
}

func (n *announcer) callAnnounce(ctx context.Context, addr string) (*structs.AnnounceReply, error) {
	timeout := time.Duration(n.agent.opts.AnnounceTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(timeout))
	client := rpc.NewClient(&limitedConn{Conn: conn, remaining: maxAnnounceBytes})
	defer client.Close()
	req := structs.AnnounceRequest{Info: n.agent.self, State: n.agent.state()}
	var reply structs.AnnounceReply
	if err := client.Call(announceMethod, &req, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// waitAnnounced waits until the current state has been announced to every entry
// heard from recently, but not longer than limit.
func (n *announcer) waitAnnounced(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for n.dir.pending() && time.Now().Before(deadline) {
		time.Sleep(pendingPollInterval)
	}
}

// pendingPollInterval is the interval at which waitAnnounced checks the directory.
const pendingPollInterval = 10 * time.Millisecond

// limitedConn is a connection whose reads fail after a number of bytes. It limits the
// size of an entry's reply.
type limitedConn struct {
	net.Conn
	remaining int
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}
