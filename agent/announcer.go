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
	announcePoll     = 250 * time.Millisecond
	lookupTimeout    = 2 * time.Second
	maxLookupBytes   = 256 << 10
	maxAnnounceBytes = 1 << 20
	entriesPath      = "/v1/entries"
	announceMethod   = structs.EntryService + ".Announce"
)

// announcer finds entries and tells them of the agent and of changes that
// cannot wait.
type announcer struct {
	agent  *Agent
	dir    *directory
	wake   chan struct{}
	lost   chan struct{} // an entry's connection has ended
	client *http.Client
}

func newAnnouncer(a *Agent) *announcer {
	return &announcer{
		agent:  a,
		dir:    newDirectory(time.Duration(a.opts.SilenceTimeout)),
		wake:   make(chan struct{}, 1),
		lost:   make(chan struct{}, 1),
		client: &http.Client{Timeout: lookupTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// heard notes a heartbeat of an entry.
func (n *announcer) heard(info structs.EntryInfo) { n.dir.heard(info, time.Now()) }

// connectionLost has entries looked up soon. It does not block.
func (n *announcer) connectionLost() {
	select {
	case n.lost <- struct{}{}:
	default:
	}
}

// stateChanged has every entry told of the agent's present state. It does not
// block.
func (n *announcer) stateChanged() {
	n.dir.changed()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run looks entries up and announces to them until ctx ends.
func (n *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announcePoll)
	defer ticker.Stop()
	schedule := newLookupSchedule(&n.agent.opts)
	for {
		now := time.Now()
		if schedule.due(now, n.dir.silent(now)) {
			err := n.lookup(ctx)
			schedule.done(time.Now(), err)
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
		case <-n.lost:
			schedule.hasten(time.Now())
		}
	}
}

func (n *announcer) logLookup(err error) {
	if err != nil {
		level.Warn(n.agent.logger).Log("event", "entries_lookup_failed", "err", err)
	}
}

// lookup asks the balancer for the live entries.
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

// announce tells one entry of the agent.
func (n *announcer) announce(ctx context.Context, e announcement) {
	reply, err := n.callAnnounce(ctx, e.entry.RPCAddr)
	n.dir.announced(e, err == nil, time.Now())
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
	client := rpc.NewClient(&limitedConn{Conn: conn, left: maxAnnounceBytes})
	defer client.Close()
	req := structs.AnnounceRequest{Info: n.agent.info, State: n.agent.state()}
	var reply structs.AnnounceReply
	if err := client.Call(announceMethod, &req, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// waitAnnounced waits until the present state has been told to every entry that
// can be reached, or the time is over.
func (n *announcer) waitAnnounced(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for n.dir.pending() && time.Now().Before(deadline) {
		time.Sleep(announceWait)
	}
}

const announceWait = 10 * time.Millisecond

// limitedConn ends after a number of read bytes.
type limitedConn struct {
	net.Conn
	left int
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}
