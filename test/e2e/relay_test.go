package e2e_test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// relayTimeout bounds the relay's own calls.
const relayTimeout = 2 * time.Second

// relay stands between one agent and the entries when the agent announces
// itself: it puts a forwarder's address, one for each pair of entry and agent,
// in place of the agent's own, so that a test can interfere with the entry's
// connections. It serves as the agent's balancer.
type relay struct {
	t     *testing.T
	agent string
	c     *cluster
	http  net.Listener

	mu         sync.Mutex
	doors      map[string]net.Listener // announcement listeners by entry
	forwarders map[string]*forwarder   // by entry
}

func newRelay(t *testing.T, c *cluster, agent string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		t: t, agent: agent, c: c, http: l,
		doors:      make(map[string]net.Listener),
		forwarders: make(map[string]*forwarder),
	}
	srv := &http.Server{Handler: http.HandlerFunc(r.serveEntries)}
	go srv.Serve(l)
	t.Cleanup(func() {
		srv.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, d := range r.doors {
			d.Close()
		}
	})
	return r
}

func (r *relay) url() string { return "http://" + r.http.Addr().String() }

// serveEntries answers as the balancer does: with what some live entry says.
func (r *relay) serveEntries(w http.ResponseWriter, _ *http.Request) {
	client := http.Client{Timeout: relayTimeout}
	for _, e := range r.c.entries {
		resp, err := client.Get(e.url() + "/v1/entries")
		if err != nil {
			continue
		}
		var infos []structs.EntryInfo
		err = json.NewDecoder(resp.Body).Decode(&infos)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			json.NewEncoder(w).Encode(r.rewrite(infos))
			return
		}
	}
	http.Error(w, "no entry answers", http.StatusBadGateway)
}

// rewrite puts the relay's doors in place of the entries' addresses.
func (r *relay) rewrite(infos []structs.EntryInfo) []structs.EntryInfo {
	out := make([]structs.EntryInfo, len(infos))
	for i, info := range infos {
		out[i] = info
		out[i].RPCAddr = r.door(info)
	}
	return out
}

// door returns the address at which the agent announces itself to the entry.
func (r *relay) door(info structs.EntryInfo) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.doors[info.Name]; l != nil {
		return l.Addr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Error(err)
		return ""
	}
	r.doors[info.Name] = l
	server := rpc.NewServer()
	if err := server.RegisterName(structs.EntryService, &Announcements{relay: r, entry: info}); err != nil {
		r.t.Error(err)
	}
	go server.Accept(l)
	return l.Addr().String()
}

// Announcements takes an agent's announcements to one entry.
type Announcements struct {
	relay *relay
	entry structs.EntryInfo
}

// Announce passes an announcement on with the forwarder's address.
func (a *Announcements) Announce(q *structs.AnnounceRequest, reply *structs.AnnounceReply) error {
	q.Info.RPCAddr = a.relay.forwarder(a.entry.Name, q.Info.RPCAddr).addr()
	conn, err := net.DialTimeout("tcp", a.entry.RPCAddr, relayTimeout)
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(relayTimeout))
	client := rpc.NewClient(conn)
	defer client.Close()
	if err := client.Call(structs.EntryService+".Announce", q, reply); err != nil {
		return err
	}
	reply.Entries = a.relay.rewrite(reply.Entries)
	return nil
}

// forwarder returns the hop from the entry to the agent.
func (r *relay) forwarder(entry, target string) *forwarder {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.forwarders[entry]
	if f == nil {
		f = newForwarder(r.t, target)
		r.forwarders[entry] = f
	}
	return f
}
