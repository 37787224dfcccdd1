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

// relayTimeout limits the relay's own calls.
const relayTimeout = 2 * time.Second

// relay intercepts the announcements of one agent. It serves as the agent's
// balancer and replaces the agent's address by that of a tcpProxy, one for each
// pair of entry and agent, so that a test can inject faults into the entry's
// connections.
type relay struct {
	t     *testing.T
	agent string
	c     *cluster
	http  net.Listener

	mu        sync.Mutex
	listeners map[string]net.Listener // for announcements, by entry
	proxies   map[string]*tcpProxy    // by entry
}

func newRelay(t *testing.T, c *cluster, agent string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		t: t, agent: agent, c: c, http: l,
		listeners: make(map[string]net.Listener),
		proxies:   make(map[string]*tcpProxy),
	}
	srv := &http.Server{Handler: http.HandlerFunc(r.serveEntries)}
	go srv.Serve(l)
	t.Cleanup(func() {
		srv.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, d := range r.listeners {
			d.Close()
		}
	})
	return r
}

func (r *relay) url() string { return "http://" + r.http.Addr().String() }

// serveEntries answers as the balancer does, with the reply of a live entry.
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
	http.Error(w, "no entry answered", http.StatusBadGateway)
}

// rewrite replaces the entries' RPC addresses by the relay's listeners.
func (r *relay) rewrite(infos []structs.EntryInfo) []structs.EntryInfo {
	out := make([]structs.EntryInfo, len(infos))
	for i, info := range infos {
		out[i] = info
		out[i].RPCAddr = r.announceAddr(info)
	}
	return out
}

// announceAddr returns the address at which the relay receives the agent's
// announcements to the entry.
func (r *relay) announceAddr(info structs.EntryInfo) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.listeners[info.Name]; l != nil {
		return l.Addr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Error(err)
		return ""
	}
	r.listeners[info.Name] = l
	server := rpc.NewServer()
	if err := server.RegisterName(structs.EntryService, &AnnounceHandler{relay: r, entry: info}); err != nil {
		r.t.Error(err)
	}
	go server.Accept(l)
	return l.Addr().String()
}

// AnnounceHandler receives an agent's announcements to one entry.
type AnnounceHandler struct {
	relay *relay
	entry structs.EntryInfo
}

// Announce forwards an announcement with the proxy's address.
func (a *AnnounceHandler) Announce(q *structs.AnnounceRequest, reply *structs.AnnounceReply) error {
	q.Info.RPCAddr = a.relay.tcpProxy(a.entry.Name, q.Info.RPCAddr).addr()
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

// tcpProxy returns the proxy between the entry and the agent.
func (r *relay) tcpProxy(entry, target string) *tcpProxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxies[entry]
	if p == nil {
		p = newTCPProxy(r.t, target)
		r.proxies[entry] = p
	}
	return p
}
