package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Intervals and timeouts of the peer table.
const (
	pingInterval     = 2 * time.Second
	peerLiveTimeout  = 3 * pingInterval // since the last message of the peer
	peerEvictTimeout = 3 * time.Hour    // since the last message of the peer
)

// peerTable holds the other entries: those announced on the log, listed by peers,
// or heard from directly.
type peerTable struct {
	self structs.EntryInfo

	mu    sync.Mutex
	peers map[structs.Incarnation]*peer
}

type peer struct {
	info           structs.EntryInfo
	link           *peerLink
	added          time.Time
	lastHeard      time.Time // zero if never
	fetching       bool      // Members is being called
	membersFetched bool      // Members has been called successfully
	pingFailed     bool      // the last ping got no reply
}

func newPeerTable(self structs.EntryInfo) *peerTable {
	return &peerTable{self: self, peers: make(map[structs.Incarnation]*peer)}
}

// add adds the entries that the table does not contain.
func (t *peerTable) add(entries []structs.EntryInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, info := range entries {
		t.addLocked(info)
	}
}

func (t *peerTable) addLocked(info structs.EntryInfo) *peer {
	if info.Incarnation == t.self.Incarnation || info.Incarnation == 0 {
		return nil
	}
	p := t.peers[info.Incarnation]
	if p == nil {
		p = &peer{info: info, link: newPeerLink(info.RPCAddr), added: time.Now()}
		t.peers[info.Incarnation] = p
	}
	return p
}

// markReachable records that the entry is alive, and adds it if necessary.
func (t *peerTable) markReachable(info structs.EntryInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.addLocked(info); p != nil {
		p.lastHeard = time.Now()
		p.pingFailed = false
	}
}

// remove removes an incarnation of an entry.
func (t *peerTable) remove(id structs.Incarnation) {
	t.mu.Lock()
	p := t.peers[id]
	delete(t.peers, id)
	t.mu.Unlock()
	if p != nil {
		p.link.close()
	}
}

// entries returns the live entries, this one first. A new peer not heard from
// counts as live until a ping fails or peerLiveTimeout has passed.
func (t *peerTable) entries() []structs.EntryInfo {
	list := []structs.EntryInfo{t.self}
	for _, p := range t.list() {
		if p.live(time.Now()) {
			list = append(list, p.info)
		}
	}
	return list
}

func (p *peer) live(now time.Time) bool {
	if p.lastHeard.IsZero() {
		return !p.pingFailed && now.Sub(p.added) <= peerLiveTimeout
	}
	return now.Sub(p.lastHeard) <= peerLiveTimeout
}

// list returns copies of all peers, sorted by name and incarnation.
func (t *peerTable) list() []peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]peer, 0, len(t.peers))
	for _, p := range t.peers {
		list = append(list, *p)
	}
	slices.SortFunc(list, func(a, b peer) int {
		return cmp.Or(cmp.Compare(a.info.Name, b.info.Name), cmp.Compare(a.info.Incarnation, b.info.Incarnation))
	})
	return list
}

// get returns a copy of the peer.
func (t *peerTable) get(id structs.Incarnation) (peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	if p == nil {
		return peer{}, false
	}
	return *p, true
}

// peerHandler receives updates about the other entries.
type peerHandler interface {
	// postPeers receives all peers of the table and the number of live entries,
	// this one included.
	postPeers(entries []structs.EntryInfo, live int)
	// postMembers receives the Members reply of a peer that is new or was
	// unavailable.
	postMembers(*structs.MembersReply)
}

// run pings the peers periodically until ctx ends.
func (t *peerTable) run(ctx context.Context, handler peerHandler) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		t.pingAll(handler)
		t.evictSilent()
		handler.postPeers(t.infos(), len(t.entries()))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *peerTable) infos() []structs.EntryInfo {
	var infos []structs.EntryInfo
	for _, p := range t.list() {
		infos = append(infos, p.info)
	}
	return infos
}

func (t *peerTable) pingAll(handler peerHandler) {
	var wg sync.WaitGroup
	for _, p := range t.list() {
		wg.Go(func() { t.ping(p, handler) })
	}
	wg.Wait()
}

// ping checks whether a peer is alive. A reply of another incarnation shows that
// the pinged one has ended.
func (t *peerTable) ping(p peer, handler peerHandler) {
	var info structs.EntryInfo
	if err := p.link.call("Ping", &t.self, &info, controlTimeout); err != nil {
		t.recordPingFailure(p)
		return
	}
	t.markReachable(info)
	if info.Incarnation != p.info.Incarnation {
		t.remove(p.info.Incarnation)
		return
	}
	if t.startFetch(p.info.Incarnation) {
		go t.fetchMembers(p, handler) // pings do not wait for a long reply
	}
}

// startFetch reports whether Members has to be called at a peer, and then records that
// it is being called.
func (t *peerTable) startFetch(id structs.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	if p == nil || p.fetching || p.membersFetched {
		return false
	}
	p.fetching = true
	return true
}

// fetchMembers gets the entries, agents and final reports that a peer lists.
func (t *peerTable) fetchMembers(p peer, handler peerHandler) {
	reply, err := t.callMembers(p)
	if err == nil {
		t.add(reply.Entries)
		handler.postMembers(reply)
	}
	t.endFetch(p.info.Incarnation, err == nil)
}

// membersTimeouts bound a call of Members.
var membersTimeouts = rpcconn.Timeouts{Dial: dialTimeout, Idle: controlTimeout, Total: 10 * time.Second}

// callMembers calls Members on a connection of its own: the peer's state, which may be
// large, would hold up calls of jobs.
func (t *peerTable) callMembers(p peer) (*structs.MembersReply, error) {
	reply := new(structs.MembersReply)
	if err := rpcconn.Call(p.info.RPCAddr, structs.EntryService+".Members", &t.self, reply, membersTimeouts); err != nil {
		return nil, err
	}
	return reply, nil
}

// ready returns nil if a peer has reported its agents or no peer is live. Until
// then a new entry does not know the agents and would refuse jobs that its peers can
// serve.
func (t *peerTable) ready() error {
	now := time.Now()
	for _, p := range t.list() {
		if p.membersFetched {
			return nil
		}
	}
	for _, p := range t.list() {
		if p.live(now) {
			return errors.New("no peer has reported its agents yet")
		}
	}
	return nil
}

func (t *peerTable) endFetch(id structs.Incarnation, fetched bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.peers[id]; current != nil {
		current.fetching = false
		current.membersFetched = fetched
	}
}

// recordPingFailure records a ping without a reply. If the peer is not live, its
// members are fetched again when it replies, because its agents may have changed.
func (t *peerTable) recordPingFailure(p peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.peers[p.info.Incarnation]; current != nil {
		current.pingFailed = true
		current.membersFetched = current.membersFetched && p.live(time.Now())
	}
}

// fetchState returns the encoded state of the log from the first peer that has one.
func (t *peerTable) fetchState(ctx context.Context) ([]byte, error) {
	for _, p := range t.list() {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		reply, err := t.callMembers(p)
		if err == nil && len(reply.Fold) > 0 {
			return reply.Fold, nil
		}
	}
	return nil, errNoPeerState
}

// sendClosed sends the final report of this entry to every live peer.
func (t *peerTable) sendClosed(report *structs.ClosedReport) {
	var wg sync.WaitGroup
	for _, p := range t.list() {
		if p.live(time.Now()) {
			wg.Go(func() {
				// Without the report the peer answers may_have_run instead of
				// not_run, which is safe, so errors are ignored.
				_ = p.link.call("Closed", report, new(bool), controlTimeout)
			})
		}
	}
	wg.Wait()
}

// evictSilent removes peers not heard from for peerEvictTimeout.
func (t *peerTable) evictSilent() {
	now := time.Now()
	for _, p := range t.list() {
		lastHeard := p.lastHeard
		if lastHeard.IsZero() {
			lastHeard = p.added
		}
		if now.Sub(lastHeard) > peerEvictTimeout {
			t.remove(p.info.Incarnation)
		}
	}
}
